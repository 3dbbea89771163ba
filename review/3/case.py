"""A seed starts again just after a target has reported that it drains. The store's serializable reads are served by
two copies in turn, one of which is 2 s behind."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from deployment import BOUNDS, Client, Host, route, run_case

HOSTS = 4  # the first three are the seeds
OTHERS = 540  # targets of services that have no route here
COPY_LAG_S = 2.0
LINGER_S = 8.0  # for which the target serves after drain_s
CONSUMERS = 8


async def case(deployment):
    store = deployment.store
    store.copy_lag_s = COPY_LAG_S
    await store.start()
    for number in range(OTHERS):
        await store.write("servers", f"i-{number:08x}", {
            "service": f"other-{number % 60}", "address": f"127.0.0.4:{20000 + number}", "zone": "zone-a",
            "version": "v1", "slots": 2, "state": "ready", "warmup_left_s": 0, "sequence": 1,
            "born": 1_700_000_000_000})
    targets = [deployment.target("ledger", name=f"i-f{number:07x}") for number in range(7)]
    for target in targets:
        await target.start()
    await deployment.publish([route("look", "safe", "ledger"), route("sell", "unsafe", "ledger")], ["ledger"])
    await asyncio.sleep(COPY_LAG_S + 0.5)
    await deployment.start_hosts()
    await asyncio.sleep(4)
    client, running = Client(deployment), []

    async def consume(number):
        """Sends a request to a machine that is in rotation, over and over."""
        count = number
        while deployment.now() < until:
            count += 1
            up = [host for host in deployment.hosts if host.process.returncode is None]
            host = up[count % len(up)]
            method, path, body = ("POST", "/sell/lot", b"lot") if count % 3 == 0 else ("GET", "/look/lot", b"")
            await client.send(host, method, path, 1200, body)
            await asyncio.sleep(0.05)

    until = deployment.now() + 18
    running = [asyncio.create_task(consume(number)) for number in range(CONSUMERS)]
    await asyncio.sleep(2)
    seed, leaving = deployment.hosts[0], targets[3]
    leaving.tells_health = False
    await leaving.drain(LINGER_S)
    bound = leaving.drain_confirmed + BOUNDS["drain_s"]
    if deployment.trouble:
        await seed.kill()
        await asyncio.sleep(0.5)
        await seed.start()
        await seed.wait_ready()
    await asyncio.gather(*running)
    late = [(at, attempt) for at, attempt, in_touch in leaving.arrivals if at > bound and in_touch]
    if not late:
        return False, f"no request reached {leaving.name} later than drain_s after the confirmation, by machines in touch"
    by = sorted({client.sent[attempt].host.name for _, attempt in late})
    lost = [attempt for attempt in leaving.lost if client.sent[attempt].status != "200"]
    return True, (f"DRAIN: {len(late)} requests reached {leaving.name} later than drain_s after the confirmation, up to "
                  f"{max(at for at, _ in late) - leaving.drain_confirmed:.1f} s after it, by {', '.join(by)}, in touch; "
                  f"{len(lost)} of them were cut when it exited")


run_case(pathlib.Path(__file__).parent, case, HOSTS)
