"""Recovery of an instance after a start: its phases, the condition that ends each, and their timeouts.

    phase     serves                     ends when                       timeout
    finding   not if it needs a lease    it is a member of the view      the view's `joining` timer
    state     not if it needs a lease    it has a lease, or needs none   none: without a lease it must not serve
    learning  yes, as at a first start   survivors have answered         LEARN_TIMEOUT_S
    warming   yes                        it is in full service           WARM_TIMEOUT_S, then without full service
    full      yes                        -                               -

Full service: in each window of WINDOW_S within the last FULL_SERVICE_S it has served at least FULL_SERVICE_SHARE of the
requests.

In a mass start, the rate at which connections to endpoints are opened is limited from the first phase with requests
until full service. The kind of a start is derived from the reports of other members (`StartKind`). Reports arrive over
time, so a lone start becomes a mass start once enough others report that they are recovering, and then stays one.
"""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple, Sequence, TypedDict, Union

#: Seconds within which survivors have to answer.
LEARN_TIMEOUT_S = 2.0
#: Maximum duration of the warming phase in seconds.
WARM_TIMEOUT_S = 30.0
#: Length of one window, in seconds, over which the share of served requests is measured.
WINDOW_S = 0.25
#: Seconds of consecutive full windows that count as full service.
FULL_SERVICE_S = 1.0
#: Share of a window's requests that must be served for the window to be full.
FULL_SERVICE_SHARE = 0.98
#: Seconds between the start times of two instances that recover together, and the maximum over which all of them are
#: spread, so that the last instance of a large fleet does not wait long.
STAGGER_INTERVAL_S = 0.05
MAX_STAGGER_S = 1.0
#: Number of survivors that are asked for their endpoint statistics, so that a single wrong answer does not decide.
MAX_ASKED_SURVIVORS = 3
#: Seconds that an instance waits for other members to report their phases.
REPORTS_TIMEOUT_S = 0.6
#: Connections opened per second to each endpoint in a mass start.
MASS_START_CONNECTIONS_PER_S = 1.0


class RecoveryPhase(enum.IntEnum):
    """A phase of a recovery; the values are on the wire.

    UNKNOWN stands for an older build, which reports no phase and counts as full.
    """

    UNKNOWN = 0
    FINDING = 1
    STATE = 2
    LEARNING = 3
    WARMING = 4
    FULL = 5


class StartKind(enum.StrEnum):
    """The kind of a start, as derived from the reports of other members; the values are in the administrative API.

    FIRST: no other member is live, and nothing was stored. ALONE: no other member is live, and something was stored.
    MASS: at least one other member reports that it is recovering, and at least as many as report full service.
    LONE: any other case.
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
    """An instance's observation of itself and of other members.

    Attributes:
        joined: Whether it is a member of the membership view.
        may_act: Whether it has a lease, or needs none.
        has_stored_state: Whether it had stored state before this start.
        in_full_service: Names of other live members that report full service.
        recovering: Names of other live members that report an earlier phase.
        unreported: Number of other live members that have not reported a phase yet.
        served: Number of requests served since the start.
        ended: Number of requests that have ended since the start, served or not.
    """

    joined: bool
    may_act: bool
    has_stored_state: bool
    in_full_service: tuple[str, ...]
    recovering: tuple[str, ...]
    unreported: int
    served: int
    ended: int


@dataclass(frozen=True, slots=True)
class LearnFromPeers:
    """Request endpoint statistics from survivors; the caller then calls `RecoveryCoordinator.on_survivors_answered`.

    Attributes:
        names: The survivors to ask, in order of preference.
    """

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConnectionPace:
    """Limit the rate at which connections to endpoints are opened.

    Attributes:
        per_member_s: Connections per second to each endpoint; None removes the limit.
    """

    per_member_s: float | None


@dataclass(frozen=True, slots=True)
class PhaseChanged:
    """A phase has begun.

    Attributes:
        phase: The phase.
        elapsed: Duration of the previous phase in seconds.
        reason: What has ended the previous phase.
    """

    phase: RecoveryPhase
    elapsed: float
    reason: str


RecoveryAction = Union[LearnFromPeers, ConnectionPace, PhaseChanged]


class PhaseRecord(NamedTuple):
    """A completed phase: its name, its duration in seconds, and what has ended it."""

    phase: str
    took_s: float
    ended_by: str


class PhaseRow(TypedDict):
    """A completed phase, in the administrative API."""

    phase: str
    took_s: float
    ended_by: str


class RecoveryReport(TypedDict):
    """The report on a recovery, in the administrative API."""

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
    """Coordinates the recovery of one instance after one start.

    Attributes:
        name: The instance.
        began: When its process started, in seconds on the clock of `step`.
        phase: The current phase.
        kind: The kind of the start; None until the instance is a member.
        since: When the current phase began.
        completed_phases: Phases that are completed, in order.
        full_after: Seconds from the start to full service; 0 until then.
    """

    def __init__(self, name: str, began: float) -> None:
        self.name = name
        self.began = began
        self.phase = RecoveryPhase.FINDING
        self.kind: StartKind | None = None
        self.since = began
        self.completed_phases: list[PhaseRecord] = []
        self.full_after = 0.0
        self._learning = _Learning.NOT_ASKED
        self._full_windows: deque[bool] = deque(maxlen=int(FULL_SERVICE_S / WINDOW_S))
        self._window_began_at = began
        self._served_at_window_start = 0
        self._ended_at_window_start = 0

    def on_survivors_answered(self) -> None:
        """Record that the survivors that were asked have answered, or will not answer."""
        self._learning = _Learning.ANSWERED

    def step(self, now: float, observation: RecoveryObservation) -> list[RecoveryAction]:
        """Process an observation, and return the actions to execute, in order.

        Call it several times per second until the phase is full, and at any rate after that.
        """
        actions: list[RecoveryAction] = []
        if self.phase == RecoveryPhase.FINDING and observation.joined:
            actions.append(self._begin_phase(now, RecoveryPhase.STATE, "a place in the view"))
        actions += self._update_kind(observation)
        if self.phase == RecoveryPhase.STATE and observation.may_act:
            actions.append(self._begin_phase(now, RecoveryPhase.LEARNING, "may act"))
        if self.phase == RecoveryPhase.LEARNING:
            actions += self._learn(now, observation)
        if self.phase == RecoveryPhase.WARMING:
            actions += self._warm(now, observation)
        return actions

    def _begin_phase(self, now: float, phase: RecoveryPhase, reason: str) -> PhaseChanged:
        elapsed = now - self.since
        self.completed_phases.append(PhaseRecord(self.phase.name.lower(), round(elapsed, 3), reason))
        self.phase = phase
        self.since = now
        return PhaseChanged(phase, elapsed, reason)

    def _update_kind(self, observation: RecoveryObservation) -> list[RecoveryAction]:
        """Classify the start again until it is a mass start, which limits the connection rate."""
        is_recovering = self.phase not in (RecoveryPhase.FINDING, RecoveryPhase.FULL)
        if not is_recovering or self.kind == StartKind.MASS:
            return []
        self.kind = classify_start(observation)
        return [ConnectionPace(MASS_START_CONNECTIONS_PER_S)] if self.kind == StartKind.MASS else []

    def _learn(self, now: float, observation: RecoveryObservation) -> list[RecoveryAction]:
        """Ask survivors once this instance's delay is over, and wait for their answers."""
        if self._learning is _Learning.NOT_ASKED:
            return self._ask_survivors(now, observation)
        if self._learning is _Learning.ANSWERED:
            return [self._begin_warming(now, observation, "survivors have told")]
        if now >= self.since + LEARN_TIMEOUT_S:
            return [self._begin_warming(now, observation, "survivors have not told in time")]
        return []

    def _ask_survivors(self, now: float, observation: RecoveryObservation) -> list[RecoveryAction]:
        survivors = observation.in_full_service
        if not survivors:
            if observation.unreported and now < self.since + REPORTS_TIMEOUT_S:
                return []
            self._learning = _Learning.ASKED
            return [self._begin_warming(now, observation, "nobody is there who could tell")]
        if now < self.since + stagger_delay(self.name, observation.recovering, STAGGER_INTERVAL_S):
            return []
        self._learning = _Learning.ASKED
        return [LearnFromPeers(choose_survivors(self.name, survivors))]

    def _begin_warming(self, now: float, observation: RecoveryObservation, reason: str) -> PhaseChanged:
        self._begin_window(now, observation)
        return self._begin_phase(now, RecoveryPhase.WARMING, reason)

    def _begin_window(self, now: float, observation: RecoveryObservation) -> None:
        self._window_began_at = now
        self._served_at_window_start = observation.served
        self._ended_at_window_start = observation.ended

    def _warm(self, now: float, observation: RecoveryObservation) -> list[RecoveryAction]:
        """Evaluate a window that is over, and end the phase on full service or on timeout."""
        if now < self._window_began_at + WINDOW_S:
            return []
        served = observation.served - self._served_at_window_start
        ended = observation.ended - self._ended_at_window_start
        self._begin_window(now, observation)
        self._full_windows.append(served >= FULL_SERVICE_SHARE * ended)
        if len(self._full_windows) == self._full_windows.maxlen and all(self._full_windows):
            self.full_after = (
                now - self.began - FULL_SERVICE_S
            )  # full service began with the first of the full windows
            return self._end_recovery(now, "full service")
        if now >= self.since + WARM_TIMEOUT_S:
            return self._end_recovery(now, "not full in time")
        return []

    def _end_recovery(self, now: float, reason: str) -> list[RecoveryAction]:
        return [self._begin_phase(now, RecoveryPhase.FULL, reason), ConnectionPace(None)]

    def report(self, now: float) -> RecoveryReport:
        """Return the report that `fleet status` shows."""
        return {
            "phase": self.phase.name.lower(),
            "kind": self.kind.value if self.kind is not None else None,
            "since_s": round(now - self.since, 1),
            "full_after_s": round(self.full_after, 2) or None,
            "phases": [
                {"phase": record.phase, "took_s": record.took_s, "ended_by": record.ended_by}
                for record in self.completed_phases
            ],
        }


def classify_start(observation: RecoveryObservation) -> StartKind:
    """Return the kind of a start according to the current observation."""
    if not observation.in_full_service and not observation.recovering and not observation.unreported:
        return StartKind.ALONE if observation.has_stored_state else StartKind.FIRST
    if observation.recovering and len(observation.recovering) >= len(observation.in_full_service):
        return StartKind.MASS
    return StartKind.LONE


def stagger_delay(
    name: str, recovering: Sequence[str], interval_s: float, max_total_s: float = MAX_STAGGER_S
) -> float:
    """Return the delay in seconds that staggers an instance among those that recover together.

    Instances are ordered by name, which is the same everywhere. So no leader is needed, and an instance that dies
    leaves a gap of one interval.

    Args:
        name: The instance.
        recovering: Names of the other recovering instances.
        interval_s: Seconds between two instances.
        max_total_s: Maximum seconds over which all instances are spread.
    """
    order = sorted({*recovering, name})
    return order.index(name) * min(interval_s, max_total_s / len(order))


def choose_survivors(name: str, survivors: Sequence[str]) -> tuple[str, ...]:
    """Return the survivors that an instance asks; its name decides, so that no survivor is asked by all."""
    order = sorted(survivors)
    first = sum(map(ord, name)) % len(order)
    return tuple((order[first:] + order[:first])[:MAX_ASKED_SURVIVORS])


def retry_delay_s(draw: float, recovering: int, min_s: float = 1.0) -> int:
    """Return the delay in whole seconds after which a rejected client may retry.

    Args:
        draw: A random number from 0 to 1, which spreads the clients' retries.
        recovering: Number of recovering instances; the more, the wider the spread, up to 8 s.
        min_s: Minimum delay in seconds.
    """
    return int(min_s + draw * min(8.0, 1.0 + recovering / 2) + 0.5)
