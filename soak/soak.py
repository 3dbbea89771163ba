#!/usr/bin/env python3
"""Randomized fault soak test: runs real entry hosts as processes, injects faults from outside, and checks
the guarantees by what callers and targets observe.

    soak/soak.py --seed 7            one run
    soak/soak.py --seeds 50          seeds 1 to 50; --seed 51 --seeds 50: seeds 51 to 100
    soak/soak.py --fresh 5           random seeds for 5 minutes
    soak/soak.py --regressions       every seed of soak/seeds.txt

A seed determines the plan of faults; their effect still depends on the scheduling of the machine. Exits with 1
if a guarantee was broken, and then keeps the hosts' logs of that run and prints their folder.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

from callers import Callers
from terms import EVACUATION_S, OVERAGE, SLACK, WINDOW_S, Terms
from world import (FOREIGN_NAMES, IP, KILLER_PATH, QUERY_READINGS, Proxy, Store, Target, message,
                   read_message)

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEEDS = ROOT / "soak" / "seeds.txt"

PORTS = 800  # used by one run, from --base-port on
DRAIN_S = 1.5
CONFIG_S = 1.5
GRACE_S = 4.0
FINDINGS_SHOWN = 10
KILLER_SENDS = 40  # of one request that crashes targets
KILLER_CALLERS = 20  # that send it, each from an address of its own
KILLER_SENDS_AFTER_THIRD = 3  # that all hosts together may forward after its third crash
LIMIT_NOTICE_S = 3.0  # after a target has named a limit; then it is checked
SETTLE_S = 3.0  # after a disturbance; then the time bounds are checked again
START_S = 4.0
FIRST_FAULT_S = DRAIN_S + 1.2  # after the callers start
RUN_MAX_S = 240.0  # of a run beside its fault phase


class Host:
    """One entry host: its process, its settings, and the proxies on its links."""

    def __init__(self, number, run):
        self.number, self.run = number, run
        base = run.options.base_port + 10 * number
        self.port, self.ready_port, self.feed_port = base, base + 1, base + 2
        self.store_link = Proxy(base + 3, run.store.port)
        self.feed_link = Proxy(base + 4, self.feed_port)  # through which other hosts read its feed
        self.process = None
        self.program = run.options.program
        self.incarnation = 0
        self.stopping = False
        self.disturbed_until = 0.0  # time bounds are not checked before this time
        self.stops = {}  # incarnation: value of disturbed_until when its planned stop began
        self.log = run.folder / f"host-{number}.log"

    def settings(self):
        peers = [f"{IP}:{self.feed_port if host is self else host.feed_link.port}"
                 for host in self.run.hosts[:2]]
        return {
            "host": {"id": f"host-{self.number}", "data_centre": "here", "region": "here"},
            "listen": {"address": f"{IP}:{self.port}", "stop_lag_ms": 500, "grace_s": GRACE_S,
                       "fractional_retry_after": True, "refusals_prove_not_run": True},
            "ready": {"address": f"{IP}:{self.ready_port}", "path": "/ready"},
            "directory": {"store": f"{IP}:{self.store_link.port}",
                          "feed": {"address": f"{IP}:{self.feed_port}", "hosts": peers},
                          "drain_s": DRAIN_S, "evacuation_s": EVACUATION_S,
                          "allotments": {"window_s": WINDOW_S, "overage": OVERAGE, "slack": SLACK},
                          "retry_ratio": 0.2, "retry_slack": 50,
                          "probes_per_target": 60,
                          "service": {"policy": "probed", "not_run_statuses": [421],
                                      "not_run_header": "X-Not-Run", "retry_ratio": 0.15}},
            "header_names": {"request_id": "X-Id", "caller_sets_request_id": True,
                             "deadline": "X-Deadline", "seal": "X-Seal", "expect_instance": "X-Expect",
                             "instance": "X-Instance", "load": "X-Load", "limit": "X-Limit", "organisation": "X-Organisation"},
        }

    async def start(self):
        """Starts a new incarnation of the host."""
        file = self.run.folder / f"host-{self.number}.json"
        file.write_text(json.dumps(self.settings()))
        self.incarnation += 1
        with self.log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                str(self.program), "serve", f"--settings={file}", stdout=out, stderr=out)
        self.stopping = False  # from here on other faults may end this process

    def signal_process(self, number):
        """Sends a signal to the process if it is running."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    def mark_disturbed(self, seconds=0.0):
        """Suspends the time bounds of this host until SETTLE_S after a disturbance of the given length."""
        self.disturbed_until = max(self.disturbed_until, self.run.now() + seconds + SETTLE_S)
        if self.stopping:
            self.stops.pop(self.incarnation, None)


class Run(Terms):
    """The run of one seed: store, targets, entry hosts, plan of faults, and findings."""

    def __init__(self, seed, options):
        self.random = random.Random(seed)
        self.seed, self.options = seed, options
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.loop = asyncio.get_running_loop()
        self.store = Store(options.base_port + PORTS - 1, QUERY_READINGS[seed % len(QUERY_READINGS)])
        self.hosts = []
        self.hosts += [Host(number, self) for number in range(options.hosts)]
        self.targets = []
        for number in range(options.targets):
            port = options.base_port + PORTS // 2 + 2 * number
            service = "photos" if number % 4 == 3 else "ledger"
            self.targets.append(Target(number, service, self.store, port, Proxy(port + 1, port), seed + number))
        self.config_s = CONFIG_S
        self.version = 0
        self.versions = []  # (version, time at which the store acknowledged it)
        self.publishing = asyncio.Lock()  # a version is numbered once the one before is acknowledged
        self.events = []
        self.findings = []
        self.begin_terms()

    def now(self):
        return self.loop.time()

    def log_event(self, text):
        self.events.append(f"{self.now() - self.began:7.3f} {text}")

    def add_finding(self, text):
        self.findings.append(f"{self.now() - self.began:7.3f} {text}")

    async def publish(self):
        """Publishes the next desired state, which has a route of its own and the route of the one before."""
        async with self.publishing:
            await self.publish_next()

    async def publish_next(self):
        self.version += self.random.randint(1, 3)
        version = len(self.versions) + 1

        def route(name, kind, service):
            return {"name": name, "host": "a.example", "path_prefix": f"/{name}/", "route_type": kind,
                    "timeout_s": 2, "latency_goal_s": 0.3, "max_attempts": 3, "priority": 1,
                    "service": service}

        routes = [route("look", "safe", "ledger"), route("sell", "unsafe", "ledger"),
                  route("photo", "download", "photos"), route(f"v{version}", "safe", "ledger"),
                  route(f"v{version - 1}", "safe", "ledger")]
        service = [{"name": name, "health_path": "/health", "max_conns": 200}
                   for name in ("ledger", "photos")]
        await self.store.put("config", "main", {
            "version": f"r{self.version}", "routes": routes, "services": service,
            "tenants": self.organisations(),
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_s": 3,
                       "idle_timeout_s": 5}})
        self.versions.append((version, self.now()))
        self.log_event(f"version {version} acknowledged")

    async def execute(self):
        self.began = self.now()
        try:
            for server in [self.store, *(each.proxy for each in self.targets),
                           *(host.store_link for host in self.hosts),
                           *(host.feed_link for host in self.hosts)]:
                await server.start()
            for target in self.targets:
                await target.start()
            # Hosts of an earlier release may not read a list that holds such names.
            for name in FOREIGN_NAMES if not self.options.other_program else []:
                await self.store.put("servers", name, {"state": "ready"})
            await self.publish()
            for host in self.hosts:
                await host.start()
            await asyncio.sleep(START_S / 2)
            callers = Callers(self)
            caller_tasks = [self.loop.create_task(callers.call_forever(number))
                            for number in range(self.options.callers)]
            plan = [self.loop.create_task(self.inject(at, kind), name=kind) for at, kind in self.draw_plan()]
            await asyncio.sleep(self.options.seconds)
            await asyncio.gather(*plan)
            await self.end_faults()
            await asyncio.sleep(SETTLE_S + 1)
            callers.begin_recovery()
            await asyncio.sleep(2)
            callers.stop()
            await asyncio.gather(*caller_tasks)
            callers.check()
            self.check_terms()
        finally:
            await self.end()

    def draw_plan(self):
        """Draws times and kinds of faults, some of them at the same time. A drain and three configuration
        changes come first, while nothing is disturbed."""
        kinds = [name.removeprefix("inject_") for name in dir(Run) if name.startswith("inject_")]
        later = [kind for kind in kinds if hasattr(Terms, f"inject_{kind}")]
        kinds = [kind for kind in kinds if kind not in later]
        times = [self.random.uniform(FIRST_FAULT_S, self.options.seconds - 3)
                 for _ in range(self.options.faults)]
        for i in range(1, len(times), 3):
            times[i] = times[i - 1]
        undisturbed = [(0.1, "drain"), (0.3, "publish"), (1.0, "publish"), (2.0, "publish")]
        plan = undisturbed + [(time_s, self.random.choice(kinds)) for time_s in times]
        # Drawn apart, so that the faults of a seed stay as they were before these kinds came.
        rng = random.Random(self.seed + 1_000_000)
        plan.append((0.2, rng.choice(later)))
        plan += [(rng.uniform(FIRST_FAULT_S, self.options.seconds - 3), rng.choice(later))
                 for _ in range(self.options.faults // 4)]
        if self.options.other_program:
            plan.append((FIRST_FAULT_S, "replace"))
        return plan

    async def inject(self, at, kind):
        await asyncio.sleep(at)
        self.log_event(f"inject {kind}")
        await getattr(self, f"inject_{kind}")()

    def random_host(self):
        return self.random.choice(self.hosts)

    def random_target(self):
        return self.random.choice([each for each in self.targets if each.alive] or self.targets)

    async def inject_term(self):
        """Stops a host as planned, which must not break off requests in progress, and starts it again."""
        await self.stop_as_planned(self.random_host())

    async def stop_as_planned(self, host):
        if host.stopping or host.process.returncode is not None:
            return
        host.stopping = True
        host.stops[host.incarnation] = host.disturbed_until
        self.log_event(f"host {host.number} gets SIGTERM")
        host.signal_process(signal.SIGTERM)
        try:
            await asyncio.wait_for(host.process.wait(), GRACE_S + 1)
        except asyncio.TimeoutError:
            self.add_finding(f"host {host.number} still runs {GRACE_S + 1} s after SIGTERM")
            host.signal_process(signal.SIGKILL)
            await host.process.wait()
        host.disturbed_until = max(host.disturbed_until, self.now() + SETTLE_S)
        await host.start()

    async def inject_kill(self):
        host = self.random_host()
        if host.stopping:
            return
        host.mark_disturbed(1)
        host.stopping = True
        host.signal_process(signal.SIGKILL)
        await host.process.wait()
        await asyncio.sleep(self.random.uniform(0.05, 1))
        await host.start()

    async def inject_kill_all(self):
        for host in self.hosts:
            host.mark_disturbed(1)
        running = [host for host in self.hosts if not host.stopping]
        for host in running:
            host.stopping = True
            host.signal_process(signal.SIGKILL)
        for host in running:
            await host.process.wait()
            await host.start()

    async def inject_pause(self):
        host, seconds = self.random_host(), self.random.uniform(0.2, 2)
        host.mark_disturbed(seconds)
        host.signal_process(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        host.signal_process(signal.SIGCONT)

    async def inject_hup(self):
        for host in self.hosts:
            host.signal_process(signal.SIGHUP)

    async def inject_publish(self):
        for _ in range(self.random.choice([1, 1, 3])):
            await self.publish()
            await asyncio.sleep(self.random.uniform(0, 0.4))

    async def disturb_store(self, mode, seconds):
        self.store.disturbed_until = max(self.store.disturbed_until, self.now() + seconds + SETTLE_S)
        self.store.mode = mode
        async with self.store.changed:
            self.store.changed.notify_all()
        await asyncio.sleep(seconds)
        if self.store.mode == mode:
            self.store.mode = ""

    async def inject_store_down(self):
        await self.disturb_store("down", self.random.uniform(0.5, 3))

    async def inject_store_silent(self):
        await self.disturb_store("silent", self.random.uniform(0.5, 3))

    async def inject_store_slow(self):
        await self.disturb_store("slow", self.random.uniform(0.5, 3))

    async def inject_compact(self):
        self.store.disturbed_until = max(self.store.disturbed_until, self.now() + SETTLE_S)
        await self.store.drop_history()

    async def inject_restore(self):
        """The store is away for a moment and comes back from a copy; what was written since is written again."""
        self.store.disturbed_until = max(self.store.disturbed_until, self.now() + 2 + SETTLE_S)
        self.store.mode = "down"
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        latest = self.store.objects["config"]["main"]["spec"]
        await self.store.restore(self.random.uniform(0.2, 4))
        self.log_event(f"the store is back in era {self.store.era}")
        self.store.mode = ""
        known = self.store.objects["config"].get("main", {"spec": {"version": "r0"}})["spec"]["version"]
        if int(known[1:]) < int(latest["version"][1:]):
            await self.store.put("config", "main", latest)

    async def inject_limit(self):
        """Some targets name a limit for a while, which the requests of all hosts together must keep."""
        some = [each for each in self.random.sample(self.targets, len(self.targets) // 2) if each.limit is None]
        for target in some:
            target.limit = self.random.choice([0.3, 1, 2.5, 6])
        named = self.now()
        await asyncio.sleep(LIMIT_NOTICE_S + 5)
        for target in some:
            self.check_limit(target, named + LIMIT_NOTICE_S)
            target.limit = None

    async def disturb_link(self, host, link):
        seconds = self.random.uniform(0.5, 3)
        how = self.random.choice(["both", "up", "down", "reset", "silence", "delay"])
        host.mark_disturbed(seconds)
        if how == "reset":
            link.reset()
        elif how == "silence":
            link.silence()
        elif how == "delay":
            link.delay_s = 0.2
        else:
            link.cut = how
        await asyncio.sleep(seconds)
        link.cut, link.delay_s = "", 0.0

    async def inject_store_link(self):
        host = self.random_host()
        await self.disturb_link(host, host.store_link)

    async def inject_feed_link(self):
        """Cuts the feed of one host. Its readers still reach the store, so that every bound holds."""
        source = self.random.choice(self.hosts[:2])
        link, how = source.feed_link, self.random.choice(["both", "reset", "silence"])
        {"both": lambda: setattr(link, "cut", "both"), "reset": link.reset, "silence": link.silence}[how]()
        await asyncio.sleep(self.random.uniform(0.5, 3))
        link.cut = ""

    async def inject_target_link(self):
        target = self.random_target()
        target.disturbed_until = self.now() + 3 + SETTLE_S
        getattr(target.proxy, self.random.choice(["silence", "reset"]))()

    async def inject_target_delay(self):
        target = self.random_target()
        target.disturbed_until = self.now() + 3 + SETTLE_S
        target.proxy.delay_s = 0.15
        await asyncio.sleep(2)
        target.proxy.delay_s = 0.0

    async def inject_crash(self):
        target = self.random_target()
        if target.alive and not target.draining_since:
            target.stop()
            await asyncio.sleep(self.random.uniform(0.3, 2))
            await target.start()

    async def inject_killer(self):
        """Callers send a request that crashes targets again and again, through any host."""
        path = f"{KILLER_PATH}{self.now():.3f}"
        began = self.now()
        starts = sum(host.incarnation for host in self.hosts)
        for number in range(KILLER_SENDS):
            host = self.random_host()
            own = (f"127.0.0.{2 + number % KILLER_CALLERS}", 0)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(IP, host.port, local_addr=own), 1)
                writer.write(message(f"POST {path} HTTP/1.1", {"Host": "a.example", "X-Id": f"k{self.now():.6f}",
                                                               "X-Deadline": "1500",
                                                               "Authorization": "Token key-callers"}, b"lot"))
                await asyncio.wait_for(read_message(reader), 3)
                writer.transport.abort()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        crashes = sum(each == path for target in self.targets for each, _ in target.crashes)
        restarted = sum(host.incarnation for host in self.hosts) - starts
        self.log_event(f"{path} sent {KILLER_SENDS} times in {self.now() - began:.1f} s: {crashes} crashes")
        # A host that starts anew may know nothing; each of them may send it twice.
        if crashes > 3 + KILLER_SENDS_AFTER_THIRD + 2 * restarted:
            self.add_finding(f"{path} crashed {crashes} targets while {restarted} hosts were started")

    async def inject_drain(self):
        """Drains a target as planned: it reports that it drains, goes on serving, stops, and starts again as a
        new incarnation at the same address."""
        target = self.random_target()
        if not target.alive or target.draining_since:
            return
        target.draining_since = self.now()
        # The next heartbeat writes the entry too, but the bound counts from the acknowledgement of this write.
        await self.store.put("servers", target.id, {
            **self.store.objects["servers"].get(target.id, {"spec": {}})["spec"], "state": "draining"})
        acknowledged = self.now()
        self.log_event(f"target {target.id} drains")
        await asyncio.sleep(DRAIN_S + 1)
        self.check_drain(target, acknowledged)
        target.stop()
        await asyncio.sleep(0.5)
        await target.start()

    async def inject_slow_targets(self):
        some = self.random.sample(self.targets, len(self.targets) // 2)
        for target in some:
            target.slowdown = 5.0
        await asyncio.sleep(2)
        for target in some:
            target.slowdown = 1.0

    async def inject_garble(self):
        for target in self.targets:
            target.malformed_ratio = 0.15
        await asyncio.sleep(2)
        for target in self.targets:
            target.malformed_ratio = 0.0

    async def inject_grey(self):
        target = self.random_target()
        target.error_ratio = 0.6
        await asyncio.sleep(3)
        target.error_ratio = 0.0

    async def end_faults(self):
        """Reconnects every host link and resumes paused hosts."""
        for host in self.hosts:
            host.store_link.cut = host.feed_link.cut = ""
            host.signal_process(signal.SIGCONT)

    def check_limit(self, target, since):
        """In any 4 s a target gets at most one and a half times what its limit allows, and 5 requests more."""
        times = [at for at in target.received if at >= since]
        most = max((sum(at <= each < at + 4 for each in times) for at in times), default=0)
        if most > 6 * target.limit + 5:
            self.add_finding(f"target {target.id} got {most} requests in 4 s with a limit of {target.limit}")

    def check_drain(self, target, acknowledged):
        """A target that reported draining gets no new request after DRAIN_S, unless there was a disturbance."""
        disturbance_end = max(self.store.disturbed_until, *(host.disturbed_until for host in self.hosts))
        late = [attempt for at, attempt in target.arrivals if at > acknowledged + DRAIN_S]
        if late and disturbance_end <= acknowledged:
            self.add_finding(f"target {target.id} got {late} after its drain bound")

    async def end(self):
        for host in self.hosts:
            host.signal_process(signal.SIGKILL)
            if host.process:
                await host.process.wait()
        for target in self.targets:
            target.alive = False
        for server in [self.store.server, *(each.proxy.server for each in self.targets),
                       *(each.server for each in self.targets),
                       *(link.server for host in self.hosts for link in (host.store_link, host.feed_link))]:
            if server:
                server.close()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def execute_in_time(run):
    """Executes the run. One that takes too long is ended; its findings say where it waits, its events where all tasks do."""
    execution = asyncio.current_task()
    late = False

    def end_late():
        nonlocal late
        late = True
        run.add_finding(f"the run has not ended; it waits at {waits_at(execution)}")
        for task in asyncio.all_tasks():
            run.log_event(f"{task.get_name()} waits at {waits_at(task)}")
        execution.cancel()

    timer = run.loop.call_later(run.options.seconds + RUN_MAX_S, end_late)
    try:
        await run.execute()
    except asyncio.CancelledError:
        if not late:
            raise
    finally:
        timer.cancel()


def waits_at(task):
    """Returns the functions in which the task waits, innermost first, as one line."""
    places = []
    waiting = task.get_coro()
    while waiting is not None:
        if frame := getattr(waiting, "cr_frame", None):
            places.append(f"{frame.f_code.co_name}:{frame.f_lineno}")
        waiting = getattr(waiting, "cr_await", None)
    return " < ".join(reversed(places))


def run_one(seed, options):
    """Runs one seed; returns whether it kept every guarantee."""

    async def run_seed():
        run = Run(seed, options)
        await execute_in_time(run)
        passed_over = [line for line in run.findings if options.pass_over and options.pass_over in line]
        for line in passed_over:
            print(f"seed {seed}: known red, passed over: {line}")
        findings = [line for line in run.findings if line not in passed_over]
        verdict = f"{len(findings)} findings" if findings else "kept"
        print(f"seed {seed}: {verdict}; {getattr(run, 'summary', 'not ended')}")
        for line in findings[:FINDINGS_SHOWN]:
            print("   ", line)
        if findings or options.keep:
            print(f"    logs in {run.folder}")
            (run.folder / "events.txt").write_text("\n".join([*run.events, "", *findings]) + "\n")
        else:
            shutil.rmtree(run.folder)
        sys.stdout.flush()
        return not findings

    return asyncio.run(run_seed())


def chosen_seeds(options):
    if options.regressions:
        lines = [line.split("#")[0].strip() for line in SEEDS.read_text().splitlines()]
        yield from (int(line) for line in lines if line)
    elif options.fresh:
        end = time.monotonic() + 60 * options.fresh
        while time.monotonic() < end:
            yield random.SystemRandom().randrange(1_000_000)
    elif options.seeds:
        yield from range(options.seed, options.seed + options.seeds)
    else:
        yield options.seed


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=0, help="number of seeds to run, from --seed on")
    parser.add_argument("--fresh", type=float, default=0, help="run random seeds for this many minutes")
    parser.add_argument("--regressions", action="store_true", help="run the seeds of soak/seeds.txt")
    parser.add_argument("--seconds", type=float, default=12, help="length of the fault phase of a run")
    parser.add_argument("--faults", type=int, default=14, help="number of faults in a run")
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--targets", type=int, default=10)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--pass-over", default="", metavar="TEXT",
                        help="findings that contain this text are printed but not counted; see KNOWN-RED.txt")
    parser.add_argument("--keep", action="store_true", help="keep the logs of every run")
    parser.add_argument("--base-port", type=int, default=21000 + PORTS * (os.getpid() % 8),
                        help="first of 800 ports; concurrent runs need different ones")
    parser.add_argument("--other-program", type=pathlib.Path, metavar="PROGRAM",
                        help="a build of another release; hosts are replaced by it, one after the other, and back")
    parser.add_argument("--program", type=pathlib.Path, default=ROOT / "build" / "savoryscale")
    options = parser.parse_args()
    if not options.program.exists():
        parser.error(f"{options.program} does not exist; build it with scripts/build")
    results = [run_one(seed, options) for seed in chosen_seeds(options)]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
