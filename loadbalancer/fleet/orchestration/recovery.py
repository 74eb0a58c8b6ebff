"""How an instance comes back: the phases of a start, what ends each, and what is done without the thing waited for.
Pure: what is seen and a time in, the phase and what to do out.

    finding   sends nothing where there is a fence       a place in the view; at most `joining` of the view, and then
                                                         it counts itself alone
    state     the same                                   the fence is open, or there is none; no end where it has to
                                                         refuse: it stays shut out, and says so
    learning  serves; what is unknown counts as unknown  survivors have told what they learnt; at most LEARN_S, and then
                                                         it goes on as at a first start
    warming   the same                                   full service for FULL_S; at most WARM_S, and then it serves on
                                                         and has said that it was not full
    full      all                                        -

From its place in the view to full service it opens connections at a pace where many come back.

What kind of a start it is, is told by the view: `first` (nobody is there, and nothing was kept), `alone` (nobody is
there), `lone` (most of those that have said how far they are, are full), `mass` (they are not). Others are heard of by
and by, so a lone start that turns out to be one of many is taken for `mass` as long as it lasts.
"""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Sequence

LEARN_S, WARM_S = 2.0, 30.0
WINDOW_S, FULL_S, SHARE = 0.25, 1.0, 0.98
#: Seconds between the turns of two that come back together, and over which all of them are spread at most: with 180
#: of them turns of 50 ms took nine seconds, which was most of the time to full service.
TURN_S, TURNS_S = 0.05, 1.0
#: Survivors that are asked for what they have learnt: enough that one that is wrong does not decide.
ASKED = 3
#: Seconds for which others that live are waited for to say how far they are.
KNOW_S = 0.6


class RecoveryPhase(enum.IntEnum):
    """As instances tell it one another; 0 is a build that says nothing, and counts as full."""

    UNKNOWN = 0
    FINDING = 1
    STATE = 2
    LEARNING = 3
    WARMING = 4
    FULL = 5


def is_full(phase: int) -> bool:
    return phase in (RecoveryPhase.UNKNOWN, RecoveryPhase.FULL)


@dataclass(frozen=True, slots=True)
class RecoveryObservation:
    """What an instance sees of itself and the others. `full`, `coming`: names of others that live, by what they say;
    `silent`: how many others live that have not said."""

    joined: bool
    may_act: bool
    has_stored_state: bool  # something was kept from before
    in_full_service: tuple[str, ...]
    recovering: tuple[str, ...]
    unheard: int
    served: int
    ended: int  # requests, served or not


@dataclass(frozen=True, slots=True)
class LearnFromPeers:
    """Ask these survivors for what they have learnt, the first ones first."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConnectionPace:
    """Open so many connections a second at most; None ends it."""

    per_member_s: float | None


@dataclass(frozen=True, slots=True)
class PhaseChanged:
    """A phase has begun. `took`: seconds of the one before; `why` that ended."""

    phase: RecoveryPhase
    elapsed: float
    reason: str


@dataclass
class RecoveryCoordinator:
    """One start of one instance."""

    name: str
    began: float
    phase: RecoveryPhase = RecoveryPhase.FINDING
    kind: str = ""
    since: float = 0.0
    times: list[tuple[str, float, str]] = field(
        default_factory=list
    )  # phases that are over: seconds, and why
    full_after: float = 0.0  # seconds from the start to full service, 0 until then
    _asked: bool = False
    _told: bool = False
    _windows: deque[bool] = field(default_factory=lambda: deque(maxlen=int(FULL_S / WINDOW_S)))
    _window_at: float = 0.0
    _last: tuple[int, int] = (0, 0)

    def __post_init__(self) -> None:
        self.since = self._window_at = self.began

    def learnt(self) -> None:
        """Those asked have answered, or will not."""
        self._told = True

    def step(
        self, now: float, seen: RecoveryObservation
    ) -> list[LearnFromPeers | ConnectionPace | PhaseChanged]:
        """Call it some times a second until the phase is full, and as often as one likes after that."""
        found: list[LearnFromPeers | ConnectionPace | PhaseChanged] = []
        if self.phase == RecoveryPhase.FINDING and seen.joined:
            self.kind = kind_of(seen)
            found.append(self._turn(now, RecoveryPhase.STATE, "a place in the view"))
            if self.kind == "mass":
                found.append(ConnectionPace(1.0))
        if (
            self.phase in (RecoveryPhase.STATE, RecoveryPhase.LEARNING, RecoveryPhase.WARMING)
            and self.kind != "mass"
        ):
            self.kind = kind_of(seen)
            if self.kind == "mass":
                found.append(ConnectionPace(1.0))  # ahead of its first request
        if self.phase == RecoveryPhase.STATE and seen.may_act:
            found.append(self._turn(now, RecoveryPhase.LEARNING, "may act"))
        if self.phase == RecoveryPhase.LEARNING:
            found += self._learning(now, seen)
        if self.phase == RecoveryPhase.WARMING:
            found += self._warming(now, seen)
        return found

    def _turn(self, now: float, phase: RecoveryPhase, why: str) -> PhaseChanged:
        took = now - self.since
        self.times.append((self.phase.name.lower(), round(took, 3), why))
        self.phase, self.since = phase, now
        return PhaseChanged(phase, took, why)

    def _learning(
        self, now: float, seen: RecoveryObservation
    ) -> list[LearnFromPeers | ConnectionPace | PhaseChanged]:
        if not self._asked:
            if seen.unheard and not seen.in_full_service and now < self.since + KNOW_S:
                return []
            if seen.in_full_service and now < self.since + turn(self.name, seen.recovering, TURN_S):
                return []  # survivors are few, and each of us has a turn
            self._asked = True
            if seen.in_full_service:
                return [LearnFromPeers(choose(self.name, seen.in_full_service))]
            return self._warm(now, seen, "nobody is there who could tell")
        if self._told:
            return self._warm(now, seen, "survivors have told")
        if now >= self.since + LEARN_S:
            return self._warm(now, seen, "survivors have not told in time")
        return []

    def _warm(
        self, now: float, seen: RecoveryObservation, why: str
    ) -> list[LearnFromPeers | ConnectionPace | PhaseChanged]:
        turned = self._turn(now, RecoveryPhase.WARMING, why)
        self._last, self._window_at = (seen.served, seen.ended), now
        return [turned]

    def _warming(
        self, now: float, seen: RecoveryObservation
    ) -> list[LearnFromPeers | ConnectionPace | PhaseChanged]:
        if now < self._window_at + WINDOW_S:
            return []
        served, ended = seen.served - self._last[0], seen.ended - self._last[1]
        self._last, self._window_at = (seen.served, seen.ended), now
        self._windows.append(served >= SHARE * ended)
        whole = len(self._windows) == self._windows.maxlen and all(self._windows)
        if whole or now >= self.since + WARM_S:
            why = "full service" if whole else "not full in time"
            if whole:
                self.full_after = now - self.began - FULL_S  # it had begun before it was sure
            return [self._turn(now, RecoveryPhase.FULL, why), ConnectionPace(None)]
        return []

    def report(self, now: float) -> dict[str, Any]:
        """For `fleet status`."""
        return {
            "phase": self.phase.name.lower(),
            "kind": self.kind or None,
            "since_s": round(now - self.since, 1),
            "full_after_s": round(self.full_after, 2) or None,
            "phases": [{"phase": name, "took_s": took, "ended_by": why} for name, took, why in self.times],
        }


def kind_of(seen: RecoveryObservation) -> str:
    if not seen.in_full_service and not seen.recovering and not seen.unheard:
        return "alone" if seen.has_stored_state else "first"
    return "mass" if seen.recovering and len(seen.recovering) >= len(seen.in_full_service) else "lone"


def turn(name: str, coming: Sequence[str], each: float, most: float = TURNS_S) -> float:
    """Seconds after which it is this one's turn among those that come back: by the order of names, which all see alike,
    so nobody has to lead and one that dies leaves a gap of `each` and no more. `most`: of the last one."""
    whole = sorted({*coming, name})
    return whole.index(name) * min(each, most / len(whole))


def choose(name: str, full: Sequence[str]) -> tuple[str, ...]:
    """Whom to ask: others for each that asks, so that no survivor is asked by all."""
    whole = sorted(full)
    at = sum(map(ord, name)) % len(whole)
    return tuple((whole[at:] + whole[:at])[:ASKED])


def return_after(draw: float, coming: int, least: float = 1.0) -> int:
    """Whole seconds after which a client may come back: the more come back, the wider spread. `draw`: 0 to 1."""
    return int(least + draw * min(8.0, 1.0 + coming / 2) + 0.5)
