"""Environment of the entry hosts in a soak run: the store, the targets, and proxies that inject faults.

All of it runs in the event loop of the soak test, on loopback. The store speaks the users' protocol. Targets
run one request per slot and record what they ran.
"""

import asyncio
import hashlib
import json
import random
import urllib.parse

IP = "127.0.0.1"
SLOTS = 2
TARGET_QUEUE = 4
PAGE = 4  # objects on a page of a list
# Entries of another writer: the first two pages of the list, and others among those of targets ("t0-1").
FOREIGN_NAMES = ["a\r\nX-Injected: 1", "a b", "a#b", "a#c", "a%41", "a&b", "a+b", "a/b", "t0#1", "t1 ", "t3?", "\u00e4"]
# How a store may read a value in a query: as in a form, percent-decoded only, or as it stands.
QUERY_READINGS = [urllib.parse.unquote_plus, urllib.parse.unquote, str]
HEARTBEAT_S = 0.5  # between two writes of a target's entry
KILLER_PATH = "/sell/killer-"  # crashes each target that begins to run it
EXPIRY_HEARTBEATS = 3  # missed heartbeats after which the entry of a target is removed


def seal_of(attempt, body):
    """Returns the digest that a target adds to its answer and that callers verify."""
    return hashlib.sha256(attempt.encode() + body).hexdigest()[:16]


async def read_message(reader):
    """Reads one HTTP message: first line, header fields by lower-case name, body. None at end of stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("connection closed within a message header") from error
        return None
    first, *lines = head.rstrip().split("\r\n")
    fields = {name.strip().lower(): value.strip()
              for name, value in (line.split(":", 1) for line in lines)}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return first, fields, body


def message(first, fields, body=b""):
    """Formats an HTTP message."""
    lines = [first, *(f"{name}: {value}" for name, value in fields.items()),
             f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Proxy:
    """A TCP relay that can delay data, block one or both directions, and reset or stall its open connections."""

    def __init__(self, port, to_port):
        self.port, self.to_port = port, to_port
        self.delay_s = 0.0
        self.cut = ""  # "", "both", "up" (towards the target), "down"
        self.connections = {}
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, IP, self.port, backlog=256)

    async def accept(self, reader, writer):
        pair = {"silent": False, "writers": [writer]}
        try:
            up_reader, up_writer = await asyncio.open_connection(IP, self.to_port)
            pair["writers"].append(up_writer)
            self.connections[id(pair)] = pair
            await asyncio.wait([asyncio.create_task(self.pump(pair, reader, up_writer, "up")),
                                asyncio.create_task(self.pump(pair, up_reader, writer, "down"))],
                               return_when=asyncio.ALL_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(id(pair), None)
            for each in pair["writers"]:
                each.transport.abort()

    async def pump(self, pair, reader, writer, way):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while pair["silent"] or self.cut in ("both", way):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            for each in pair["writers"]:
                each.transport.abort()

    def silence(self):
        """Stalls every open connection for good; new connections work."""
        for pair in self.connections.values():
            pair["silent"] = True

    def reset(self):
        """Resets every open connection."""
        for pair in list(self.connections.values()):
            for writer in pair["writers"]:
                writer.transport.abort()


class Store:
    """The object store: lists, watches, and a change history that can be compacted."""

    def __init__(self, port, read_value=QUERY_READINGS[0]):
        self.port = port
        self.read_value = read_value
        self.revision = 1
        self.objects = {"config": {}, "servers": {}, "evacuations": {}, "suspicions": {}}
        self.log = []
        self.compacted = 0  # changes up to this revision are dropped
        self.mode = ""  # "", "down", "silent", "slow"
        self.era = 1
        self.copies = []  # (time, revision, objects), one for each change
        self.changed = asyncio.Condition()
        self.disturbed_until = 0.0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, self.port, backlog=256)

    async def put(self, kind, name, spec):
        """Writes one object if it changed, and returns it; waits while the store injects a fault."""
        while self.mode:
            await asyncio.sleep(0.05)
        async with self.changed:
            known = self.objects.get(kind, {}).get(name)
            if known and known["spec"] == spec:
                return known
            self.revision += 1
            created = known["metadata"]["created"] if known else self.revision
            entry = {"metadata": {"name": name, "revision": self.revision, "created": created},
                     "spec": spec}
            self.keep_copy()
            self.objects.setdefault(kind, {})[name] = entry
            self.log.append((self.revision, kind, {"object": entry, "deleted": False}))
            self.changed.notify_all()
            return entry

    async def remove(self, kind, name):
        async with self.changed:
            if name in self.objects.get(kind, {}):
                self.keep_copy()
                entry = self.objects[kind].pop(name)
                self.revision += 1
                self.log.append((self.revision, kind, {"object": entry, "deleted": True}))
                self.changed.notify_all()

    def keep_copy(self):
        """Keeps the state before a change, for restore()."""
        objects = {kind: dict(named) for kind, named in self.objects.items()}
        self.copies.append((asyncio.get_running_loop().time(), self.revision, objects))

    async def restore(self, age_s):
        """Comes back from a copy of this age, in the next era. Later revisions are given out again."""
        async with self.changed:
            wanted = asyncio.get_running_loop().time() - age_s
            later = [copy for copy in self.copies if copy[0] >= wanted]
            if later:
                _, self.revision, self.objects = later[0]
                self.copies = [copy for copy in self.copies if copy[0] < wanted]
                self.log = [change for change in self.log if change[0] <= self.revision]
                self.compacted = min(self.compacted, self.revision)
            self.era += 1
            self.changed.notify_all()

    async def drop_history(self):
        """Drops the change history and ends the waiting watches."""
        async with self.changed:
            self.compacted = self.revision
            self.log.clear()
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while request := await read_message(reader):
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                if self.mode == "slow":
                    await asyncio.sleep(0.25)
                method, _, target = request[0].partition(" ")
                path, _, version = target.partition(" ")
                if self.mode == "down":
                    status, body = 503, {}
                elif version != "HTTP/1.1" or not path.isascii() or "#" in path:
                    status, body = 400, {}
                elif method == "GET":
                    status, body = await self.answer(path)
                else:
                    status, body = await self.write(method, path, request[2])
                writer.write(message(f"HTTP/1.1 {status} X", {"Store-Era": self.era},
                                     json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def write(self, method, path, body):
        """Creates, replaces or removes an object of the hosts' own."""
        path, _, query = path.partition("?")
        kind, *named = map(urllib.parse.unquote, path.split("/")[3:])
        known = self.objects.get(kind, {})
        given = json.loads(body) if body else {"metadata": {}}
        name = named[0] if named else given["metadata"]["name"]
        if (name in known) == (method == "POST"):
            return (409, known[name]) if name in known else (404, {})
        expected = int(query.removeprefix("revision=") or given["metadata"].get("revision", 0))
        if expected and expected != known[name]["metadata"]["revision"]:
            return 409, known[name]
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        return 200, await self.put(kind, name, given["spec"])

    async def answer(self, path):
        path, _, query = path.partition("?")
        kind, *named = map(urllib.parse.unquote, path.split("/")[3:])
        if named:
            known = self.objects.get(kind, {}).get(named[0])
            return (200, known) if known else (404, {})
        pairs = (pair.partition("=") for pair in query.split("&"))
        parameters = {name: self.read_value(value) for name, _, value in pairs}
        if "watch" not in parameters:
            known = self.objects.get(kind, {})
            names = sorted(name for name in known if name > parameters.get("after", ""))
            return 200, {"items": [known[name] for name in names[:PAGE]], "has_more": len(names) > PAGE,
                         "store_revision": self.revision}
        after, wait = int(parameters["watch"]), int(parameters["wait_ms"]) / 1000
        compacted, era = self.compacted, self.era
        if after > self.revision:
            return 410, {}

        def events():
            return [event for revision, each, event in self.log if revision > after and each == kind]

        async with self.changed:
            try:
                # Not asyncio.wait_for: cancelled at its timeout, it returns before its task has the lock again.
                async with asyncio.timeout(wait):
                    await self.changed.wait_for(
                        lambda: (self.compacted, self.era) != (compacted, era) or self.mode or events())
            except TimeoutError:
                pass
            if after < self.compacted or self.era != era:
                return 410, {}
            return 200, {"events": events(), "store_revision": self.revision}


class Target:
    """One server of a service, behind its own proxy. A restart begins a new incarnation with a new id."""

    def __init__(self, number, service, store, port, proxy, seed):
        self.number, self.service, self.store = number, service, store
        self.port, self.proxy = port, proxy
        self.random = random.Random(seed)
        self.incarnation = 0
        self.alive = False
        self.draining_since = None
        self.slowdown = 1.0
        self.malformed_ratio = 0.0
        self.error_ratio = 0.0
        self.limit = None  # requests a second that it takes from all hosts together
        self.crashes = []  # (path, time) of the requests that crashed it
        self.received = []  # times of all requests, refused ones too
        self.running = 0
        self.waiting = 0
        self.runs = []  # (attempt id, time, service, incarnation)
        self.data_centre = "there" if number % 5 == 4 else "here"
        self.odd_organisations = []  # (attempt id, organisation) that do not belong together
        self.arrivals = []  # (time, attempt id) of requests that it did not refuse
        self.server = None
        self.writers = set()
        self.slots = asyncio.Semaphore(SLOTS)

    @property
    def id(self):
        return f"t{self.number}-{self.incarnation}"

    async def start(self):
        """Starts a new incarnation: listens and registers in the store."""
        self.incarnation += 1
        self.alive, self.draining_since = True, None
        self.running = self.waiting = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.server = await asyncio.start_server(self.serve, IP, self.port, backlog=256)
        if not self.proxy.server.is_serving():
            await self.proxy.start()
        asyncio.get_running_loop().create_task(self.send_heartbeats(self.incarnation))

    async def send_heartbeats(self, incarnation):
        """Writes the entry of this incarnation until it ends, and removes it after the expiry."""
        name = self.id
        while self.alive and self.incarnation == incarnation:
            await self.store.put("servers", name, {
                "service": self.service, "address": f"{IP}:{self.proxy.port}", "zone": self.data_centre,
                "version": "v1", "slots": SLOTS, "warmup_left_s": 0, "sequence": 1,
                "state": "draining" if self.draining_since else "ready",
                "born": incarnation})
            await asyncio.sleep(HEARTBEAT_S)
        await asyncio.sleep(HEARTBEAT_S * EXPIRY_HEARTBEATS)
        await self.store.remove("servers", name)

    async def crash_at(self, path):
        """Crashes by the request with this path, and starts again."""
        self.crashes.append((path, asyncio.get_running_loop().time()))
        if self.alive:
            self.stop()
            await asyncio.sleep(self.random.uniform(0.5, 2))
            await self.start()

    def stop(self):
        """Stops at once; requests in progress are lost."""
        self.alive = False
        self.server.close()
        self.proxy.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                if not await self.answer(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def load(self):
        fields = {"X-Load": f"{self.running},{self.waiting},{SLOTS},{int(self.slowdown * 100)}",
                  "X-Instance": self.id}
        return fields if self.limit is None else {**fields, "X-Limit": self.limit}

    async def answer(self, request, writer):
        first, fields, body = request
        method, path, _ = first.split()
        if path == "/health":
            writer.write(message("HTTP/1.1 503 No" if self.draining_since else "HTTP/1.1 200 OK",
                                 self.load()))
            return True
        attempt = fields["x-id"]
        self.received.append(asyncio.get_running_loop().time())
        not_run = {"X-Id": attempt, "X-Not-Run": "1", **self.load()}
        if fields.get("x-expect", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 No", not_run))
            return True
        if self.waiting >= TARGET_QUEUE:
            writer.write(message("HTTP/1.1 503 No", not_run))
            return True
        now = asyncio.get_running_loop().time()
        if path.startswith(KILLER_PATH):
            asyncio.get_running_loop().create_task(self.crash_at(path))
            await asyncio.sleep(1)
            return False
        self.arrivals.append((now, attempt))
        self.check_organisation(attempt, fields)
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.runs.append((attempt, asyncio.get_running_loop().time(), self.service, self.incarnation))
            try:
                await asyncio.sleep(self.random.uniform(0.02, 0.06) * self.slowdown)
                return await self.finish(attempt, f"{method} {path}".encode() + body, writer)
            finally:
                self.running -= 1

    def check_organisation(self, attempt, fields):
        sender = "callers" if attempt[0] in "ck" else "flooded" if attempt.startswith("flood") else "guests"
        if fields.get("x-organisation") != sender or "authorization" in fields:
            self.odd_organisations.append((attempt, fields.get("x-organisation", "")))

    async def finish(self, attempt, body, writer):
        fields = {"X-Id": attempt, "X-Seal": seal_of(attempt, body), **self.load()}
        draw = self.random.random()
        if draw < self.error_ratio:
            writer.write(message("HTTP/1.1 500 No", {"X-Id": attempt, **self.load()}))
        elif draw < self.error_ratio + self.malformed_ratio / 3:
            writer.write(message("HTTP/1.1 200 OK", fields, body)[:-4])
            return False
        elif draw < self.error_ratio + self.malformed_ratio * 2 / 3:
            stray = {"X-Id": "stray", "X-Seal": seal_of("stray", b"stray")}
            writer.write(message("HTTP/1.1 200 OK", fields, body) +
                         message("HTTP/1.1 200 OK", stray, b"stray"))
        elif draw < self.error_ratio + self.malformed_ratio * 5 / 6:
            writer.write(message("HTTP/1.1 000 No", fields, body))
        elif draw < self.error_ratio + self.malformed_ratio:
            return False
        else:
            writer.write(message("HTTP/1.1 200 OK", fields, body))
        await writer.drain()
        return True
