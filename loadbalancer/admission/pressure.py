"""Pressure on the connections of clients: how full their slots are, and what follows from it, step by step.

A kept connection saves its client and us a handshake if it is used again, and takes a slot from somebody else if it
is not. So what a kept connection is worth is measured (`Reuse`), and how much it must be worth grows with how full
the slots are (`STEPS`). No I/O, clock or random source: counts and events come in.
"""

from __future__ import annotations

from typing import NamedTuple, Sequence


class Step(NamedTuple):
    """What holds from one share of the slots taken to the next."""

    enter: float  # share of the slots taken at which the step begins
    leave: float  # and under which it ends: the gap keeps it from coming and going with each connection
    idle_s: float  # seconds that a connection may be idle once it has carried a request
    worth: float  # chance of being used again, at least, for which an answer leaves its connection open
    accepts: int  # new connections taken in one go, so that those that are there get their turn


#: Step 0 is how a proxy with free slots behaves. In no step is anything closed for idling under 2 s: a client that has
#: just been answered may be about to ask again.
STEPS = (
    Step(0.0, 0.0, 10.0, 0.0, 64),
    Step(0.40, 0.30, 5.0, 0.25, 64),
    Step(0.60, 0.50, 3.0, 0.50, 32),
    Step(0.80, 0.70, 2.0, 0.90, 16),
)
#: Weight of one more connection in the measure of reuse: what counts is the last fifty or so.
REUSE_WEIGHT = 1 / 32
#: A kept connection that has carried one request and then nothing for this long counts as not used again. One that
#: asks later yet counts as used as well, so that slow askers come out at a half.
QUIET_S = 0.5
#: Where connections are not worth keeping, one in so many is kept all the same; else nobody would find out that
#: clients have changed. The fuller the slots, the fewer (`TRIAL_STEP` times).
TRIAL = 16
TRIAL_STEP = 4


class Reuse:
    """The chance that a connection which has carried its first request carries another: a fading mean."""

    def __init__(self) -> None:
        # Until clients have shown what they do. Use shows at once, and disuse after QUIET_S only; while slots are free
        # all are kept and show it, so a low beginning costs those little who use theirs.
        self.chance = 0.0
        self._trials = 0

    def note(self, used: bool) -> None:
        """One more connection was used again, or has been quiet for too long."""
        self.chance += ((1.0 if used else 0.0) - self.chance) * REUSE_WEIGHT

    def is_worth(self, least: float, trial: int = TRIAL) -> bool:
        """Whether to keep a connection of which nothing is known, where the chance must be `least`; one in `trial` is
        kept in any case."""
        if self.chance >= least:
            return True
        self._trials += 1
        return self._trials % trial == 0


class Pressure:
    """The one measure of a listener's slots, with its step."""

    def __init__(self, steps: Sequence[Step] = STEPS) -> None:
        self._steps = steps
        self._number = 0
        self.step = steps[0]
        self.reuse = Reuse()

    @property
    def number(self) -> int:
        """Of the step, from 0."""
        return self._number

    def measure(self, taken: int, most: int) -> None:
        """`taken` of `most` slots are held. Guards against slots that fill up with connections nobody uses; should
        also catch clients that open many and use few. Harm: while slots are short, a client whose connection has
        carried one request pays for another handshake."""
        share = taken / most if most > 0 else 1.0
        number = self._number
        while number + 1 < len(self._steps) and share >= self._steps[number + 1].enter:
            number += 1
        while number > 0 and share < self._steps[number].leave:
            number -= 1
        if number != self._number:
            self._number = number
            self.step = self._steps[number]

    def keeps(self, requests: int, served: bool = True) -> bool:
        """Whether the answer to a connection's request leaves it open; `requests` have come on it so far. One that
        has been used again has shown what it is worth, and is never closed by its answer. `served`: the request was
        for a member; the others, such as questions whether the proxy is ready, are worth no slot that is short."""
        if requests > 1 or self._number == 0:
            return True
        return served and self.reuse.is_worth(self.step.worth, TRIAL * TRIAL_STEP ** (self._number - 1))
