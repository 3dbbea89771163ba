"""QUOTA: the host that grants an allotment is cut off from the other hosts for 3 s. It goes on granting the whole allotment to its
own consumers, and the next one grants it to all others; when the cut heals, the same happens once more."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import kit3  # noqa: E402

HOSTS = 10  # one of them is a share of 0.1
RATE, BURST, FLOOD = 200, 20, 900  # requests a second of the tenant's limit, its burst, and what its consumers send
FIRST_SHARE = 0.33  # of these, through the host that is cut off: the share of connections is uneven
CALLERS = 6  # of each host
WINDOW, OVERAGE, SLACK = 5, 0.1, 20
CUT_AT_S, CUT_S, LENGTH_S = 2, 3, 9
BOUND = (RATE * WINDOW + BURST) * (1 + OVERAGE) + SLACK
BOUNDS = {"drain_s": 2.5, "grace_s": 6, "retry_budget_ratio": 0.2, "retry_budget_slack": 192, "quota_window_s": WINDOW,
          "quota_overage": OVERAGE, "quota_slack": SLACK, "probes_per_s": 42}
STATE = {
    "version": "r5",
    "routes": [{"name": "look", "host": "shop.example", "path_prefix": "/look/", "route_type": "safe", "timeout_s": 2,
                "latency_goal_s": 0.3, "max_attempts": 1, "priority": 1, "service": "shop"}],
    "services": [{"name": "shop", "health_path": "/health", "max_conns": 1040}],
    "tenants": [{"name": "hot", "api_keys": ["key-hot"], "rate_per_s": RATE, "burst": BURST, "priority": 1}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000, "header_timeout_s": 5, "idle_timeout_s": 10}}


def most_in_window(world, targets):
    """The most requests that were sent and arrived within one window, and when it began."""
    ran = sorted((world.sent[attempt][0], at) for target in targets for attempt, at in target.arrivals)
    counts = [(sum(sent >= begin and at <= begin + WINDOW for sent, at in ran), begin) for begin, _ in ran]
    return max(counts, default=(0, world.began))


async def case():
    world = kit3.World(__file__, HOSTS, BOUNDS)
    targets = [kit3.Target(number, world.store, "shop", slots=40) for number in range(4)]
    first, seeds = world.hosts[0], world.hosts[:3]
    # The addresses keep the order of the seeds: 127.0.0.10 or .100, 127.0.0.11 or .111, 127.0.0.12 or .112.
    to_first = kit3.Proxy("127.0.0.100", (first.ip, first.control))
    from_first = [kit3.Proxy(f"127.0.0.{111 + at}", (host.ip, host.control)) for at, host in enumerate(seeds[1:])]
    for host in world.hosts[1:]:
        host.seeds = [f"{to_first.ip}:{to_first.port}", *world.seeds_of(seeds[1:])]
    first.seeds = [*world.seeds_of([first]), *(f"{link.ip}:{link.port}" for link in from_first)]
    try:
        for link in [to_first, *from_first]:
            await link.start()
        await world.start(STATE, targets)
        for host in world.hosts:
            share = FIRST_SHARE if host is first else (1 - FIRST_SHARE) / (HOSTS - 1)
            for _ in range(CALLERS):
                world.call(host, FLOOD * share / CALLERS, fields={"Authorization": "Token key-hot"})
        await asyncio.sleep(world.began + CUT_AT_S - time.time())
        if kit3.TROUBLE:
            for link in [to_first, *from_first]:
                link.cut = True
            world.note("host 0, the first of the seeds, is cut off from the other hosts")
            await asyncio.sleep(CUT_S)
            for link in [to_first, *from_first]:
                link.cut = False
            world.note("the cut has healed")
        await asyncio.sleep(world.began + LENGTH_S - time.time())
    finally:
        await world.end()
    most, begin = most_in_window(world, targets)
    per_second = [0] * (LENGTH_S + 3)
    for target in targets:
        for _, at in target.arrivals:
            per_second[int(at - world.began)] += 1
    world.note(f"requests that ran in each second: {per_second}")
    world.note(f"QUOTA: {most} requests in {WINDOW} s from {begin - world.began:.2f} s on; the bound is {BOUND:.0f}")
    world.record(targets)
    if not any(per_second):
        return kit3.NOT_RUN
    return kit3.BROKEN if most > BOUND else kit3.HELD


kit3.main(case)
