#!/usr/bin/env python3
"""The store of a soak run, without a network: a write answers with the object it made, also beside a restoration.

    tests/soak_store_test.py
"""

import asyncio
import json
import pathlib
import sys
import unittest
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from world import FOREIGN_NAMES, QUERY_READINGS, Store  # noqa: E402

KIND = "notes"
PATH = f"/api/v1/{KIND}"


async def write_beside_restoration(mode):
    """Writes an object while the store is in this mode and comes back from a copy that lacks the object's kind."""
    store = Store(0)
    await store.put("config", "main", {"version": "r1"})
    store.mode = mode
    body = json.dumps({"metadata": {"name": "one"}, "spec": {"text": "a"}})
    answer = asyncio.create_task(store.write("POST", PATH, body))
    await asyncio.sleep(0)
    await store.restore(60)
    store.mode = ""
    return await answer


class SoakStore(unittest.TestCase):
    def test_a_write_beside_a_restoration_answers_with_its_object(self):
        for mode in ("", "slow"):
            with self.subTest(mode=mode):
                status, written = asyncio.run(write_beside_restoration(mode))
                self.assertEqual(status, 200)
                self.assertEqual(written["spec"], {"text": "a"})

    def test_a_watch_that_is_cancelled_at_its_timeout_leaves_the_store_usable(self):
        async def play():
            store = Store(0)
            watch = asyncio.create_task(store.answer(f"{PATH}?watch=1&wait_ms=50"))
            await asyncio.sleep(0)
            async with store.changed:  # the watch times out, and waits for the lock
                await asyncio.sleep(0.1)
                watch.cancel()
                await asyncio.sleep(0)
            with self.assertRaises(asyncio.CancelledError):
                await watch
            await asyncio.wait_for(store.put(KIND, "one", {"text": "a"}), 1)

        asyncio.run(play())

    def test_a_list_has_all_names_on_pages_of_their_own(self):
        async def play():
            store = Store(0)
            names = sorted([*FOREIGN_NAMES, "t0-1", "t1-1", "z"])
            for name in names:
                await store.put(KIND, name, {})
            listed, more = [], True
            while more:
                query = "?after=" + urllib.parse.quote(listed[-1], safe="") if listed else ""
                _, page = await store.answer(PATH + query)
                listed += [item["metadata"]["name"] for item in page["items"]]
                more = page["has_more"]
            self.assertEqual(listed, names)

        asyncio.run(play())

    def test_a_name_is_read_in_each_way(self):
        async def pages_after(read_value):
            store = Store(0, read_value)
            for name in ("a%20b", "a b", "a+b"):
                await store.put(KIND, name, {})
            pages = [await store.answer(f"{PATH}?after={sent}") for sent in ("a%20b", "a+b")]
            return [[item["metadata"]["name"] for item in page["items"]] for _, page in pages]

        read = [asyncio.run(pages_after(read_value)) for read_value in QUERY_READINGS]
        self.assertEqual(read, [[["a%20b", "a+b"], ["a%20b", "a+b"]], [["a%20b", "a+b"], []], [["a+b"], []]])

    def test_a_write_bound_to_another_revision_changes_nothing(self):
        async def play():
            store = Store(0)
            body = json.dumps({"metadata": {"name": "one"}, "spec": {"text": "a"}})
            _, made = await store.write("POST", PATH, body)
            late = made["metadata"]["revision"] - 1
            bound = json.dumps({"metadata": {"name": "one", "revision": late}, "spec": {"text": "b"}})
            self.assertEqual(await store.write("PUT", f"{PATH}/one", bound), (409, made))
            self.assertEqual(await store.write("DELETE", f"{PATH}/one?revision={late}", b""), (409, made))
            self.assertEqual(await store.answer(f"{PATH}/one"), (200, made))
            status, _ = await store.write("DELETE", f"{PATH}/one?revision={late + 1}", b"")
            self.assertEqual(status, 200)
            self.assertEqual(await store.answer(f"{PATH}/one"), (404, {}))

        asyncio.run(play())


if __name__ == "__main__":
    unittest.main()
