"""How an instance recovers from a start: its phases, what ends each, and what it does without what it waits for.

    phase     serves                     ends when                       at the latest
    finding   not if it needs a lease    it is a member of the view      after the view's `joining` timer
    state     not if it needs a lease    it has a lease, or needs none   no limit: without a lease it must not serve
    learning  yes, as at a first start   survivors have answered         after LEARN_TIMEOUT_S
    warming   yes                        it is in full service           after WARM_TIMEOUT_S, without full service
    full      yes                        -                               -

Full service: in all windows of WINDOW_S in the last FULL_SERVICE_S it has served FULL_SERVICE_SHARE of the requests.

In a mass start, connections to endpoints are opened at a limited pace from the first phase with requests to full
service. The kind of a start is told by what other members report (`StartKind`). Reports come in by and by, so a lone
start becomes a mass one when enough others report that they are recovering, and stays one.
"""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple, Sequence, TypedDict, Union

#: Seconds that survivors have to answer.
LEARN_TIMEOUT_S = 2.0
#: Seconds of warming, at most.
WARM_TIMEOUT_S = 30.0
#: Seconds of one window in which served requests are compared with all.
WINDOW_S = 0.25
#: Seconds of full windows in a row that make full service.
FULL_SERVICE_S = 1.0
#: Share of a window's requests that must be served for it to be full.
FULL_SERVICE_SHARE = 0.98
#: Seconds between the turns of two instances that recover together, and over which all turns are spread at most, so
#: that the last of a large fleet does not wait long.
TURN_INTERVAL_S = 0.05
MAX_TURNS_S = 1.0
#: Survivors that are asked for what they have learnt: enough that one that is wrong does not decide.
MAX_ASKED_SURVIVORS = 3
#: Seconds for which other members are given to report their phases.
REPORTS_TIMEOUT_S = 0.6
#: Endpoint connections opened a second, for each endpoint, in a mass start.
MASS_START_CONNECTIONS_PER_S = 1.0


class RecoveryPhase(enum.IntEnum):
    """How far a start has come; the values are on the wire.

    UNKNOWN is an older build, which reports no phase and counts as full.
    """

    UNKNOWN = 0
    FINDING = 1
    STATE = 2
    LEARNING = 3
    WARMING = 4
    FULL = 5


class StartKind(enum.StrEnum):
    """What other members report at a start; the values are in the administrative API.

    FIRST: nobody is there, and nothing was stored. ALONE: nobody is there. MASS: at least as many report that they
    recover as report full service, and somebody does. LONE: all else.
    """

    FIRST = "first"
    ALONE = "alone"
    LONE = "lone"
    MASS = "mass"


def is_full(phase: int) -> bool:
    """Return whether an instance that reports this phase is in full service."""
    return phase in (RecoveryPhase.UNKNOWN, RecoveryPhase.FULL)


@dataclass(frozen=True, slots=True)
class RecoveryObservation:
    """What an instance sees of itself and of others.

    Attributes:
        joined: Whether it is a member of the view.
        may_act: Whether it has a lease, or needs none.
        has_stored_state: Whether it has stored something before this start.
        in_full_service: Names of other living members that report full service.
        recovering: Names of other living members that report an earlier phase.
        unheard: How many other living members have reported no phase yet.
        served: Requests served since the start.
        ended: Requests served or not since the start.
    """

    joined: bool
    may_act: bool
    has_stored_state: bool
    in_full_service: tuple[str, ...]
    recovering: tuple[str, ...]
    unheard: int
    served: int
    ended: int


@dataclass(frozen=True, slots=True)
class LearnFromPeers:
    """Ask survivors for what they have learnt of endpoints; `RecoveryCoordinator.learnt` follows.

    Attributes:
        names: Whom to ask, the first one first.
    """

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConnectionPace:
    """Limit how fast connections to endpoints are opened.

    Attributes:
        per_member_s: Connections a second for each endpoint; None ends the limit.
    """

    per_member_s: float | None


@dataclass(frozen=True, slots=True)
class PhaseChanged:
    """A phase has begun.

    Attributes:
        phase: The phase.
        elapsed: Seconds of the phase before.
        reason: What has ended that one.
    """

    phase: RecoveryPhase
    elapsed: float
    reason: str


RecoveryAction = Union[LearnFromPeers, ConnectionPace, PhaseChanged]


class PhaseRecord(NamedTuple):
    """A phase that is over: its name, its seconds, and what has ended it."""

    phase: str
    took_s: float
    ended_by: str


class PhaseRow(TypedDict):
    """A phase that is over, in the administrative API."""

    phase: str
    took_s: float
    ended_by: str


class RecoveryReport(TypedDict):
    """A start, in the administrative API."""

    phase: str
    kind: str | None
    since_s: float
    full_after_s: float | None
    phases: list[PhaseRow]


class _Learning(enum.Enum):
    NOT_ASKED = enum.auto()
    ASKED = enum.auto()
    ANSWERED = enum.auto()


class RecoveryCoordinator:
    """One start of one instance.

    Attributes:
        name: The instance.
        began: When its process began, in seconds on the clock of `step`.
        phase: The phase that is under way.
        kind: What kind of a start it is, None until it is a member.
        since: When the phase began.
        times: Phases that are over.
        full_after: Seconds from the start to full service, 0 until then.
    """

    def __init__(self, name: str, began: float) -> None:
        self.name = name
        self.began = began
        self.phase = RecoveryPhase.FINDING
        self.kind: StartKind | None = None
        self.since = began
        self.times: list[PhaseRecord] = []
        self.full_after = 0.0
        self._learning = _Learning.NOT_ASKED
        self._full_windows: deque[bool] = deque(maxlen=int(FULL_SERVICE_S / WINDOW_S))
        self._window_began_at = began
        self._served_before = 0
        self._ended_before = 0

    def learnt(self) -> None:
        """Note that the survivors that were asked have answered, or will not."""
        self._learning = _Learning.ANSWERED

    def step(self, now: float, seen: RecoveryObservation) -> list[RecoveryAction]:
        """Take an observation, and return what is to be done, in order.

        Call it several times a second until the phase is full, and as often as convenient after that.
        """
        actions: list[RecoveryAction] = []
        if self.phase == RecoveryPhase.FINDING and seen.joined:
            actions.append(self._begin_phase(now, RecoveryPhase.STATE, "a place in the view"))
        actions += self._update_kind(seen)
        if self.phase == RecoveryPhase.STATE and seen.may_act:
            actions.append(self._begin_phase(now, RecoveryPhase.LEARNING, "may act"))
        if self.phase == RecoveryPhase.LEARNING:
            actions += self._learn(now, seen)
        if self.phase == RecoveryPhase.WARMING:
            actions += self._warm(now, seen)
        return actions

    def _begin_phase(self, now: float, phase: RecoveryPhase, reason: str) -> PhaseChanged:
        elapsed = now - self.since
        self.times.append(PhaseRecord(self.phase.name.lower(), round(elapsed, 3), reason))
        self.phase = phase
        self.since = now
        return PhaseChanged(phase, elapsed, reason)

    def _update_kind(self, seen: RecoveryObservation) -> list[RecoveryAction]:
        """Classify the start again until it is a mass one, which begins the limited pace."""
        is_under_way = self.phase not in (RecoveryPhase.FINDING, RecoveryPhase.FULL)
        if not is_under_way or self.kind == StartKind.MASS:
            return []
        self.kind = classify_start(seen)
        return [ConnectionPace(MASS_START_CONNECTIONS_PER_S)] if self.kind == StartKind.MASS else []

    def _learn(self, now: float, seen: RecoveryObservation) -> list[RecoveryAction]:
        """Ask survivors at this instance's turn, and wait for their answers."""
        if self._learning is _Learning.NOT_ASKED:
            return self._ask_survivors(now, seen)
        if self._learning is _Learning.ANSWERED:
            return [self._begin_warming(now, seen, "survivors have told")]
        if now >= self.since + LEARN_TIMEOUT_S:
            return [self._begin_warming(now, seen, "survivors have not told in time")]
        return []

    def _ask_survivors(self, now: float, seen: RecoveryObservation) -> list[RecoveryAction]:
        survivors = seen.in_full_service
        if not survivors:
            if seen.unheard and now < self.since + REPORTS_TIMEOUT_S:
                return []
            self._learning = _Learning.ASKED
            return [self._begin_warming(now, seen, "nobody is there who could tell")]
        if now < self.since + turn(self.name, seen.recovering, TURN_INTERVAL_S):
            return []
        self._learning = _Learning.ASKED
        return [LearnFromPeers(choose_survivors(self.name, survivors))]

    def _begin_warming(self, now: float, seen: RecoveryObservation, reason: str) -> PhaseChanged:
        self._begin_window(now, seen)
        return self._begin_phase(now, RecoveryPhase.WARMING, reason)

    def _begin_window(self, now: float, seen: RecoveryObservation) -> None:
        self._window_began_at = now
        self._served_before = seen.served
        self._ended_before = seen.ended

    def _warm(self, now: float, seen: RecoveryObservation) -> list[RecoveryAction]:
        """Judge a window that is over, and end the phase with full service or its time limit."""
        if now < self._window_began_at + WINDOW_S:
            return []
        served = seen.served - self._served_before
        ended = seen.ended - self._ended_before
        self._begin_window(now, seen)
        self._full_windows.append(served >= FULL_SERVICE_SHARE * ended)
        if len(self._full_windows) == self._full_windows.maxlen and all(self._full_windows):
            self.full_after = now - self.began - FULL_SERVICE_S  # it had begun with the first of the windows
            return self._end_recovery(now, "full service")
        if now >= self.since + WARM_TIMEOUT_S:
            return self._end_recovery(now, "not full in time")
        return []

    def _end_recovery(self, now: float, reason: str) -> list[RecoveryAction]:
        return [self._begin_phase(now, RecoveryPhase.FULL, reason), ConnectionPace(None)]

    def report(self, now: float) -> RecoveryReport:
        """Return what `fleet status` shows of this start."""
        return {
            "phase": self.phase.name.lower(),
            "kind": self.kind.value if self.kind is not None else None,
            "since_s": round(now - self.since, 1),
            "full_after_s": round(self.full_after, 2) or None,
            "phases": [
                {"phase": record.phase, "took_s": record.took_s, "ended_by": record.ended_by}
                for record in self.times
            ],
        }


def classify_start(seen: RecoveryObservation) -> StartKind:
    """Return the kind of a start, by what is seen now."""
    if not seen.in_full_service and not seen.recovering and not seen.unheard:
        return StartKind.ALONE if seen.has_stored_state else StartKind.FIRST
    if seen.recovering and len(seen.recovering) >= len(seen.in_full_service):
        return StartKind.MASS
    return StartKind.LONE


def turn(name: str, recovering: Sequence[str], interval_s: float, max_total_s: float = MAX_TURNS_S) -> float:
    """Return after how many seconds it is an instance's turn among those that recover together.

    The order is that of names, which all see alike. So nobody has to lead, and an instance that dies leaves a gap of
    one interval.

    Args:
        name: The instance.
        recovering: Names of the others.
        interval_s: Seconds between two turns.
        max_total_s: Seconds over which all turns are spread at most.
    """
    order = sorted({*recovering, name})
    return order.index(name) * min(interval_s, max_total_s / len(order))


def choose_survivors(name: str, survivors: Sequence[str]) -> tuple[str, ...]:
    """Return whom an instance asks: others for each name, so that no survivor is asked by all."""
    order = sorted(survivors)
    first = sum(map(ord, name)) % len(order)
    return tuple((order[first:] + order[:first])[:MAX_ASKED_SURVIVORS])


def return_after(draw: float, recovering: int, min_s: float = 1.0) -> int:
    """Return after how many whole seconds a rejected client may come back.

    Args:
        draw: A random number from 0 to 1, which spreads clients.
        recovering: How many instances recover; the more, the wider the spread, to 8 s.
        min_s: Seconds at the least.
    """
    return int(min_s + draw * min(8.0, 1.0 + recovering / 2) + 0.5)
