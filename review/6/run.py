"""Long answers without a length, on kept connections of consumers. See claim.txt.

Six targets serve downloads of 150,000 to 300,000 bytes and a service for commits. With the trouble, half of the download
targets leave out the length of 5 in 100 answers and close the connection after the last byte (garble, how unframed).
Consumers keep their connections: each sends a download, and after its answer a commit, over and over.

The check is MIXED as written: a consumer gets bytes that are no answer in the protocol, on a connection whose target did
not break off.
"""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from harness import Fleet, Target, message, read_message, request, route, run, seal_of, state, trouble  # noqa: E402

SECONDS = 20
CONSUMERS = 12
SHARE, X = 0.5, 0.05  # of the download targets, of their answers


def content_of(attempt, size):
    return (attempt.encode() * (size // len(attempt) + 1))[:size]


class Downloads(Target):
    slots = 8

    def __init__(self, *given, **more):
        super().__init__(*given, **more)
        self.random = random.Random(self.id)
        self.spoils = False

    async def answer(self, method, path, fields, attempt, body, writer):
        await asyncio.sleep(0.02)
        content = content_of(attempt, int(path.rsplit("-", 1)[1]))
        head = {"Savoryscale-Attempt-Id": attempt, "Savoryscale-Response-Seal": seal_of(attempt, content), **self.load()}
        if not (self.spoils and self.random.random() < X):
            writer.write(message("HTTP/1.1 200 OK", head, content))
            return True
        self.record(f"answer {attempt} without a length, {len(content)} bytes, then the connection is closed")
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + content)
        await writer.drain()
        writer.close()
        await writer.wait_closed()
        return False


class Consumer:
    def __init__(self, fleet, number):
        self.fleet, self.number, self.count = fleet, number, 0
        self.random = random.Random(number)
        self.answers = 0
        self.broken = []  # attempts in place of whose answers other bytes came

    async def one(self, reader, writer, method, path, body):
        """Returns whether the connection is kept."""
        self.count += 1
        attempt = f"c{self.number:03x}{self.count:06x}"
        self.fleet.record(f"send {attempt} {method} {path}")
        writer.write(request(method, path, attempt, 3000, body))
        got = await reader.readline()
        if not got.startswith(b"HTTP/1.1 "):
            if not got:
                self.fleet.record(f"closed {attempt}")
                return False
            ran = any(attempt == each[0] for target in self.fleet.targets for each in target.runs)
            self.broken.append(attempt)
            self.fleet.record(f"NO ANSWER {attempt}: got {got!r} where its status line is due; it has run: {ran}")
            return False
        head = await reader.readuntil(b"\r\n\r\n")
        stream = asyncio.StreamReader()
        stream.feed_data(got + head)
        fields = {name.strip().lower(): value.strip() for name, _, value in
                  (line.partition(":") for line in head.decode().split("\r\n") if line)}
        if fields.get("transfer-encoding") == "chunked":
            content = b""
            while size := int(await reader.readline(), 16):
                content += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            content = await reader.readexactly(int(fields.get("content-length", 0)))
        status = int(got.split()[1])
        self.answers += 1
        self.fleet.record(f"answer {attempt} {status} {len(content)} bytes, "
                          f"{'chunked' if 'transfer-encoding' in fields else 'with a length'}")
        return fields.get("connection") != "close"

    async def work(self, until):
        host = self.fleet.hosts[self.number % len(self.fleet.hosts)]
        while time.monotonic() < until:
            reader, writer = await asyncio.open_connection(host.ip, host.front, limit=1 << 20)
            try:
                kept = True
                while kept and time.monotonic() < until:
                    size = self.random.randrange(150_000, 300_000)
                    kept = await self.one(reader, writer, "GET", f"/photo/p-{size}", b"")
                    kept = kept and await self.one(reader, writer, "POST", "/commit/p-100", b"lot")
            except (asyncio.IncompleteReadError, OSError):
                self.fleet.record(f"connection of consumer {self.number} ended")
            finally:
                writer.transport.abort()


async def main():
    fleet = Fleet(HERE, hosts=3)
    try:
        for number in range(6):
            fleet.add(Downloads, "tearvault").spoils = trouble() and number < 6 * SHARE
        for _ in range(3):
            fleet.add(Downloads, "lotbook")
        await fleet.start(state(7, [route("r-photo", "/photo/", "download", "tearvault"),
                                    route("r-commit", "/commit/", "unsafe", "lotbook")], ["tearvault", "lotbook"]))
        consumers = [Consumer(fleet, number) for number in range(CONSUMERS)]
        until = time.monotonic() + SECONDS
        await asyncio.gather(*(each.work(until) for each in consumers))
        broken = sum(len(each.broken) for each in consumers)
        answers = sum(each.answers for each in consumers)
        commits = {each[0] for target in fleet.targets for each in target.runs if each[2] == "POST"}
        lost = sum(attempt in commits for each in consumers for attempt in each.broken)
        text = (f"{answers} answers; {broken} times bytes that are no answer where an answer is due, "
                f"{lost} of them for a commit that has run: MIXED is {'broken' if broken else 'kept'}")
        fleet.record(text)
        print(text)
        return 1 if broken else 0 if answers > 100 else 2
    finally:
        await fleet.end()


run(main)
