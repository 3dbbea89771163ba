"""Stand-ins of the third review: the platform's store, targets, consumers and hosts, on loopback addresses.

They behave as the users' pages say; where a page is silent, like a sound store, target or consumer. Nothing but the
standard library is used. Only processes that were started here are signalled, and all of them are ended.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "savoryscale"
TEMPLATE = ROOT / "deploy" / "settings.template.json"
IP = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_ports(count, drawn=set()):
    """Free ports below the range of outgoing connections."""
    ports, draw = [], random.SystemRandom()
    while len(ports) < count:
        port = draw.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((IP, port))
            except OSError:
                continue
        if port not in drawn:
            drawn.add(port)
            ports.append(port)
    return ports


def fill(text, fields):
    """Fills the settings template as the platform does: sections, absent sections, values, values as JSON."""

    def look_up(path):
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return found

    def section(match):
        kind, path, inner = match.groups()
        value = look_up(path)
        if kind == "^":
            return "" if value else inner
        entries = value if isinstance(value, list) else [value] if value else []
        last = len(entries) - 1
        return "".join(inner.replace("{{,}}", "" if at == last else ",").replace("{{.}}", str(each))
                       for at, each in enumerate(entries))

    def placeholder(match):
        value = fields if match[1] == "." else look_up(match[1])
        return json.dumps(value) if match[2] else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


async def read_head(reader):
    """The first line and the fields of a message; None at the end of the stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as ended:
        if ended.partial:
            raise ConnectionError("the stream ended within a head") from ended
        return None
    first, *lines = head[:-4].split("\r\n")
    return first, {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines)}


def message(first, fields, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in fields.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: objects by kind and name, lists, and watches over a complete history."""

    def __init__(self):
        self.port = free_ports(1)[0]
        self.revision, self.objects, self.history = 10, {}, []
        self.changed = asyncio.Condition()
        self.silent = False  # takes calls and answers none

    async def start(self):
        await asyncio.start_server(self.serve, IP, self.port, backlog=256)

    async def put(self, kind, name, spec):
        async with self.changed:
            known = self.objects.setdefault(kind, {}).get(name)
            if known and known["spec"] == spec:
                return known
            self.revision += 1
            created = known["metadata"]["created"] if known else self.revision
            entry = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                                  "deleting": False}, "spec": spec, "status": {}}
            self.objects[kind][name] = entry
            self.history.append((self.revision, kind, {"object": entry, "deleted": False}))
            self.changed.notify_all()
            return entry

    async def remove(self, kind, name):
        async with self.changed:
            entry = self.objects.get(kind, {}).pop(name, None)
            if entry:
                self.revision += 1
                self.history.append((self.revision, kind, {"object": entry, "deleted": True}))
                self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while request := await read_head(reader):
                body = await reader.readexactly(int(request[1].get("content-length", 0)))
                method, target, _ = request[0].split(" ")
                while self.silent:
                    await asyncio.sleep(0.02)
                status, answer = await (self.read(target) if method == "GET" else self.write(method, target, body))
                while self.silent:
                    await asyncio.sleep(0.02)
                writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json", "Store-Era": 1},
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def write(self, method, target, body):
        path, _, query = target.partition("?")
        kind, *named = map(urllib.parse.unquote, path.split("/")[3:])
        known = self.objects.setdefault(kind, {})
        given = json.loads(body) if body else {"metadata": {}}
        name = named[0] if named else given["metadata"]["name"]
        if (name in known) == (method == "POST"):
            return (409, known[name]) if name in known else (404, {})
        expected = int(dict(urllib.parse.parse_qsl(query)).get("revision", given["metadata"].get("revision", 0)))
        if expected and expected != known[name]["metadata"]["revision"]:
            return 409, known[name]
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        return 200, await self.put(kind, name, given["spec"])

    async def read(self, target):
        path, _, query = target.partition("?")
        kind, *named = map(urllib.parse.unquote, path.split("/")[3:])
        asked, known = dict(urllib.parse.parse_qsl(query)), self.objects.get(kind, {})
        if named:
            return (200, known[named[0]]) if named[0] in known else (404, {})
        if "watch" not in asked:
            names = sorted(name for name in known if name > asked.get("after", ""))
            return 200, {"items": [known[name] for name in names[:500]], "has_more": len(names) > 500,
                         "store_revision": self.revision}
        after, ends = int(asked["watch"]), time.monotonic() + int(asked["wait_ms"]) / 1000
        if after > self.revision:
            return 410, {}

        def events():
            return [event for revision, of, event in self.history if revision > after and of == kind]

        async with self.changed:
            while not events() and not self.silent and time.monotonic() < ends:
                try:
                    async with asyncio.timeout(ends - time.monotonic()):
                        await self.changed.wait()
                except TimeoutError:
                    break
            return 200, {"events": events(), "store_revision": self.revision}


class Target:
    """A server. It records each request that arrives, and answers after its work."""

    def __init__(self, number, store, service, work_s=0.005, slots=2, more_fields=None):
        self.id, self.store, self.service = f"i-{number}", store, service
        self.work_s, self.slots, self.more_fields = work_s, slots, more_fields or {}
        self.port = free_ports(1)[0]
        self.running = 0
        self.arrivals = []  # (attempt id, time)
        self.finished = {}  # attempt id: time at which its answer was written
        self.writers, self.server, self.ended = set(), None, False
        self.leaving = False  # its status check fails then

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, self.port, backlog=512)
        await self.register("ready")

    async def register(self, state):
        await self.store.put("servers", self.id, {
            "service": self.service, "address": f"{IP}:{self.port}", "zone": "zone-a", "version": "v1",
            "slots": self.slots, "state": state, "warmup_left_s": 0, "sequence": 1, "born": 1700000000000})

    def stop(self):
        """Ends like a process that exits: its connections close."""
        self.ended = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_head(reader):
                body = await reader.readexactly(int(request[1].get("content-length", 0)))
                await self.answer(request, body, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def answer(self, request, body, writer):
        fields = {"Savoryscale-Instance-Id": self.id, **self.more_fields,
                  "Savoryscale-Instance-Load": f"{min(self.running, self.slots)},{max(0, self.running - self.slots)},"
                                               f"{self.slots},100"}
        if request[0].split(" ")[1] == "/health":
            writer.write(message("HTTP/1.1 503 No" if self.leaving else "HTTP/1.1 200 OK", fields))
            return
        attempt = request[1]["savoryscale-attempt-id"]
        fields["Savoryscale-Attempt-Id"] = attempt
        if request[1].get("savoryscale-expect-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request", {**fields, "Savoryscale-Not-Executed": 1}))
            return
        self.arrivals.append((attempt, time.time()))
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        if self.ended:
            return
        answer = f"answer to {attempt}".encode()
        fields["Savoryscale-Response-Seal"] = hashlib.sha256(attempt.encode() + answer).hexdigest()[:16]
        writer.write(message("HTTP/1.1 200 OK", fields, answer))
        self.finished[attempt] = time.time()


class Host:
    """One host: a process of the deploy file's command, with the template filled for a small deployment."""

    def __init__(self, number, store, ports, bounds, folder):
        self.ip, self.number = f"127.0.0.{10 + number}", number
        self.front, self.ready, self.control, self.internal = ports
        self.store, self.bounds, self.folder, self.seeds, self.bootstrap = store, bounds, folder, [], True
        self.file, self.process = folder / f"host-{number}.json", None

    def write_settings(self):
        fields = {
            "node": f"front-{self.number}", "role": "entry", "node_class": "front", "zone": "zone-a", "region": "region-1",
            "ip": self.ip, "serves": ["front", "control"], "in_tolerance": False, "bootstrap": self.bootstrap,
            "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "internal_ports": [self.internal, self.internal + 15], "seeds": self.seeds,
            "listen": {"front": f"{self.ip}:{self.front}", "ready": f"{self.ip}:{self.ready}",
                       "control": f"{self.ip}:{self.control}"},
            "zones": {"zone-a": "region-1"}, "discovery": "platform", "entry": "vip", "heartbeat_s": 1.5,
            "platform": {"address": f"{IP}:{self.store.port}", "form": "objects", "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576, "min_ttl_s": 1},
            "bounds": self.bounds}
        self.file.write_text(fill(TEMPLATE.read_text(), fields))

    async def start(self):
        self.write_settings()
        with (self.folder / f"host-{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), "serve", f"--settings={self.file}", stdout=log, stderr=log, cwd=str(ROOT))
        self.bootstrap = False

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            answer = await read_head(reader)
            writer.close()
            return answer is not None and answer[0].split(" ")[1] == "200"
        except OSError:
            return False


class Proxy:
    """Passes bytes on between two hosts. While it is cut, bytes in both directions are held up and new connections hang."""

    def __init__(self, ip, to):
        self.ip, self.to, self.port, self.cut = ip, to, free_ports(1)[0], False

    async def start(self):
        await asyncio.start_server(self.accept, self.ip, self.port, backlog=256)

    async def pass_on(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.cut:
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()

    async def accept(self, reader, writer):
        try:
            while self.cut:
                await asyncio.sleep(0.01)
            far_reader, far_writer = await asyncio.open_connection(*self.to)
            await asyncio.gather(self.pass_on(reader, far_writer), self.pass_on(far_reader, writer))
        except OSError:
            pass
        finally:
            writer.transport.abort()


class World:
    """Store, hosts and consumers of one case, and its record."""

    def __init__(self, case, hosts, bounds):
        self.case = pathlib.Path(case).resolve().parent
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        ports = free_ports(4)
        self.hosts = [Host(number, self.store, ports, bounds, self.folder) for number in range(hosts)]
        for host in self.hosts:
            host.seeds = self.seeds_of(self.hosts[:3])
        self.lines, self.sent, self.answers = [], {}, {}
        self.count, self.stopped, self.began, self.callers = 0, False, time.time(), []

    @staticmethod
    def seeds_of(hosts):
        return [f"{host.ip}:{host.control}" for host in hosts]

    def note(self, text):
        self.lines.append(f"{time.time() - self.began:8.3f} {text}")
        print(self.lines[-1], flush=True)

    async def start(self, desired_state, targets):
        await self.store.start()
        for target in targets:
            await target.start()
        await self.store.put("config", "main", desired_state)
        for host in self.hosts:
            await host.start()
        ends = time.time() + 20
        while not all([await host.is_ready() for host in self.hosts]):
            if time.time() > ends or any(host.process.returncode is not None for host in self.hosts):
                raise RuntimeError("not all hosts became ready")
            await asyncio.sleep(0.1)
        self.began = time.time()

    async def call_forever(self, host, per_second, method="GET", path="/look/", fields=None, deadline_ms=2000):
        """A consumer that keeps its connection and sends so many requests a second, one after the other."""
        reader = writer = None
        while not self.stopped:
            began = time.time()
            self.count += 1
            attempt = f"a{self.count:07x}"
            try:
                if writer is None:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, host.front), 1)
                self.sent[attempt] = (time.time(), host.number)
                writer.write(message(f"{method} {path}{attempt} HTTP/1.1", {
                    "Host": "shop.example", "Savoryscale-Attempt-Id": attempt, "Savoryscale-Deadline-Ms": deadline_ms,
                    **(fields or {})}, b"lot" if method == "POST" else b""))
                answer = await asyncio.wait_for(read_head(reader), deadline_ms / 1000 + 2)
                if answer is None:
                    raise ConnectionError("closed")
                await reader.readexactly(int(answer[1].get("content-length", 0)))
                self.answers[attempt] = (time.time(), answer[0].split(" ")[1], answer[1])
                if answer[1].get("connection", "").lower() == "close":
                    raise ConnectionError("closes")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                self.answers.setdefault(attempt, (time.time(), "closed", {}))
                if writer:
                    writer.transport.abort()
                writer = None
                await asyncio.sleep(0.02)
            await asyncio.sleep(max(0.0, 1 / per_second - (time.time() - began)))

    def call(self, *arguments, **named):
        self.callers.append(asyncio.create_task(self.call_forever(*arguments, **named)))

    async def end(self):
        self.stopped = True
        await asyncio.gather(*self.callers, return_exceptions=True)
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process:
                await host.process.wait()

    def record(self, targets):
        """Writes what was sent, answered and run."""
        ran = {}
        for target in targets:
            for attempt, at in target.arrivals:
                ran.setdefault(attempt, []).append((at, target.id))
        lines = ["# events: seconds since the hosts were ready", *self.lines,
                 "# requests: attempt, host, sent, answered, status, then each run: time and target"]
        for attempt, (at, host) in self.sent.items():
            ended, status, _ = self.answers.get(attempt, (0, "none", {}))
            lines.append(f"{attempt} host-{host} {at - self.began:.3f} {ended - self.began:.3f} {status} "
                         + " ".join(f"{when - self.began:.3f}@{name}" for when, name in ran.get(attempt, [])))
        (self.case / "record.txt").write_text("\n".join(lines) + "\n")


def main(case):
    """Runs the coroutine of a case, which returns the number of its result, and exits with it."""
    if not PROGRAM.exists():
        print(f"{PROGRAM.relative_to(ROOT)} does not exist; build it as deploy/system.toml says")
        sys.exit(NOT_RUN)
    try:
        sys.exit(asyncio.run(case()))
    except Exception as failed:  # any fault of the case itself is no verdict
        print(f"the case could not run: {failed}")
        sys.exit(NOT_RUN)
