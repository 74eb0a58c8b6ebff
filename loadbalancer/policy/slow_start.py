"""How cold servers are paced, so that all proxies together push none of them over."""

from __future__ import annotations

from loadbalancer.policy.endpoints import Endpoint
from loadbalancer.policy.events import (
    EndpointState,
)
from loadbalancer.policy.pending_requests import RATE_S
from loadbalancer.policy.state import State

# Of its part by size and age. A part is what a warm server is sent, some 0.7 of what it can do where aims are
# met, and refusing lowers it just when cold servers are needed. Of the rules' multiple of present capacity no
# more than this share, so that there is room for chance and for parts nearer to what a server can do.
COLD_SHARE, COLD_MARGIN = 0.56, 1.4
COLD_UTIL, COLD_MOST = 0.9, 1.4  # utilization that a cold server's pace aims at, and how far that may lift it
LAG = 0.5  # of the rules' time: so much older is the warmth that the pace goes by
USUAL_S = 20.0  # memory of what a server is usually sent
MANY = 0.3  # share of cold servers over which what is sent says nothing of what a warm one takes


class Cold(State):
    """The rule on cold servers, kept by each proxy alone."""

    def _pace_cold(self, server: Endpoint) -> None:
        """A cold server gets from each proxy less than its share of what the settings say it can do.

        All proxies pace alike, so together they stay under it, without talking; random gaps keep them
        from coming together. Work goes by time, not by chance: a draw may find it twice in a row."""
        self._note_usual()
        if self.now < self._began(server) + self.rules.slow_start_duration:
            server.pacing_debt, server.pacing_updated_at = 0.5 + self.random.random(), self.now

    def _see_cold(self, server: Endpoint) -> None:
        """Each proxy hears of a start in the same moment, and enters at a random place of its gap. One of all
        on average, and so a lone one always, may send at once.

        Protects against a first request of every proxy at once: of hundreds these alone push it over."""
        server.pacing_debt = max(0.0, self.spread.random() - 1 / self.settings.instance_count)
        server.pacing_updated_at = self.now

    def _may_take(self, server: Endpoint) -> bool:
        """Drains kept, and no cold server pushed over."""
        if server.state != EndpointState.READY or server.cordoned:
            return False
        age = max(0.0, self.now - self._began(server))
        if age >= self.rules.slow_start_duration:
            return True
        if server.pacing_debt > 0 and self.now > server.pacing_updated_at:
            server.pacing_debt -= self._cold_pace(server, age) * (self.now - server.pacing_updated_at)
            server.pacing_updated_at = self.now
        return server.pacing_debt <= 0

    def _cold_pace(self, server: Endpoint, age: float) -> float:
        """Requests a second that it may be sent."""
        rules = self.rules
        # A window's budget is that of its beginning, when less of it was warm.
        warm = max(0.0, age - rules.overload_duration * LAG) / rules.slow_start_duration
        share = rules.slow_start_capacity + (1 - rules.slow_start_capacity) * warm
        total = self.pool.total(self.speed)
        mine = server.size * self.speed.get(server.kind, 1.0)
        usual = self.usual_part or max(self._rate(), 1 / RATE_S) / max(total, mine)
        margin = min(COLD_MARGIN, COLD_SHARE * rules.overload_factor)
        return usual * mine * share * margin * self._cold_room(server)

    def _note_usual(self) -> None:
        """What a server of size 1 is sent while few are cold.

        Protects against a pace that falls with what it lets through: where most servers are cold the own
        sends are their paces' sum. Harm: where load falls while they are cold, the pace follows late."""
        wait, self.usual_at = self.now - self.usual_at, self.now
        if self.now < self.many_until or not self.pool.kinds:
            return
        total = self.pool.total(self.speed)
        part = min(1.0, wait / max(1e-3, min(USUAL_S, self.now - self.born)))
        self.usual_part += part * (self._rate() / max(total, 1.0) - self.usual_part)

    def _cold_room(self, server: Endpoint) -> float:
        """What a cold server reports of itself since it began corrects what the settings say at the least.

        All proxies see the same report, and aim at the same utilization. Harm: a report that is late lets the
        pace run ahead by what it may lift it, which the settings' multiple has room for."""
        if server.utilization_at <= self._began(server) or not server.utilization:
            return 1.0
        return min(COLD_MOST, COLD_UTIL / server.utilization)
