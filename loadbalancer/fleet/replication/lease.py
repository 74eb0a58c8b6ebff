"""Whether this instance may act now, by its own clock and on what it has heard. Pure.

Rules:

1. It may act until `stale_most` after the *sending* of the last question that a majority of voters has answered, once
   it acts on the greatest version that any of those answers named. So whoever has a change accepted by a majority knows
   that after `stale_most` (and the drift) nobody acts on an older version: one of that majority has answered, before,
   when the time began to run, or after, when the version was named.
2. The clock is one that runs on while the process is stopped or the machine sleeps, and is asked at each send.
3. Clocks may run apart by DRIFT; who counts on another's time adds it. The rate against voters' clocks is measured, and
   one that runs off by more is told and shuts itself out.
4. With `cut_off = "serve"` it acts on what it has, says that it is behind, and others do not count on its silence.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

#: Seconds between two questions of one that is shut out: nobody serves there until one is answered.
SHUT_ASK_S = 0.05
#: Share by which two clocks may run apart.
DRIFT = 0.01
#: Questions in a `stale_most`, so that some may be lost.
ASKS = 5
#: Seconds over which the rate of a clock is measured before it is judged, and what a measurement may be off by.
RATE_S, RATE_ERROR_S = 30.0, 0.25


@dataclass
class _Question:
    sent: float
    heard: dict[str, int] = field(default_factory=dict)  # the greatest version that each voter has named


class Lease:
    """One instance's. Times in seconds on the clock of rule 2."""

    def __init__(self, stale_most: float, serves: bool) -> None:
        """`serves`: rule 4."""
        self.duration, self.serves_when_expired = stale_most, serves
        self.expires_at = -math.inf  # it may act before this
        self.required_version = 0  # the version that answers named, where it is not reached yet
        self.clock_drift = ""  # whose clock runs away from ours
        self._number = 0
        self._questions: dict[int, _Question] = {}
        self._ask_at = -math.inf
        self._clocks: dict[str, tuple[float, float]] = {}  # of voters: theirs and ours, when first heard
        self.leaseholders: dict[str, float] = {}  # as a voter: who may act until when, by our clock
        self._begun = math.inf  # when this voter began: of those that it let go on before it knows nothing

    def is_open(self, now: float) -> bool:
        return now < self.expires_at and not self.clock_drift

    def may_act(self, now: float) -> bool:
        """Asked ahead of every send."""
        return self.serves_when_expired or (now < self.expires_at and not self.clock_drift)

    @property
    def next_timer(self) -> float:
        return self._ask_at

    def request(self, now: float) -> int:
        """The number of a question that leaves now."""
        self._begun = min(self._begun, now)
        self._number += 1
        self._ask_at = now + (self.duration / ASKS if self.is_open(now) else SHUT_ASK_S)
        self._questions[self._number] = _Question(now)
        for old in [number for number, one in self._questions.items() if now - one.sent > self.duration]:
            del self._questions[old]
        return self._number

    def granted(
        self, now: float, number: int, voter: str, top: int, clock: float, majority: int, applied: int
    ) -> None:
        """A voter's answer. `applied`: the version that this instance acts on."""
        self._measure(now, voter, clock)
        question = self._questions.get(number)
        if question is not None:
            question.heard[voter] = top
            self.extend(majority, applied)

    def extend(self, majority: int, applied: int) -> None:
        """Rule 1; also when a version has been taken up."""
        for number, question in list(self._questions.items()):
            if len(question.heard) < majority:
                continue
            top = max(question.heard.values())
            if applied >= top:
                self.expires_at = max(self.expires_at, question.sent + self.duration)
                self.required_version = 0
                if len(question.heard) > majority:
                    del self._questions[number]
            else:
                self.required_version = top

    def _measure(self, now: float, voter: str, clock: float) -> None:
        first = self._clocks.setdefault(voter, (clock, now))
        ours = now - first[1]
        if ours < RATE_S:
            return
        off = abs((clock - first[0]) - ours) - RATE_ERROR_S
        if off > 2 * DRIFT * ours:
            self.clock_drift = f"{voter}: {clock - first[0]:.2f} s there, {ours:.2f} s here"
        elif self.clock_drift.startswith(f"{voter}:"):
            self.clock_drift = ""
        if ours > 20 * RATE_S:
            self._clocks[voter] = clock, now

    # As a voter.

    def grant(self, now: float, name: str) -> None:
        """An answer that lets `name` go on leaves now."""
        self.leaseholders[name] = now + self.expiry_with_drift
        if len(self.leaseholders) > 64:
            self.leaseholders = {one: until for one, until in self.leaseholders.items() if until > now}

    def active_leaseholders(self, now: float, most: int = 24) -> tuple[tuple[str, ...], bool]:
        """Who may act yet by this voter's answers, and whether there may be more: over `most`, or let go on by the
        process before this one."""
        names = sorted(name for name, until in self.leaseholders.items() if until > now)
        return tuple(names[:most]), len(names) > most or now < self._begun + self.expiry_with_drift

    @property
    def expiry_with_drift(self) -> float:
        """Seconds after a change was accepted by which nobody acts on older versions, by this instance's clock."""
        return self.duration * (1 + 2 * DRIFT)
