"""Why a request went where it went: the decisions of the latest ones, in a bounded ring. Off unless it is configured.

Pure: it is told each event and what the module ruled on it, and puts that into words when somebody asks. What clients
sent is not kept but the id under which they know the request.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from typing import Any, Callable, NamedTuple, Sequence, Union

from loadbalancer.policy.actions import (
    Action,
    Cancel,
    Fail,
    Reject,
    Send,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    ClientCancelled,
    Event,
    Outcome,
    Request,
)

#: Steps of one request that are kept.
STEPS_MOST = 40
_ID = re.compile(rb"\r\nX-Request-Id: *([^\r\n]{1,200})\r\n", re.IGNORECASE)

Step = Union[Event, Action]


class TraceObservation(NamedTuple):
    """A member as it stood when a request was sent to it."""

    in_flight: int
    errors: float
    utilization: float
    usable: int  # members that the draw was from
    refusing: float


class TracedRequest(NamedTuple):
    at: float  # seconds, on the module's clock
    step: Step
    seen: TraceObservation | None
    version: int | None = None  # of the fleet's state, under which it was sent


class Record:
    """One request."""

    __slots__ = ("id", "steps", "left_out")

    def __init__(self, name: str) -> None:
        self.id = name
        self.steps: list[TracedRequest] = []
        self.left_out = 0

    def note(self, told: TracedRequest) -> None:
        if len(self.steps) < STEPS_MOST:
            self.steps.append(told)
        else:
            self.left_out += 1


class DecisionTrace:
    """The ring of one pool. Its owner is the pool's `Proxy`."""

    def __init__(self, most: int) -> None:
        """`most`: requests that are kept, ended ones among them."""
        self.most = most
        self._records: OrderedDict[int, Record] = OrderedDict()  # by the pool's own numbers, the oldest first
        self._names: dict[str, int] = {}
        self.version: Callable[[], int] | None = None  # of the fleet's state, where there is one

    def note(
        self, now: float, event: Event, actions: Sequence[Action], balancer: Balancer, head: bytes
    ) -> None:
        """An event and what was ruled on it. `head`: of the request, where the event brings one."""
        number = getattr(event, "request", None)
        if number is not None and isinstance(event, Request):
            self._begin(number, head)
        if isinstance(number, int) and (record := self._records.get(number)) is not None:
            record.note(TracedRequest(now, event, None))
        for action in actions:
            number = getattr(action, "request", None)
            if isinstance(number, int) and (record := self._records.get(number)) is not None:
                sent = isinstance(action, Send) and self.version is not None
                version = self.version() if sent and self.version is not None else None
                record.note(TracedRequest(now, action, see(balancer, action), version))

    def _begin(self, number: int, head: bytes) -> None:
        match = _ID.search(head)
        name = match[1].decode("latin-1") if match is not None else f"#{number}"
        self._records[number] = Record(name)
        self._names[name] = number
        while len(self._records) > self.most:
            old, record = self._records.popitem(last=False)
            if self._names.get(record.id) == old:
                del self._names[record.id]

    def why(self, name: str) -> list[dict[str, Any]] | None:
        """The steps of a request in words, by the id that its client or the proxy gave it; None where it is not (any
        more) here."""
        number = self._names.get(name)
        if number is None:
            return None
        record = self._records[number]
        began = record.steps[0].at if record.steps else 0.0
        found = [{"ms": round(1e3 * (told.at - began), 1), **words(told)} for told in record.steps]
        if record.left_out:
            found.append({"what": f"and {record.left_out} more"})
        return found

    def __len__(self) -> int:
        return len(self._records)


def see(balancer: Balancer, action: Action) -> TraceObservation | None:
    if not isinstance(action, Send):
        return None
    server = balancer.endpoints.get(action.endpoint)
    if server is None:
        return None
    usable = sum(not balancer.avoids(one.id) for one in balancer.ready)
    return TraceObservation(
        len(server.in_flight) + len(server.responding),
        round(server.error_rate, 3),
        round(server.utilization, 2),
        usable,
        round(balancer.shed_level, 2),
    )


def words(told: TracedRequest) -> dict[str, Any]:
    """A step as operators read it."""
    step = told.step
    if isinstance(step, Request):
        box = {
            "what": "came",
            "left_s": round(step.time_remaining, 3),
            "session": step.sticky_endpoint,
            "bound": step.sticky_required or None,
            "keyed": step.key is not None or None,
        }
    elif isinstance(step, Send):
        box = {"what": "sent", "member": step.endpoint, "timeout_s": round(step.timeout, 3)}
        if told.seen is not None:
            box |= told.seen._asdict()
        box["version"] = told.version
    elif isinstance(step, Outcome):
        box = {
            "what": f"attempt {step.attempt} ended",
            "member": step.endpoint,
            "result": AttemptResult(step.result).name.lower(),
            "took_s": round(step.elapsed, 3),
            "answered": step.request_ended or None,
        }
    elif isinstance(step, Reject):
        box = {"what": "refused: trying again is harmless", "retry_after_s": step.retry_after or None}
    elif isinstance(step, Fail):
        box = {"what": "failed: nothing is promised"}
    elif isinstance(step, ClientCancelled):
        box = {"what": "its client has gone, or it was ended here"}
    elif isinstance(step, Cancel):
        box = {"what": f"attempt {step.attempt} is given up"}
    else:
        box = {"what": type(step).__name__.lower()}
    return {key: value for key, value in box.items() if value is not None}
