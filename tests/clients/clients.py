#!/usr/bin/env python3
"""Starts one host and lets a crowd of clients that do not keep to the limits come at it.

    tests/clients/clients.py PROGRAM KIND PLACE    KIND: see kinds.py; PLACE: door or pages

Checks only what does not depend on the machine's speed: the process lives, its memory and its open descriptors stay
under a bound, and ordinary requests are answered while the crowd is connected and after it has left. KINDs `calm`
and `calm_fields` are one request of the largest legal size or of the most fields, without a crowd.
"""

import asyncio
import json
import os
import pathlib
import random
import socket
import sys
import tempfile

import crowd
import kinds

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "soak"))
from world import IP, Proxy, Store, Target, message, read_message  # noqa: E402


class BodyTarget(Target):
    """A target that also reads bodies in chunks."""

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                first, *lines = head.decode("latin-1").rstrip().split("\r\n")
                fields = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines)}
                body = b""
                if "transfer-encoding" in fields:
                    while size := int(await reader.readuntil(b"\r\n"), 16):
                        body += (await reader.readexactly(size + 2))[:-2]
                    await reader.readuntil(b"\r\n")
                else:
                    body = await reader.readexactly(int(fields.get("content-length", 0)))
                if not await self.answer((first, fields, body), writer):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

# The host's limits, low so that a small crowd exceeds them.
MAX_CONNECTIONS = 300
BODY_MEMORY_MB = 4
CROWD = 600  # connections, twice as many as the host takes
IDLE_S = HEADER_S = 60  # longer than ANSWER_WAIT_S: waiting for these does not help
ROUNDS = 120

# Growth of the process from its start to its peak, and its descriptors.
MEMORY_BOUND_KB = 24 << 10
DESCRIPTOR_BOUND = 2 * MAX_CONNECTIONS + 64

KEY, UNKNOWN_KEY = "kn2ftimaj3nr26tta828", "nobody-has-this-key"
ANSWER_WAIT_S = 30  # far longer than any answer takes; a host that hangs is found by it


PORTS_DRAWN = set()  # by this process: they stay free to bind until their servers start


def free_ports(count):
    """Ports below the range of outgoing connections, so that none is taken by a client. None is drawn twice."""
    ports = []
    pick = random.SystemRandom()
    while len(ports) < count:
        port = pick.randrange(12000, 31000)
        with socket.socket() as probe:
            try:
                probe.bind((IP, port))
            except OSError:
                continue
        if port not in PORTS_DRAWN:
            PORTS_DRAWN.add(port)
            ports.append(port)
    return ports


class Host:
    """The process under test."""

    def __init__(self, program, folder, store_port):
        self.program, self.folder = program, folder
        self.port, self.ready_port, self.feed_port, self.relay_port = free_ports(4)
        self.store_port = store_port
        self.process = None
        self.base_kb = 0

    def settings(self):
        return {
            "host": {"id": "host-1", "data_centre": "here", "region": "here"},
            "listen": {"address": f"{IP}:{self.port}", "stop_lag_ms": 100, "grace_s": 4,
                       "max_connections": MAX_CONNECTIONS, "body_memory_mb": BODY_MEMORY_MB,
                       "fractional_retry_after": True, "refusals_prove_not_run": True},
            "ready": {"address": f"{IP}:{self.ready_port}", "path": "/ready"},
            "directory": {"store": f"{IP}:{self.store_port}",
                          "feed": {"address": f"{IP}:{self.feed_port}", "hosts": [f"{IP}:{self.feed_port}"],
                                   "relay": f"{IP}:{self.relay_port}"},
                          "service": {"policy": "probed", "not_run_statuses": [421],
                                      "not_run_header": "X-Not-Run"}},
            "header_names": {"request_id": "X-Id", "caller_sets_request_id": True, "deadline": "X-Deadline",
                             "seal": "X-Seal", "expect_instance": "X-Expect", "instance": "X-Instance",
                             "load": "X-Load"},
        }

    async def start(self):
        file = self.folder / "host.json"
        file.write_text(json.dumps(self.settings()))
        with (self.folder / "host.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, "serve", f"--settings={file}", stdout=log, stderr=log)

    def memory_kb(self, name):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1])
        return 0

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


async def request(port, method, path, body=b"", key=KEY, patience=ANSWER_WAIT_S):
    """Sends one request like an ordinary caller: a refusal or a closed connection is tried again. Returns the
    status and the body of the last answer, 0 without one."""
    status, answer = 0, b""
    deadline = asyncio.get_running_loop().time() + patience
    fields = {"Host": "a.example", "X-Id": "ordinary", "X-Deadline": "2000", "Authorization": f"Token {key}"}
    while status not in (200, 401, 404) and asyncio.get_running_loop().time() < deadline:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(IP, port), 5)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.05)
            continue
        try:
            writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
            read = await asyncio.wait_for(read_message(reader), 10)
            if read:
                status, answer = int(read[0].split()[1]), read[2]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()
        if status != 200:
            await asyncio.sleep(0.05)
    return status, answer


class Run:
    """One host with its store and its targets, and what was found."""

    def __init__(self, program, folder):
        ports = free_ports(9)
        self.store = Store(ports[0])
        self.host = Host(program, folder, ports[0])
        self.targets = [BodyTarget(i, "ledger", self.store, ports[1 + 2 * i], Proxy(ports[2 + 2 * i], ports[1 + 2 * i]), i)
                        for i in range(4)]
        self.findings = []
        self.descriptors = 0

    async def start(self):
        await self.store.start()
        for target in self.targets:
            await target.proxy.start()
            await target.start()
        await self.store.put("config", "main", {
            "version": "r1",
            "routes": [{"name": name, "host": "a.example", "path_prefix": f"/{name}/", "route_type": kind,
                        "timeout_s": 2, "latency_goal_s": 0.3, "max_attempts": 3, "priority": 1, "service": "ledger"}
                       for name, kind in (("look", "safe"), ("sell", "unsafe"))],
            "services": [{"name": "ledger", "health_path": "/health", "max_conns": 200}],
            "tenants": [{"name": "kaje", "api_keys": [KEY]}],
            "limits": {"max_header_bytes": kinds.MAX_HEADER_BYTES, "max_body_bytes": kinds.MAX_BODY_BYTES,
                       "header_timeout_s": HEADER_S,
                       "idle_timeout_s": IDLE_S}})
        await self.host.start()
        await self.check_served("before the crowd")
        self.host.base_kb = self.host.memory_kb("VmHWM")

    async def check_served(self, when):
        """One ordinary request, and the platform's own check of readiness."""
        status, _ = await request(self.host.port, "GET", "/look/1")
        if status != 200:
            self.findings.append(f"{when}: an ordinary request got {status or 'no answer'}")
        status, _ = await request(self.host.ready_port, "GET", "/ready")
        if status != 200:
            self.findings.append(f"{when}: the readiness address answered {status or 'nothing'}")

    def is_alive(self, when):
        if self.host.process.returncode is None:
            return True
        self.findings.append(f"{when}: the process ended with {self.host.process.returncode}")
        return False

    async def watch(self):
        while self.host.process.returncode is None:
            self.descriptors = max(self.descriptors, self.host.descriptors())
            await asyncio.sleep(0.02)

    def door(self, kind):
        """The crowd at the door: at routes with a known, an unknown and no key, at a path without a route, and at
        the path that says ready."""
        ways = [("/sell/2", KEY), ("/look/2", KEY), ("/sell/2", KEY), ("/sell/2", UNKNOWN_KEY), ("/sell/2", ""),
                ("/nowhere", KEY), ("/ready", "")]
        return [crowd.Client(self.host.port, kind(*ways[number % len(ways)], number // len(ways)))
                for number in range(CROWD)]

    def pages(self, kind):
        """The crowd at the addresses that operators and other hosts use."""
        ways = [(self.host.ready_port, "/ready"), (self.host.ready_port, "/metrics"), (self.host.ready_port, "/none"),
                (self.host.feed_port, "/directory?0.0.0"), (self.host.feed_port, "/hosts/here"),
                (self.host.relay_port, "/sell/2")]
        return [crowd.Client(ways[number % len(ways)][0],
                             kind(ways[number % len(ways)][1], KEY, number // len(ways)))
                for number in range(CROWD)]

    async def play(self, kind, place):
        clients = (self.door if place == "door" else self.pages)(kinds.KINDS[kind])
        await crowd.play(clients, ROUNDS)
        sent = sum(client.sent for client in clients)
        if self.is_alive("under the crowd"):
            await self.check_served("under the crowd")
        for client in clients:
            client.close()
        if self.is_alive("after the crowd"):
            await self.check_served("after the crowd")
        return sent

    async def play_calm_fields(self):
        """One request of as many short fields as the limits allow."""
        fields = b"a:\r\n" * (kinds.FIELDS_BYTES // 4)
        text = kinds.head("GET", "/look/4", KEY, "Connection: " + "b," * 100 + "a") + fields + b"\r\n"
        reader, writer = await asyncio.open_connection(IP, self.host.port)
        writer.write(text)
        read = await asyncio.wait_for(read_message(reader), ANSWER_WAIT_S)
        writer.transport.abort()
        if not read or int(read[0].split()[1]) != 200:
            self.findings.append(f"a request with many short fields got {read and read[0]}")
        return len(text)

    async def play_calm(self):
        """One request of the largest legal size."""
        body = b"y" * kinds.MAX_BODY_BYTES
        status, answer = await request(self.host.port, "POST", "/sell/3", body)
        if status != 200 or not answer.endswith(body):
            self.findings.append(f"the largest legal request got {status} with {len(answer)} bytes")
        return len(body)

    def check_bounds(self):
        if not self.is_alive("at the end"):
            return 0
        grown = self.host.memory_kb("VmHWM") - self.host.base_kb
        if grown > MEMORY_BOUND_KB:
            self.findings.append(f"memory grew by {grown} KB; bound: {MEMORY_BOUND_KB}")
        if self.descriptors > DESCRIPTOR_BOUND:
            self.findings.append(f"{self.descriptors} descriptors were open; bound: {DESCRIPTOR_BOUND}")
        return grown


async def main(program, kind, place):
    with tempfile.TemporaryDirectory(prefix="clients-") as folder:
        run = Run(program, pathlib.Path(folder))
        try:
            await run.start()
            watcher = asyncio.create_task(run.watch())
            calm = {"calm": run.play_calm, "calm_fields": run.play_calm_fields}
            sent = await (calm[kind]() if kind in calm else run.play(kind, place))
            grown = run.check_bounds()
            watcher.cancel()
        finally:
            if run.host.process and run.host.process.returncode is None:
                run.host.process.kill()
                await run.host.process.wait()
    print(f"{kind} {place}: {sent >> 10} KB sent, memory grew by {grown} KB, {run.descriptors} descriptors")
    for finding in run.findings:
        print(f"FOUND {finding}")
    return 1 if run.findings else 0


if __name__ == "__main__":
    if len(sys.argv) != 4 or sys.argv[2] not in (*kinds.KINDS, "calm", "calm_fields"):
        sys.exit(__doc__)
    sys.exit(asyncio.run(main(*sys.argv[1:])))
