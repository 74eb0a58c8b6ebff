"""Decides, by how full a listener's connection slots are, which idle connections are kept open and for how long.

An idle connection saves the client and the proxy a handshake if it is used again, and takes a slot from another client
if it is not. So the probability of reuse is estimated (`Reuse`), and the probability required to keep a connection
grows with the share of used slots (`STEPS`). No I/O, clock or random source: the caller passes counts and events.
"""

from __future__ import annotations

from typing import NamedTuple, Sequence


class Step(NamedTuple):
    """Holds the limits that apply within one range of the share of used slots."""

    enter: float  # share of used slots at which the step begins
    leave: float  # share below which it ends; the hysteresis prevents a change of step with each connection
    idle_timeout_s: float  # idle timeout of a connection that has carried a request, in seconds
    min_reuse: float  # probability of reuse from which a connection is kept open after an answer
    max_accepts: int  # connections accepted in one pass, so that the accepted ones are served in between


#: Step 0 applies while slots are free. No step has an idle timeout under 2 s: a client that has just been answered may
#: be about to send another request.
STEPS = (
    Step(0.0, 0.0, 10.0, 0.0, 64),
    Step(0.40, 0.30, 5.0, 0.25, 64),
    Step(0.60, 0.50, 3.0, 0.50, 32),
    Step(0.80, 0.70, 2.0, 0.90, 16),
)
#: Weight of one connection in the moving average of reuse, which so covers about the last fifty connections.
REUSE_WEIGHT = 1 / 32
#: A connection that has carried one request and then been idle for this long counts as not reused. If it carries
#: another request later, it counts as reused too, so that clients with long pauses average one half.
UNUSED_AFTER_S = 0.5
#: While reuse is too unlikely to keep connections, one in this many is kept as a trial; otherwise a change in the
#: clients' behaviour would never be measured. Each step makes trials rarer by the factor `TRIAL_INTERVAL_GROWTH`.
TRIAL_INTERVAL = 16
TRIAL_INTERVAL_GROWTH = 4


class Reuse:
    """Estimates the probability that a connection carries a second request, as an exponential moving average."""

    def __init__(self) -> None:
        # The initial value is low: reuse is recorded at once, a lack of it only after UNUSED_AFTER_S. While slots are
        # free all connections are kept and measured, so a low start costs little to clients that reuse theirs.
        self.probability = 0.0
        self._trials = 0

    def record(self, used: bool) -> None:
        """Record that a connection was reused, or has been idle for UNUSED_AFTER_S."""
        self.probability += ((1.0 if used else 0.0) - self.probability) * REUSE_WEIGHT

    def is_worth_keeping(self, min_probability: float, trial: int = TRIAL_INTERVAL) -> bool:
        """Return whether to keep a connection that has carried one request: if the estimate is at least
        `min_probability`, and else one in `trial`."""
        if self.probability >= min_probability:
            return True
        self._trials += 1
        return self._trials % trial == 0


class Pressure:
    """Tracks the share of a listener's used slots and the step that applies."""

    def __init__(self, steps: Sequence[Step] = STEPS) -> None:
        self._steps = steps
        self._number = 0
        self.step = steps[0]
        self.reuse = Reuse()

    @property
    def number(self) -> int:
        """Return the index of the current step, from 0."""
        return self._number

    def update(self, taken: int, most: int) -> None:
        """Set the step for `taken` of `most` slots in use.

        Prevents unused connections from filling the slots, also those of clients that open many and use few. The
        drawback: while slots are short, a client whose connection has carried one request pays for another handshake.
        """
        share = taken / most if most > 0 else 1.0
        number = self._number
        while number + 1 < len(self._steps) and share >= self._steps[number + 1].enter:
            number += 1
        while number > 0 and share < self._steps[number].leave:
            number -= 1
        if number != self._number:
            self._number = number
            self.step = self._steps[number]

    def keeps_open(self, requests: int, served: bool = True) -> bool:
        """Return whether a connection stays open after an answer.

        Args:
            requests: Requests that it has carried so far. One that has been reused is never closed after an answer.
            served: Whether the request was for a member. Others, such as readiness checks of the proxy itself, don't
                justify keeping a slot while slots are short.
        """
        if requests > 1 or self._number == 0:
            return True
        return served and self.reuse.is_worth_keeping(
            self.step.min_reuse, TRIAL_INTERVAL * TRIAL_INTERVAL_GROWTH ** (self._number - 1)
        )
