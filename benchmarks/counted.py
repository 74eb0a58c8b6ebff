"""The platform's `run` with a count beside each decision: one JSON line each 5 s on standard error.

Stands in a deploy file in the place of `loadbalancer`, so that the program itself counts nothing more than it
does for its operators. `benchmarks.fleetcount` adds up the lines of all proxies of a run.
"""

from __future__ import annotations

import sys
from collections import Counter
from typing import Any, Sequence

import orjson

from benchmarks.fleetcount import MARK
from loadbalancer.policy.actions import (
    Action,
    Fail,
    Reject,
    Send,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.endpoints import Endpoint
from loadbalancer.policy.events import (
    AttemptResult,
    Event,
    Outcome,
    Request,
)
from loadbalancer.policy.settings import (
    PolicySettings,
)
from loadbalancer.proxy import proxy

#: Utilization from which a member counts as busy, under which as idle.
BUSY, IDLE = 0.9, 0.5
#: Error share from which a member counts as sick.
SICK = 0.4
#: Seconds between two lines. What a line costs is said in docs/design/large-fleet.md, measured on the same seed.
EVERY_S = 5


class Counted(Balancer):
    """Counts what comes and what becomes of it, by class and by state of the member."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.count: Counter[str] = Counter()
        self.second = 0

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        if int(now) >= self.second + EVERY_S:
            self.write(now)
        for event in events:
            if isinstance(event, Request):
                self.count[f"asked {event.class_index}"] += 1
            elif isinstance(event, Outcome):
                self.count_outcome(event, now)
        asked = next((self.requests.get(e.request) for e in events if isinstance(e, Outcome)), None)
        actions = super().handle(now, events)
        for action in actions:
            if isinstance(action, Send):
                self.count[f"sent {self.state(self.servers[action.endpoint])}"] += 1
            elif isinstance(action, (Reject, Fail)):
                self.count_end(action, asked, events)
        return actions

    def count_outcome(self, event: Outcome, now: float) -> None:
        state = self.state(self.servers[event.endpoint])
        self.count[f"{event.result.name.lower()} {state}"] += 1
        pending = self.requests.get(event.request)
        if event.result == AttemptResult.SERVED and pending is not None:
            late = now > pending.aim
            self.count[f"{'late' if late else 'intime'} {pending.number}"] += 1
            self.count[f"took {pending.number} {state}"] += int(event.elapsed * 1e6)
            self.count[f"took2 {pending.number} {state}"] += 1
        if event.report and "utilization" in event.report:
            self.count["reports"] += 1
            self.count["util%"] += int(100 * event.report["utilization"])

    def count_end(self, action: Any, pending: Any, events: Sequence[Event]) -> None:
        kind = type(action).__name__.lower()
        if pending is not None:
            self.count[f"{kind} after {len(pending.attempts)} {pending.number}"] += 1
            return
        for event in events:
            if isinstance(event, Request) and event.request == action.request:
                self.count[f"{kind} {self.why_refused} {event.class_index}"] += 1

    why_refused = "placing"

    def _sheds(self, event: Any, cls: Any, late: bool) -> bool:
        sheds = super()._sheds(event, cls, late)
        self.why_refused = ("late" if late else "shed") if sheds else "placing"
        return sheds

    def state(self, server: Endpoint) -> str:
        if self.now - self._began(server) < self.rules.slow_start_duration:
            return "cold"
        if self._faded(server.error_rate, server.error_rate_at) > SICK:
            return "sick"
        util = self._faded(server.utilization, server.utilization_at)
        return "busy" if util > BUSY else "idle" if util < IDLE else "sound"

    def write(self, now: float) -> None:
        if self.second:
            self.count["level%"] = int(100 * self.shed_level)
            self.count["ready"] = len(self.ready)
            for server in self.ready:
                self.count[f"ready {self.state(server)}"] += 1
            line = {
                "second": self.second,
                "count": dict(self.count),
                "rate": self._rate(),
                "usual": self.usual,
                "born": self.born,
            }
            sys.stderr.write(MARK + orjson.dumps(line).decode() + "\n")
        self.second = int(now) // EVERY_S * EVERY_S  # the same moments for all proxies
        self.count.clear()


def main() -> None:
    setattr(proxy, "Balancer", Counted)  # noqa: B010  # in the only caller of the module
    from loadbalancer.platform.main import main as run

    run()


if __name__ == "__main__":
    main()
