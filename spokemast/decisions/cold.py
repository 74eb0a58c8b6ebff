"""How cold servers are paced, so that all proxies together push none of them over."""

from __future__ import annotations

from spokemast.decisions.requests import RATE_S
from spokemast.decisions.servers import Server
from spokemast.decisions.state import State

# Of its part by size and age. A part is what a warm server is sent, some 0.7 of what it can do where aims are
# met, and refusing lowers it just when cold servers are needed. Times the most that a report may lift it that
# is 2.2, under the 2.5 of present capacity that is usual as the rules' multiple.
COLD_MARGIN = 1.4
COLD_UTIL, COLD_MOST = 0.9, 1.6  # utilization that a cold server's pace aims at, and how far that may lift it


class Cold(State):
    """The rule on cold servers, kept by each proxy alone."""

    def _pace_cold(self, server: Server) -> None:
        """A cold server gets from each proxy less than its share of what the settings say it can do.

        All proxies pace alike, so together they stay under it, without talking; random gaps keep them
        from coming together. Work goes by time, not by chance: a draw may find it twice in a row."""
        rules = self.rules
        age = max(0.0, self.now - self._began(server))
        if age < rules.cold_time:
            share = rules.cold_from + (1 - rules.cold_from) * age / rules.cold_time
            usual = max(self._rate(), 1 / RATE_S) * server.size / max(self.total_size, server.size)
            pace = usual * share * COLD_MARGIN * self._cold_room(server)
            server.cold_next = self.now + (0.5 + self.random.random()) / pace

    def _cold_room(self, server: Server) -> float:
        """What a cold server reports of itself since it began corrects what the settings say at the least.

        All proxies see the same report, and aim at the same utilization. Harm: a report that is late lets the
        pace run ahead by what it may lift it, which the settings' multiple has room for."""
        if server.util_at <= self._began(server) or not server.util:
            return 1.0
        return min(COLD_MOST, COLD_UTIL / server.util)
