"""Hang: clients that are not controlled send requests of legal size ahead, whose path is made of slashes. The hosts serve
nobody for as long as they work these off."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import kit3  # noqa: E402

HOSTS, CALLERS, PER_SECOND = 2, 4, 5  # ordinary callers of each host, and requests a second of each
CLIENTS, AHEAD = 100, 80  # clients at each host that do not behave, and requests that each sends ahead
MAX_HEADER_BYTES, PATH_BYTES = 16384, 16000
CROWD_S, LENGTH_S, SPAN_S = 3, 23, 10
BOUNDS = {"drain_s": 2, "grace_s": 6, "retry_budget_ratio": 0.2, "retry_budget_slack": 56, "probes_per_s": 60}
STATE = {
    "version": "r5",
    "routes": [{"name": "look", "host": "shop.example", "path_prefix": "/look/", "route_type": "safe", "timeout_s": 2,
                "latency_goal_s": 0.3, "max_attempts": 2, "priority": 1, "service": "shop"}],
    "services": [{"name": "shop", "health_path": "/health", "max_conns": 220}],
    "limits": {"max_header_bytes": MAX_HEADER_BYTES, "max_body_bytes": 67108864, "header_timeout_s": 3,
               "idle_timeout_s": 15}}
REQUEST = f"GET {'/' * PATH_BYTES} HTTP/1.1\r\nHost: shop.example\r\n\r\n".encode()


async def send_ahead(host):
    """A client that sends its requests at once and reads no answer."""
    try:
        _, writer = await asyncio.open_connection(host.ip, host.front)
        for _ in range(AHEAD):
            writer.write(REQUEST)
            await writer.drain()
        await asyncio.sleep(LENGTH_S)
    except OSError:
        pass


async def ask_ready(host, asked):
    """The platform's question, once a second."""
    while True:
        began = time.time()
        try:
            asked.append((began, host.number, await asyncio.wait_for(host.is_ready(), 1)))
        except (OSError, asyncio.TimeoutError, ConnectionError):
            asked.append((began, host.number, False))
        await asyncio.sleep(max(0.0, began + 1 - time.time()))


async def case():
    world = kit3.World(__file__, HOSTS, BOUNDS)
    targets = [kit3.Target(number, world.store, "shop", slots=4) for number in range(4)]
    asked, others = [], []
    try:
        await world.start(STATE, targets)
        for host in world.hosts:
            others.append(asyncio.create_task(ask_ready(host, asked)))
            for _ in range(CALLERS):
                world.call(host, PER_SECOND)
        await asyncio.sleep(CROWD_S)
        if kit3.TROUBLE:
            world.note(f"{CLIENTS} clients at each of {HOSTS} hosts send {AHEAD} requests of {len(REQUEST)} bytes each ahead")
            others += [asyncio.create_task(send_ahead(host)) for host in world.hosts for _ in range(CLIENTS)]
        await asyncio.sleep(LENGTH_S - CROWD_S)
        for each in others:
            each.cancel()
    finally:
        await world.end()
    broken = False
    for host in world.hosts:
        served = [0] * (LENGTH_S + 3)
        for attempt, (at, number) in world.sent.items():
            if number == host.number and world.answers.get(attempt, (0, "none"))[1] == "200":
                served[int(at - world.began)] += 1
        least, begin = min((sum(served[begin:begin + SPAN_S]), begin) for begin in range(LENGTH_S - SPAN_S))
        usual = CALLERS * PER_SECOND * SPAN_S
        ready = [int(is_ready) for _, number, is_ready in asked if number == host.number]
        world.note(f"host {host.number}: ordinary requests that were served, by the second in which they were sent: {served}")
        world.note(f"host {host.number}: least in {SPAN_S} s: {least}, from second {begin} on; {usual} are sent when it answers")
        world.note(f"host {host.number}: answers to the platform's question whether it is ready: {ready}")
        broken = broken or least < usual / 10
    world.record(targets)
    if not any(status == "200" for _, status, _ in world.answers.values()):
        return kit3.NOT_RUN
    return kit3.BROKEN if broken else kit3.HELD


kit3.main(case)
