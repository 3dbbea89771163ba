"""Faults of a soak run that concern organisations, emptied data centres and releases, and their checks.

Every request of a run carries the key of an organisation. The checks with a time bound are left out where a host or
the store was disturbed.
"""

import asyncio

from world import IP, message, read_message

EVACUATION_S = 2.0
WINDOW_S, OVERAGE, SLACK = 2.0, 0.1, 10  # of allotments
FLOODED = {"name": "flooded", "rate_per_s": 20, "burst": 20}
FLOOD_S, FLOOD_PER_S = 5.0, 150
FAR_CENTRE = "there"  # of a part of the targets
STATUS_UNAUTHORIZED = "401"


def most_requests(arrivals, window_s):
    """The most requests in any window, by (time, attempt id). A second send is the same request of its caller, for which
    its organisation was charged once."""
    arrivals = sorted(arrivals)
    return max((len({name for at, name in arrivals if began <= at < began + window_s}) for began, _ in arrivals),
               default=0)


class Terms:
    """Part of a run; see soak.py."""

    def begin_terms(self):
        self.guest_key = 0  # number of the key that the guests hold
        self.emptying = asyncio.Lock()
        self.flooding = asyncio.Lock()

    def organisations(self):
        return [{"name": "callers", "api_keys": ["key-callers"], "priority": 1},
                {"name": "guests", "api_keys": [f"key-guests-{self.guest_key}"]},
                {**FLOODED, "api_keys": ["key-flooded"]}]

    def undisturbed_hosts(self, since):
        if self.store.disturbed_until > since:
            return []
        return [host for host in self.hosts if host.disturbed_until <= since and not host.stopping]

    async def ask(self, host, name, key, path="/look/"):
        """Sends one request and returns the status; empty when none came."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(IP, host.port), 1)
            writer.write(message(f"GET {path}{name} HTTP/1.1", {
                "Host": "a.example", "X-Id": name, "X-Deadline": "1500", "Authorization": f"Token {key}"}))
            answer = await asyncio.wait_for(read_message(reader), 3)
            writer.transport.abort()
            return answer[0].split()[1] if answer else ""
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return ""

    async def inject_revoke(self):
        """Withdraws the guests' key: soon no host takes it, and each takes the new one."""
        async with self.publishing:
            withdrawn = f"key-guests-{self.guest_key}"
            self.guest_key += 1
            current = f"key-guests-{self.guest_key}"
            await self.publish_next()
            acknowledged = self.now()
            await asyncio.sleep(self.config_s)
            for host in self.undisturbed_hosts(acknowledged):
                old = await self.ask(host, f"old{self.now():.6f}", withdrawn)
                new = await self.ask(host, f"new{self.now():.6f}", current)
                if host in self.undisturbed_hosts(acknowledged):
                    if old and old != STATUS_UNAUTHORIZED:
                        self.add_finding(f"host {host.number} answers {old} to a key withdrawn "
                                         f"{self.now() - acknowledged:.2f} s ago")
                    if new == STATUS_UNAUTHORIZED:
                        self.add_finding(f"host {host.number} refuses a key that is {self.config_s} s old")

    async def inject_flood(self):
        """One organisation sends many times what its allotment holds, through all hosts."""
        if self.flooding.locked():
            return
        async with self.flooding:
            began = self.now()
            asked = []
            while self.now() < began + FLOOD_S:
                asked.append(asyncio.create_task(
                    self.ask(self.random_host(), f"flood{self.now():.6f}", "key-flooded")))
                await asyncio.sleep(1 / FLOOD_PER_S)
            await asyncio.gather(*asked)
            arrivals = [(at, name) for target in self.targets for at, name in target.arrivals
                        if name.startswith("flood") and at >= began]
            allowed = (FLOODED["rate_per_s"] * WINDOW_S + FLOODED["burst"]) * (1 + OVERAGE) + SLACK
            most = most_requests(arrivals, WINDOW_S)
            self.log_event(f"flood: {len(asked)} sent, {len({name for _, name in arrivals})} ran in {len(arrivals)} "
                           f"sends, {most} in {WINDOW_S} s")
            if most > allowed:
                self.add_finding(f"{most} requests of one organisation ran in {WINDOW_S} s; {allowed:.0f} may")

    async def inject_evacuate(self):
        """Empties a data centre and takes it back: after the bound its targets get no request."""
        if self.emptying.locked():
            return
        async with self.emptying:
            await self.store.put("evacuations", FAR_CENTRE, {})
            acknowledged = self.now()
            self.log_event(f"{FAR_CENTRE} is emptied")
            await asyncio.sleep(EVACUATION_S + 2)
            calm = len(self.undisturbed_hosts(acknowledged)) == len(self.hosts)
            late = [name for target in self.targets if target.data_centre == FAR_CENTRE
                    for at, name in target.arrivals if at > acknowledged + EVACUATION_S]
            if late and calm:
                self.add_finding(f"targets of the emptied data centre got {late[:5]} after the bound")
            await self.store.remove("evacuations", FAR_CENTRE)

    async def inject_replace(self):
        """Replaces each host in turn by one of the other release."""
        if not self.options.other_program:
            return
        for host in self.hosts:
            programs = [self.options.program, self.options.other_program]
            host.program = programs[host.program == programs[0]]
            await self.stop_as_planned(host)

    def check_terms(self):
        """Targets get the organisation of the caller and never its key."""
        for target in self.targets:
            for attempt, organisation in target.odd_organisations:
                self.add_finding(f"{attempt}: reached a target as a request of '{organisation}'")
