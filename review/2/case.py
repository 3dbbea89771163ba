"""A faulty target stops in the middle of some answers and keeps the connection open."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from deployment import Client, route, run_case

HOSTS = 3
TARGETS = 7  # one of them is faulty: a share of 0.143
STALLED_PART, FAULT_S = 0.45, 6.5
ANSWER_BYTES, SENT_BYTES = 300_000, 220_000
TIMEOUT_S, DEADLINE_MS = 1.0, 4000
SLACK_S = 0.5
CONSUMERS = 24


async def case(deployment):
    await deployment.store.start()
    targets = [deployment.target("archive", work_s=0.08, answer_bytes=ANSWER_BYTES) for _ in range(TARGETS)]
    for target in targets:
        await target.start()
    await deployment.publish([route("photo", "download", "archive", timeout_s=TIMEOUT_S)], ["archive"])
    await deployment.start_hosts()
    await asyncio.sleep(4)
    client, until = Client(deployment), deployment.now() + FAULT_S + 3

    async def consume(number):
        count = number
        while deployment.now() < until:
            count += 1
            host = deployment.hosts[count % HOSTS]
            asyncio.create_task(client.send(host, "GET", f"/photo/{number}-{count}", DEADLINE_MS))
            await asyncio.sleep(0.25)

    running = [asyncio.create_task(consume(number)) for number in range(CONSUMERS)]
    await asyncio.sleep(1)
    faulty = targets[0]
    faulty.stall_after = SENT_BYTES
    faulty.stalls = STALLED_PART if deployment.trouble else 0.0
    await asyncio.sleep(FAULT_S)
    faulty.stalls = 0.0
    await asyncio.gather(*running)
    await asyncio.sleep(DEADLINE_MS / 1000 + 1)
    requests = [one for one in client.sent.values() if one.sent_in_touch]
    longer = [one for one in requests if one.ended is None or one.ended > one.at + TIMEOUT_S]
    without = [one for one in longer if one.ended is None or one.ended > one.at + TIMEOUT_S + SLACK_S]
    never = [one for one in without if one.status == "none"]
    broken = len(without) >= 8 and len(without) > len(longer) / 4
    text = (f"{len(longer)} of {len(requests)} requests lasted longer than timeout_s = {TIMEOUT_S:g}; {len(without)} of "
            f"these had no final answer {SLACK_S:g} s after it, from machines in touch; {len(never)} got none until the "
            f"consumer left after {DEADLINE_MS / 1000:g} s")
    return broken, ("CONFIG: " if broken else "") + text


run_case(pathlib.Path(__file__).parent, case, HOSTS)
