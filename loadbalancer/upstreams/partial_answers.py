"""Answers whose length is not stated: how they arrive, when they are passed on unfinished, when they are given up.

Nobody can tell a short answer of this kind from a long one before its end. A short one has to come whole in its
request's time; a long one only has to begin in it, and must not be cut off while its endpoint is giving it. So the
verdict is put off for as long as the client may wait, and then rests on what has arrived lately; see
docs/operating/answers.md.
"""

from __future__ import annotations

import asyncio
import time
from typing import Callable, Protocol

from loadbalancer.read_first_timer import ReadFirstTimer
from loadbalancer.streaming.streams import STALL_S, Stream

MAX_HOLD_BACK_S = 1.5
"""Seconds for which a part of the body is held; from 2 s on the rest of a long answer would count as held back."""
CHECK_INTERVAL_S = 0.1
"""Interval in seconds between two checks of an answer."""
STEADY_INTERVAL_S = 0.25
"""Seconds after its latest byte in which an answer counts as arriving steadily."""
MIN_STEADY_S = 0.1
"""Seconds between its first byte and its latest one from which on it can count as steady: one burst may be all."""
STEADY_RATE = 16 << 10
"""Bytes of the body a second, since its first one, that an answer has to bring to count as arriving steadily."""
MIN_RATED_S = 0.4
"""Seconds from the first byte on over which that rate is taken at least."""
ARRIVING_S = 0.8
"""Seconds after its latest byte in which an answer counts as arriving."""
MAX_SILENCE_S = 3.0
"""Seconds without a byte after which an answer that was passed on has stopped: the longest deadline that counts."""
LONG_WITHIN_S = STALL_S
"""Seconds in which an answer has to become long, at its pace, to be passed on although its request's time is over."""


class PartialAnswerOwner(Protocol):
    """The connection that receives the answer."""

    def pass_on_partial_answer(self) -> bool:
        """Stream the partial answer; see `Upstream.pass_on_partial_answer`."""

    def give_up_partial_answer(self, reason: str) -> None:
        """Abort the answer, in a way that the client can detect."""


class PartialAnswer:
    """One answer without a stated length, from its head to its end, and its timer.

    Times are monotonic. The owner calls `cancel` when the answer is complete or its attempt has ended.
    """

    __slots__ = ("_body_bytes", "_first_byte_at", "_last_byte_at", "_long_from", "_owner", "_timer")

    def __init__(self, owner: PartialAnswerOwner, long_from: int) -> None:
        """Create it when its head is complete; it is long once its body has more than `long_from` bytes."""
        self._owner = owner
        self._long_from = long_from
        self._body_bytes = 0
        self._first_byte_at = self._last_byte_at = time.monotonic()
        self._timer: ReadFirstTimer | None = None

    # How it arrives.

    def record(self, body_bytes: int) -> None:
        """Record how many bytes of the body have arrived so far."""
        if body_bytes <= self._body_bytes:
            return
        now = time.monotonic()
        if not self._body_bytes:
            self._first_byte_at = now
            self._set_timer(MAX_HOLD_BACK_S, self._limit_hold_back)
        self._body_bytes, self._last_byte_at = body_bytes, now

    def is_steady(self) -> bool:
        """Return whether its body is arriving at a rate that makes it a long answer soon."""
        now = time.monotonic()
        rated_s = max(MIN_RATED_S, now - self._first_byte_at)
        if (
            now - self._last_byte_at > STEADY_INTERVAL_S
            or self._last_byte_at - self._first_byte_at < MIN_STEADY_S
        ):
            return False
        return self._body_bytes >= STEADY_RATE * rated_s

    def may_become_long(self, max_silence_s: float, min_rated_s: float = MIN_RATED_S) -> bool:
        """Return whether its body is still arriving, and has not come so slowly that it can only be a short answer.

        Args:
            max_silence_s: Seconds after its latest byte in which it counts as arriving.
            min_rated_s: Seconds from its first byte on over which its pace is taken at least.
        """
        now = time.monotonic()
        if not self._body_bytes or now - self._last_byte_at > max_silence_s:
            return False
        rated_s = max(min_rated_s, now - self._first_byte_at)
        return self._body_bytes * LONG_WITHIN_S >= self._long_from * rated_s

    def _limit_hold_back(self) -> None:
        """Pass the body on once a part of it has been held for long, as soon as it may become long."""
        if self.may_become_long(ARRIVING_S) and self._owner.pass_on_partial_answer():
            return
        self._set_timer(CHECK_INTERVAL_S, self._limit_hold_back)

    # Once it is passed on.

    def watch(self, stream: Stream) -> None:
        """Give the answer up once it has stopped, until it is known to be long; `stream` passes its body on.

        Guards against answers that never end: until it is long, a client waits for the end of an answer.
        """
        self._last_byte_at = time.monotonic()
        watched_until = self._last_byte_at + LONG_WITHIN_S
        self._set_timer(CHECK_INTERVAL_S, lambda: self._check(stream, watched_until))

    def _check(self, stream: Stream, watched_until: float) -> None:
        if stream.passed_bytes > self._long_from or stream.has_ended:
            return
        now = time.monotonic()
        if stream.is_full:  # its client makes no room: nothing is read from the endpoint
            watched_until += now - self._last_byte_at
            self._last_byte_at = now
        elif stream.passed_bytes > self._body_bytes:
            self._body_bytes, self._last_byte_at = stream.passed_bytes, now
        problem = self._find_problem(now, watched_until)
        if problem is None:
            self._set_timer(CHECK_INTERVAL_S, lambda: self._check(stream, watched_until))
        else:
            self._owner.give_up_partial_answer(problem)

    def _find_problem(self, now: float, watched_until: float) -> str | None:
        silent_s = now - self._last_byte_at
        if silent_s > MAX_SILENCE_S:
            return f"nothing came for {silent_s:.1f} s behind {self._body_bytes} bytes of an answer without a length"
        if now > watched_until:
            return f"{self._body_bytes} bytes of an answer without a length, and no end"
        return None

    # The timer.

    def cancel(self) -> None:
        """Remove the timer: the answer is complete or known to be long, or its attempt has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, delay_s: float, callback: Callable[[], object]) -> None:
        self.cancel()
        self._timer = ReadFirstTimer(asyncio.get_running_loop(), delay_s, callback)
