"""A body on its way from one connection to another: in order, bounded, with back-pressure. No I/O, no clock.

One `Stream` stands between the two sides, so that a front end and an upstream connection never know each other: what
the producer sends, the consumer takes, and the producer is held while the consumer is full.
"""

from __future__ import annotations

from typing import Protocol

STALL_S = 10.0
"""Seconds without a byte after which a stream is cut off, since the peer may have vanished."""


class StreamProducer(Protocol):
    """Where the bytes come from."""

    def hold(self, on: bool) -> None:
        """Read no further, or read on."""


class StreamConsumer(Protocol):
    """Where the bytes go."""

    def take_part(self, data: bytes) -> None:
        """Take the next bytes; see `Stream.set_full` for when there are too many."""

    def take_end(self) -> None:
        """The body is complete."""

    def break_off(self) -> None:
        """The body ends before it is complete; the peer must be able to tell."""


class Stream:
    """One body. Either side may end it; it passes nothing on after that."""

    __slots__ = ("_has_ended", "_has_moved", "_is_full", "consumer", "passed_bytes", "producer")

    def __init__(self, giver: StreamProducer, taker: StreamConsumer) -> None:
        self.producer = giver
        self.consumer = taker
        self.passed_bytes = 0
        self._has_moved = True  # since the last call of `is_stalled`
        self._has_ended = False
        self._is_full = False

    def send(self, data: bytes) -> None:
        """Pass bytes on."""
        if self._has_ended or not data:
            return
        self._has_moved = True
        self.passed_bytes += len(data)
        self.consumer.take_part(data)

    def end(self) -> None:
        """The producer has sent all of it."""
        if not self._has_ended:
            self._has_ended = True
            self.consumer.take_end()

    def cut(self) -> None:
        """The producer has no more, though more was to come."""
        if not self._has_ended:
            self._has_ended = True
            self.consumer.break_off()

    def leave(self) -> None:
        """The consumer is gone; what is still sent goes nowhere."""
        if not self._has_ended:
            self._has_ended = True
            self._hold(False)

    def set_full(self, on: bool) -> None:
        """The consumer has as much as it can hold, or has room again."""
        self._has_moved = True
        if not self._has_ended:
            self._hold(on)

    def is_stalled(self) -> bool:
        """Whether nothing has come since the last call though the consumer has room.

        A consumer that is full is watched by its owner.
        """
        stalled = not (self._has_moved or self._is_full)
        self._has_moved = False
        return stalled

    def _hold(self, on: bool) -> None:
        if on != self._is_full:
            self._is_full = on
            self.producer.hold(on)
