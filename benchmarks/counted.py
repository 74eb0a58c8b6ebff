"""The platform's `run` with counters of its decisions, written as a JSON line every 5 s to standard error.

It replaces `loadbalancer` in a deploy file, so that the program itself needs no counters beyond those for its
operators. `benchmarks.fleetcount` adds up the lines of all proxies of a run.
"""

from __future__ import annotations

import sys
from collections import Counter
from typing import Any, Sequence

import orjson

from benchmarks.fleetcount import LINE_PREFIX
from loadbalancer.policy.actions import (
    Action,
    Fail,
    Reject,
    Send,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.endpoints import Endpoint
from loadbalancer.policy.estimators import linear_decay
from loadbalancer.policy.events import (
    AttemptResult,
    Event,
    Outcome,
    Request,
)
from loadbalancer.policy.load_shedding import LoadShedding
from loadbalancer.policy.settings import (
    PolicySettings,
)
from loadbalancer.proxy import proxy

#: Utilization above which a member counts as busy, and below which it counts as idle.
BUSY_UTILIZATION, IDLE_UTILIZATION = 0.9, 0.5
#: Error rate above which a member counts as sick.
SICK_ERROR_RATE = 0.4
#: Seconds between two lines. The cost of a line, measured on the same seed, is in docs/design/large-fleet.md.
WRITE_INTERVAL_S = 5


class RecordingLoadShedding(LoadShedding):
    """Records why the last request was rejected."""

    rejection_reason = "placing"

    def rejects(self, event: Request, is_late: bool, now: float) -> bool:
        rejects = super().rejects(event, is_late, now)
        self.rejection_reason = ("late" if is_late else "shed") if rejects else "placing"
        return rejects


class CountingBalancer(Balancer):
    """Counts requests, attempts and outcomes, by class and by state of the member."""

    load_shedding: RecordingLoadShedding
    load_shedding_type = RecordingLoadShedding

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.count: Counter[str] = Counter()
        self.second = 0

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        if int(now) >= self.second + WRITE_INTERVAL_S:
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
                self.count[f"sent {self.state(self.endpoints[action.endpoint])}"] += 1
            elif isinstance(action, (Reject, Fail)):
                self.count_end(action, asked, events)
        return actions

    def count_outcome(self, event: Outcome, now: float) -> None:
        state = self.state(self.endpoints[event.endpoint])
        self.count[f"{event.result.name.lower()} {state}"] += 1
        pending = self.requests.get(event.request)
        if event.result == AttemptResult.SERVED and pending is not None:
            late = now > pending.objective_at
            self.count[f"{'late' if late else 'intime'} {pending.class_index}"] += 1
            self.count[f"took {pending.class_index} {state}"] += int(event.elapsed * 1e6)
            self.count[f"took2 {pending.class_index} {state}"] += 1
        if event.report and "utilization" in event.report:
            self.count["reports"] += 1
            self.count["util%"] += int(100 * event.report["utilization"])

    def count_end(self, action: Any, pending: Any, events: Sequence[Event]) -> None:
        kind = type(action).__name__.lower()
        if pending is not None:
            self.count[f"{kind} after {len(pending.attempts)} {pending.class_index}"] += 1
            return
        for event in events:
            if isinstance(event, Request) and event.request == action.request:
                self.count[f"{kind} {self.load_shedding.rejection_reason} {event.class_index}"] += 1

    def state(self, server: Endpoint) -> str:
        if self.now - server.warming_since() < self.settings.rules.slow_start_duration:
            return "cold"
        if linear_decay(server.error_rate, server.error_rate_at, self.now) > SICK_ERROR_RATE:
            return "sick"
        util = linear_decay(server.utilization, server.utilization_at, self.now)
        return "busy" if util > BUSY_UTILIZATION else "idle" if util < IDLE_UTILIZATION else "sound"

    def write(self, now: float) -> None:
        if self.second:
            self.count["level%"] = int(100 * self.shed_level)
            self.count["ready"] = len(self.ready)
            for server in self.ready:
                self.count[f"ready {self.state(server)}"] += 1
            line = {
                "second": self.second,
                "count": dict(self.count),
                "rate": self.send_rate.per_second(self.now),
                "usual": self.typical_latency,
                "born": self.send_rate.started_at,
            }
            sys.stderr.write(LINE_PREFIX + orjson.dumps(line).decode() + "\n")
        self.second = (
            int(now) // WRITE_INTERVAL_S * WRITE_INTERVAL_S
        )  # aligned, so that all proxies write for the same spans
        self.count.clear()


def main() -> None:
    setattr(proxy, "Balancer", CountingBalancer)  # noqa: B010  # in the only caller of the module
    from loadbalancer.platform.main import main as run

    run()


if __name__ == "__main__":
    main()
