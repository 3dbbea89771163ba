"""Callers of a soak run. They check answers, not-run refusals, configuration versions and planned stops."""

import asyncio
import random

from world import IP, message, read_message, seal_of

DEADLINE_S = 1.5
ANSWER_SLACK_S = 0.5  # allowed between the deadline of a request and its final answer
NOT_RUN_STATUSES = {"503", "429", "408", "421"}  # guarantee that the request did not run and never will
SERVED_RATIO_MIN = 0.95  # of the requests sent after all faults have ended
RECOVERY_REQUESTS_MIN = 20
CONNECTION_LOST = "closed"


class Attempt:
    """One request and its outcome."""

    def __init__(self, name, host, kind):
        self.name, self.host, self.kind = name, host, kind
        self.incarnation = host.incarnation
        self.sent = self.ended = 0.0
        # When the request ended: until when its host, and its host or the store, counted as disturbed.
        self.host_disturbed_until = self.host_or_store_disturbed_until = 0.0
        self.status = ""
        self.fault = ""


class Callers:
    """Clients that keep connections open until the host closes them."""

    def __init__(self, run):
        self.run = run
        self.attempts = []
        self.stopped = False
        self.recovering = False
        self.recovery_attempts = []  # sent after begin_recovery()

    def stop(self):
        self.stopped = True

    def begin_recovery(self):
        self.recovering = True

    async def call_forever(self, number):
        rng = random.Random(self.run.seed * 1000 + number)
        count = 0
        host, reader, writer = None, None, None
        while not self.stopped:
            if writer is None or rng.random() < 0.05:
                if writer:
                    writer.close()
                host = self.choose_host(rng)
                try:
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection(IP, host.port), 1)
                except (OSError, asyncio.TimeoutError):
                    writer = None
                    await asyncio.sleep(0.05)
                    continue
            count += 1
            attempt = Attempt(f"c{number}-{count}", host, rng.choice(["look", "look", "sell", "photo", "v"]))
            closes = await self.send_request(attempt, reader, writer, rng)
            if closes:
                writer.transport.abort()
                writer = None
            await asyncio.sleep(rng.uniform(0.01, 0.08))
        if writer:
            writer.transport.abort()

    # Stands for the external load balancer, which sends nothing to hosts that are known to be stopping.
    def choose_host(self, rng):
        open_hosts = [host for host in self.run.hosts if not host.stopping]
        return rng.choice(open_hosts or self.run.hosts)

    async def send_request(self, attempt, reader, writer, rng):
        """Sends one request and checks its answer; returns whether the connection must be closed."""
        run = self.run
        route = attempt.kind
        version = 0
        if route == "v":
            version = run.versions[-1][0] - rng.choice([0, 0, 1, 3])
            route = f"v{version}"
        method, body = ("POST", f"lot {attempt.name}".encode()) if route == "sell" else ("GET", b"")
        path = f"/{route}/{attempt.name}"
        attempt.version = version
        attempt.sent = run.now()
        self.attempts.append(attempt)
        if self.recovering:
            self.recovery_attempts.append(attempt)
        try:
            writer.write(message(f"{method} {path} HTTP/1.1",
                                 {"Host": "a.example", "X-Id": attempt.name,
                                  "X-Deadline": str(int(DEADLINE_S * 1000)),
                                  "Authorization": "Token key-callers"}, body))
            answer = await asyncio.wait_for(read_message(reader), DEADLINE_S + 5)
            if answer is None:
                attempt.status = CONNECTION_LOST
                return True
            status_line, fields, received = answer
            attempt.status = status_line.split()[1]
            if not "200" <= attempt.status <= "599":
                run.add_finding(f"{attempt.name}: an answer with the status {attempt.status}")
            if attempt.status == "200":
                expected = f"{method} {path}".encode() + body
                if fields.get("x-id") != attempt.name or received != expected:
                    run.add_finding(f"{attempt.name}: an answer that is not its own: {fields} {received[:40]}")
                elif fields.get("x-seal") != seal_of(attempt.name, expected):
                    run.add_finding(f"{attempt.name}: a success without its seal")
            return fields.get("connection", "").lower() == "close"
        except asyncio.TimeoutError:
            attempt.status = "none"
            return True
        except (OSError, asyncio.IncompleteReadError):
            attempt.status = CONNECTION_LOST
            return True
        finally:
            attempt.ended = run.now()
            attempt.host_disturbed_until = attempt.host.disturbed_until
            attempt.host_or_store_disturbed_until = max(attempt.host_disturbed_until, run.store.disturbed_until)

    def check(self):
        """Checks the guarantees that hold over the whole run."""
        run = self.run
        runs = {}
        for target in run.targets:
            for attempt, at, service, _ in target.runs:
                runs.setdefault(attempt, []).append((at, service))
        counts = {}
        for attempt in self.attempts:
            counts[attempt.status] = counts.get(attempt.status, 0) + 1
            ran = runs.get(attempt.name, [])
            if attempt.kind == "sell" and len(ran) > 1:
                run.add_finding(f"{attempt.name}: may run once and ran {len(ran)} times")
            if attempt.status in NOT_RUN_STATUSES and attempt.kind == "sell" and ran:
                run.add_finding(f"{attempt.name}: told {attempt.status}, but ran")
            if any(service != ("photos" if attempt.kind == "photo" else "ledger") for _, service in ran):
                run.add_finding(f"{attempt.name}: ran at another service")
            self.check_answer_time(attempt)
            self.check_planned_stop(attempt, bool(ran))
        self.check_versions()
        served = sum(attempt.status == "200" for attempt in self.recovery_attempts if attempt.kind != "v")
        total = sum(attempt.kind != "v" for attempt in self.recovery_attempts)
        if total < RECOVERY_REQUESTS_MIN or served < SERVED_RATIO_MIN * total:
            run.add_finding(f"after the last fault {served} of {total} requests were served")
        run.summary = f"{len(self.attempts)} requests {counts}, {len(run.versions)} versions"

    def check_answer_time(self, attempt):
        if attempt.host_disturbed_until < attempt.sent and attempt.ended - attempt.sent > DEADLINE_S + ANSWER_SLACK_S:
            self.run.add_finding(f"{attempt.name}: answered after {attempt.ended - attempt.sent:.2f} s")

    def check_planned_stop(self, attempt, ran):
        """A planned stop must not break off a request that was forwarded to a target."""
        disturbance_end = attempt.host.stops.get(attempt.incarnation)
        if attempt.status == CONNECTION_LOST and ran and disturbance_end is not None and disturbance_end < attempt.sent:
            self.run.add_finding(f"{attempt.name}: cut by the planned stop of host {attempt.host.number}")

    def check_versions(self):
        """Within one incarnation no host returns to an older version, and each adopts versions in time."""
        newest_seen = {}  # (host, incarnation): (newest version served, when)
        for attempt in sorted(self.attempts, key=lambda each: each.ended):
            if attempt.kind != "v" or attempt.status not in ("200", "404"):
                continue
            key = (attempt.host.number, attempt.incarnation)
            newest = newest_seen.get(key, (0, 0.0))
            # Version v adds the route v<v>, and version v + 2 removes it.
            if attempt.status == "200" and attempt.version > newest[0]:
                newest_seen[key] = (attempt.version, attempt.ended)
            if attempt.status == "200" and attempt.version + 2 <= newest[0] and attempt.sent > newest[1]:
                self.run.add_finding(f"{attempt.name}: host {key[0]} served version {attempt.version} "
                                     f"after {newest[0]}")
            if attempt.status == "404" and attempt.version == newest[0] and attempt.sent > newest[1]:
                removed = [at for version, at in self.run.versions if version == attempt.version + 2]
                if not removed or removed[0] > attempt.ended:
                    self.run.add_finding(f"{attempt.name}: host {key[0]} forgot version {attempt.version}")
        self.check_adoption_time()

    def check_adoption_time(self):
        """An undisturbed host adopts a version within config_s after the store acknowledged it."""
        bound_s = self.run.config_s
        acknowledged_at = dict(self.run.versions)
        for attempt in self.attempts:
            if attempt.kind != "v" or attempt.version not in acknowledged_at or attempt.status != "404":
                continue
            acknowledged = acknowledged_at[attempt.version]
            removed = acknowledged_at.get(attempt.version + 2, float("inf"))
            if (acknowledged + bound_s < attempt.sent and attempt.ended < removed
                    and attempt.host_or_store_disturbed_until < acknowledged):
                self.run.add_finding(f"{attempt.name}: host {attempt.host.number} lacks version "
                                     f"{attempt.version} {attempt.sent - acknowledged:.2f} s after it")
