"""The draw: two candidates that pass the filters, the better by the three-factor score."""

from __future__ import annotations

from loadbalancer.policy.endpoints import FAILING_AFTER, Endpoint, EndpointPool
from loadbalancer.policy.events import (
    STICKY_DOMAIN_PREFIX,
    EndpointState,
)
from loadbalancer.policy.pending_requests import RATE_S, PendingRequest
from loadbalancer.policy.slow_start import Cold
from loadbalancer.policy.state import DECAY_S

DRAW_TRIES = 3  # for each candidate; with more, all crowd the few that pass where most do not
UTIL_LIMIT = 0.95  # conservative: only servers with no room left are passed over
UTIL_OVER = 0.25  # and only where they stand out from the fleet by this
ERROR_LIMIT = 0.5  # more failures than answers lately
ERROR_OVER = 0.3  # and only where they stand out from the fleet by this
UTIL_WEIGHT = 0.8  # a fully busy server counts a little less than one own request more
ERROR_WEIGHT = 2.0  # a failing server must not win by being quick
ERROR_MOST = 0.4  # of the share counted by attempts, where most servers fail less
HOPELESS = 0.9  # this share of failures, and a server has served next to nothing lately
AGAIN_S = 1.0  # that while at first; each failure more doubles it
OTHER_CLASS = 0.5  # of a server's error share, for a class that has one of its own there
MEDIAN_S = 0.1  # for so long the error share of the median server stands
PACE_S = 1.0  # after so long without an answer a server is tried whatever its pace was
CROWDED_S = 1.0  # want of room counts for so long
PLACE_TRIES = 3  # choices in a row that can't answer in time, after which a request is given up
RAMP_FROM = 0.1  # so that a server just listed is tried at all
RETURN_S = 1.0  # a server that was taken out and put back gets a request this often until it answers


class Draw(Cold):
    """Which server gets a request."""

    def _sticky(self, pending: PendingRequest) -> Endpoint | None:
        """Exception: the first attempt of a sticky session goes where that is kept, while it is usable, then
        to where its server redirects it.

        What a client says of its session is a wish: a server that is unknown, gone, failing or silent is
        passed over, one that drains too unless the settings let it keep its sessions. Harm: sessions crowd
        a server that the draw would spare."""
        if pending.member is None or pending.attempts:
            return None
        kept = self._kept(pending.member)
        if kept is None and (server := self.servers.get(pending.member)) is not None and server.redirect:
            kept = self._kept(server.redirect)  # one step: redirects may point at each other
        return kept

    def _kept(self, name: str) -> Endpoint | None:
        """The server of a session, or the better of two of a domain, where it can have the session."""
        if name.startswith(STICKY_DOMAIN_PREFIX):
            those = [s for s in self.domains.get(name[len(STICKY_DOMAIN_PREFIX) :], ()) if self._keeps(s)]
            return min(self.random.sample(those, min(2, len(those))), key=self._score, default=None)
        server = self.servers.get(name)
        return server if server is not None and self._keeps(server) else None

    def _keeps(self, server: Endpoint) -> bool:
        if server.cordoned:
            return False
        if server.state == EndpointState.DRAINING:
            return self.settings.sticky_while_draining and self._responds(server)
        return self._usable(server)

    def _is_bound(self, pending: PendingRequest) -> bool:
        """Whether a session that may not move, by the settings, is with a server that is listed."""
        name = pending.member
        if not pending.bound or name is None:
            return False
        return name in self.servers or name.removeprefix(STICKY_DOMAIN_PREFIX) in self.domains

    def _place(self, pool: EndpointPool, pending: PendingRequest) -> Endpoint | None:
        """A choice that can answer while that is of use; None where some choices in a row can't."""
        for _ in range(PLACE_TRIES):
            server = self._choose(pool, pending)
            if server is None or self._in_time(server, pending):
                return server
        if not any(s.in_flight for s in pool.servers):
            return server  # without a queue of ours there is nothing that refusing would shorten
        self.crowded_at = self.now
        return None

    def _in_time(self, server: Endpoint, pending: PendingRequest) -> bool:
        """Exception: whether what the proxy itself has in flight there leaves time for one more answer.

        Protects against queues in which everything comes late: the share of late attempts tells of a queue
        once it has done its harm, and of its end long after; the attempts in flight tell at once. Classes
        with less time give way first, and room is used as soon as it is there. It should also catch members
        that lose a part of their speed. Harm: where the others' share of a queue grows, it is seen only by
        the answers. A server that has not answered for a while is tried again: else nothing would tell."""
        if self.now > server.time_per_attempt_at + PACE_S or pending.coming:
            return True
        return server.time_per_attempt * (len(server.in_flight) + 1) <= pending.useful - self.now

    def _choose(self, pool: EndpointPool, pending: PendingRequest) -> Endpoint | None:
        """A server of the first set that has a usable one; where none has, whichever the rules permit."""
        if self.returned and not pending.attempts and (back := self._returning()) is not None:
            return back
        tried, number = [a.server for a in pending.attempts if not a.unsent], pending.number
        for those in pool.sets:
            if any(self._usable(s) and s not in tried for s in those.servers):
                return self._two(those, tried, number) or self._of_few(those, tried, number)
        return self._two(pool, tried, number) or self._unfiltered(pool, tried, number)

    def _returning(self) -> Endpoint | None:
        """Exception: a server that operators have put back gets a first attempt of its own once a second
        until it answers; the ramp and the pace of a cold start together could leave it without any for long.

        Harm: where it does not run, that request finds out, and goes again."""
        for name, due in self.returned.items():
            server = self.servers.get(name)
            if server is not None and self.now >= due and self._may_take(server):
                self.returned[name] = self.now + RETURN_S
                return server
        return None

    def _usable(self, server: Endpoint) -> bool:
        """Whether a set has to be passed over for want of this one; load does not count."""
        return self._may_take(server) and self._responds(server)

    def _responds(self, server: Endpoint) -> bool:
        """Neither silent nor down: after some failures in a row it gets one request at a time, each later.

        Protects against a zone that is lost, half of the fleet: no share tells its servers from the usual
        then, and where a proxy has few answers from each, a failure fades before the next. It should also
        catch a server that answers errors at once. Harm: one back under the same start is tried late."""
        if server.in_flight and self.now - next(iter(server.in_flight.values())) > self.silence:
            return False
        if server.consecutive_failures < FAILING_AFTER:
            return True
        wait = AGAIN_S
        if self.settings.instance_count > 1:
            # Not before the draw would come by anyway: where many send little each a second excludes nothing.
            wait = max(wait, min(len(self.ready) / max(self._rate(), 1 / RATE_S), DECAY_S / 4))
        wait = min(DECAY_S, wait * 2.0 ** min(server.consecutive_failures - FAILING_AFTER, 8))
        return not server.in_flight and self.now >= server.error_rate_at + wait

    def _of_few(self, pool: EndpointPool, tried: list[Endpoint], number: int) -> Endpoint:
        """Where draws find none in a set that has some: two of the usable ones, whatever their load."""
        usable = [s for s in pool.servers if self._usable(s) and s not in tried]
        return min(self.random.sample(usable, min(2, len(usable))), key=lambda s: self._score(s, number))

    def _two(self, pool: EndpointPool, tried: list[Endpoint], number: int) -> Endpoint | None:
        first = self._candidate(pool, tried, number)
        if first is None:
            return None
        second = self._candidate(pool, tried, number)
        if second is None or second is first or self._score(first, number) <= self._score(second, number):
            return first
        return second

    def _candidate(self, pool: EndpointPool, tried: list[Endpoint], number: int) -> Endpoint | None:
        """A random server that passes the filters, within a few tries."""
        for _ in range(DRAW_TRIES):
            server = pool.draw(self.random.random(), self.speed)
            if self._may_take(server) and server not in tried and self._healthy(server, number):
                return server
        return None

    def _unfiltered(self, pool: EndpointPool, tried: list[Endpoint], number: int) -> Endpoint | None:
        """The fallback: load does not matter, the rules do, and one that serves next to nothing comes last.

        Protects against fast-failing servers while the others are too busy to pass the filters: with next to
        nothing in flight they would score best, and take most of the load just then."""
        first: Endpoint | None = None
        failing: Endpoint | None = None
        for _ in range(2 * DRAW_TRIES):
            server = pool.draw(self.random.random(), self.speed)
            if not self._may_take(server) or server in tried or server is first:
                continue
            if self._failing(server, number) > HOPELESS or not self._responds(server):
                failing = server
            elif first is not None:
                return min(first, server, key=lambda s: self._score(s, number))
            else:
                first = server
        return first or failing

    def _healthy(self, server: Endpoint, number: int = -1) -> bool:
        if not server.answered and server.in_flight:  # probation: one request until the first answer
            return False
        age = self.now - server.started
        # Exception: while requests are given up for want of room there is no ramp; cold ones keep their pace.
        ramp = 0.0 if self.now < self.crowded_at + CROWDED_S else self.ramp
        if server.started and age < ramp > 0 and self.random.random() > max(RAMP_FROM, age / ramp):
            return False
        # Protects against hung servers, too: they answer nothing, so no figure of theirs gets worse.
        if not self._responds(server):
            return False
        # Where all are busy the cause is shared, and passing most over would crowd the few that are left.
        util_limit = max(UTIL_LIMIT, self.util_usual + UTIL_OVER)
        return (
            self._faded(server.utilization, server.utilization_at) <= util_limit
            and self._failing(server, number) <= self._error_limit()
        )

    def _error_limit(self) -> float:
        """Protects against a filter that a failing server turns off: the usual share counted by attempts
        follows whoever fails fastest, and gets most of them for it; that of the median server does not. Nor
        does the first where most servers are down and the few others serve."""
        if self.now >= self.median_due:
            self.median_due = self.now + MEDIAN_S
            shares = sorted(self._faded(s.error_rate, s.error_rate_at) for s in self.ready)
            self.errors_median = shares[len(shares) // 2] if shares else 0.0
        return max(ERROR_LIMIT, min(self.errors_usual, max(self.errors_median, ERROR_MOST)) + ERROR_OVER)

    def _failing(self, server: Endpoint, number: int) -> float:
        """The error share that counts for a class: its own there, or what the others leave of the server's.

        Protects against servers that serve one class badly and the others well: counted together, the good
        answers hide the bad ones, whose attempts then fill the server until it turns all classes away.
        Harm: where a server fails altogether, each class finds out by attempts of its own."""
        overall = self._faded(server.error_rate, server.error_rate_at)
        if number not in server.error_rate_by_class:
            return overall
        return max(OTHER_CLASS * overall, self._faded(*server.error_rate_by_class[number]))

    def _score(self, server: Endpoint, number: int = -1) -> float:
        """Less is better: own in-flight for its size, then reported utilization, then error share."""
        return (
            len(server.in_flight) / (server.size * self.speed[server.kind])
            + UTIL_WEIGHT * self._faded(server.utilization, server.utilization_at)
            + ERROR_WEIGHT * self._failing(server, number)
        )
