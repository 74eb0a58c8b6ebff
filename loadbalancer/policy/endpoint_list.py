"""Following the list: what discovery and operators say of servers, and the pools that come of it."""

from __future__ import annotations

import math

from loadbalancer.policy.actions import (
    CloseIdleConnections,
    SetTimer,
)
from loadbalancer.policy.endpoints import Endpoint, EndpointPool
from loadbalancer.policy.events import (
    Cordon,
    EndpointEntry,
    EndpointList,
    EndpointState,
)
from loadbalancer.policy.selection import Draw
from loadbalancer.policy.settings import (
    DeduplicationScope,
)
from loadbalancer.policy.slow_start import MANY
from loadbalancer.policy.state import RAMP_S

YOUNG_MOST = 0.1  # share of the fleet that the ramp may hold back; the rest could not carry more
# A first call of many proxies that have started together comes within this. One service takes them in turn,
# also those that have given up meanwhile: what comes faster than it works is all in vain, and for good.
ASK_SPREAD_S = 3.5
# Wait after the first failed call, doubling from then on, times a quarter to five quarters. So long as the
# service can't be reached no further than lets the list be known in time from when it can: a call that hangs
# may have begun just before (discovery/watch.py gives it up), then the wait, then one in line.
ASK_AGAIN_S, SPREAD_FROM, SPREAD_MOST = 1.1, 0.25, 1.25
TOLD_S, LINE_S = 6.0, 2.1  # what discovery has counts as told after; what a call may wait in line
BUSY_MOST_S = 6.0  # and where calls have waited in line in vain: only fewer of them empty it
LIST_TOKEN = 0  # timers: 0 asks for the list, a request's id + 1 looks at that request


class Listing(Draw):
    """The servers, as listed and as taken out by hand."""

    def _on_list(self, event: EndpointList) -> None:
        if event.failed:
            self._ask_again(event.busy)
            return
        if event.complete:
            named = {entry.endpoint for entry in event.entries}
            for server in self.servers.values():
                if server.id not in named:
                    server.state = EndpointState.GONE
        for entry in event.entries:
            self._list_entry(entry)
        self._lay_out()
        if event.stale and self.settings.list_on_request:
            wait = ASK_SPREAD_S * self.settings.other_instances_share * self.random.random()
            self.actions.append(SetTimer(LIST_TOKEN, wait))
        elif not event.stale:
            self.failed_calls = self.busy_calls = 0

    def _ask_again(self, busy: bool) -> None:
        """Back-off with jitter."""
        took = self.now - self.asked_at if self.failed_calls else 0.0
        if busy:
            self.busy_calls += 1
            count, most = self.busy_calls, BUSY_MOST_S
        else:
            self.failed_calls += 1
            count, most = self.failed_calls, max(0.0, TOLD_S - LINE_S - took) / SPREAD_MOST
        wait = min(ASK_AGAIN_S * 2.0 ** min(count - 1, 8), most)
        jitter = SPREAD_FROM + (SPREAD_MOST - SPREAD_FROM) * self.random.random()
        self.actions.append(SetTimer(LIST_TOKEN, wait * jitter))

    def _list_entry(self, entry: EndpointEntry) -> None:
        server = self.servers.get(entry.endpoint)
        before = -math.inf if server is None else server.started
        if server is None:
            server = self.servers[entry.endpoint] = Endpoint(entry, entry.endpoint in self.cordoned)
        else:
            server.listed(entry)
        if server.started != before:
            self._see_cold(server)

    def _on_cordon(self, event: Cordon) -> None:
        """Drains kept: what operators take out gets nothing until they put it back, whatever lists say.

        One that is put back counts as cold: it may have been restarted meanwhile, and the list be late to
        say so. Where the list has said so already, that start counts."""
        name = event.endpoint
        server = self.servers.get(name)
        if event.cordoned:
            self.cordoned.setdefault(name, self.now)
            self.returned.pop(name, None)
            self.actions.append(CloseIdleConnections(name))
        elif name in self.cordoned:
            since = self.cordoned.pop(name)
            if server is not None:
                self.returned[name] = self.now
                server.pacing_debt = 0.0
                if server.started < since:
                    server.warm_started_at = self.now
        if server is not None:
            server.cordoned = event.cordoned
            self._lay_out()

    def avoids(self, name: str) -> bool:
        """Whether a server would be passed over now: by hand, by state, silent, or failing past the filter.

        Load, a cold start's pace and the ramp do not count: they put off a request, not the server."""
        server = self.servers.get(name)
        if server is None or server.cordoned or server.state != EndpointState.READY:
            return True
        if not self._responds(server):
            return True
        return self._faded(server.error_rate, server.error_rate_at) > self._error_limit()

    def _lay_out(self) -> None:
        """The pools that draws are made from; only lists and operators change them."""
        for name in [
            s.id
            for s in self.servers.values()
            if s.state == EndpointState.GONE and not (s.in_flight or s.responding)
        ]:
            del self.servers[name]
            self.returned.pop(name, None)
        self.ready = [s for s in self.servers.values() if s.state == EndpointState.READY and not s.cordoned]
        mean = sum(s.weight for s in self.ready) / max(1, len(self.ready))
        # Exception: after a deploy or the return of a lost zone most of the fleet is young. Held back for
        # the whole ramp, it would leave all load to the few old servers; so then the pace of cold servers is
        # all that holds them back.
        young = sum(s.started > 0 and self.now - s.started < RAMP_S for s in self.ready)
        self.ramp = 0.0 if young > YOUNG_MOST * len(self.ready) else RAMP_S
        cold = [s.started for s in self.ready if self.now - s.started < self.rules.slow_start_duration]
        if len(cold) > MANY * len(self.ready):
            self.many_until = max(cold) + self.rules.slow_start_duration
        groups: dict[tuple[DeduplicationScope, int], list[Endpoint]] = {}
        self.domains = {}
        for server in self.ready:
            server.size = server.weight / mean
            self.speed.setdefault(server.kind, 1.0)
            groups.setdefault((DeduplicationScope.ZONE, server.zone), []).append(server)
            groups.setdefault((DeduplicationScope.CELL, server.cell), []).append(server)
        for server in self.servers.values():
            if server.domain and server.state != EndpointState.GONE:
                self.domains.setdefault(server.domain, []).append(server)
        self.pool = EndpointPool(self.ready)
        self.groups = {place: EndpointPool(servers) for place, servers in groups.items()}
