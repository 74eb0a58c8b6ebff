"""A body on its way from one connection to another: in order, bounded, with back-pressure.

One object stands between the two sides, so that a front and an upstream never know each other: what one side gives, the
other takes, and the giver is held while the taker is full. No socket and no clock here; whoever sweeps brings the time.
"""

from __future__ import annotations

from typing import Protocol

#: A stream on which nothing has moved for this long, in seconds, is broken off. Guards a connection on either side
#: against peers that have vanished. Harm: a member that pauses for longer in the middle of an answer.
STALL_S = 10.0


class StreamProducer(Protocol):
    """Where the bytes come from."""

    def hold(self, on: bool) -> None:
        """Read no further, or read on."""


class StreamConsumer(Protocol):
    """Where they go."""

    def take_part(self, data: bytes) -> None:
        """The next bytes; `Stream.full` tells the giver when there are too many."""

    def take_end(self) -> None:
        """That was all."""

    def break_off(self) -> None:
        """There is no more, and it was not all: the other end must be able to tell."""


class Stream:
    """One body. Either side may end it; nothing is heard of it after that."""

    __slots__ = ("giver", "taker", "passed", "moved", "over", "_full")

    def __init__(self, giver: StreamProducer, taker: StreamConsumer) -> None:
        self.giver, self.taker = giver, taker
        self.passed = 0  # bytes
        self.moved = True  # since the last sweep
        self.over = False
        self._full = False

    def give(self, data: bytes) -> None:
        if self.over or not data:
            return
        self.moved = True
        self.passed += len(data)
        self.taker.take_part(data)

    def end(self) -> None:
        if not self.over:
            self.over = True
            self.taker.take_end()

    def cut(self) -> None:
        """The giver has no more, though more was to come."""
        if not self.over:
            self.over = True
            self.taker.break_off()

    def leave(self) -> None:
        """The taker is gone; what is still given goes nowhere."""
        if not self.over:
            self.over = True
            self._hold(False)

    def full(self, on: bool) -> None:
        """The taker has as much as it can hold, or has room again."""
        self.moved = True
        if not self.over:
            self._hold(on)

    def stands(self) -> bool:
        """Whether nothing has come since the last call, though the taker has room; a taker that is full is watched by
        whoever owns it."""
        stands = not (self.moved or self._full)
        self.moved = False
        return stands

    def _hold(self, on: bool) -> None:
        if on != self._full:
            self._full = on
            self.giver.hold(on)
