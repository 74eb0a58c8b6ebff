"""Streams a body from one connection to another: in order, bounded, with backpressure. No I/O, no clock.

A `Stream` connects the two sides, so that a front end and an upstream connection don't depend on each other. It passes
the producer's bytes to the consumer, and pauses the producer while the consumer's buffer is full.
"""

from __future__ import annotations

from typing import Protocol

STALL_S = 10.0
"""Seconds without a byte after which a stream is cut off, since the peer may have vanished."""


class StreamProducer(Protocol):
    """The connection that a body is read from."""

    def set_reading_paused(self, on: bool) -> None:
        """Pause reading if `on`, else resume it."""


class StreamConsumer(Protocol):
    """The connection that a body is written to."""

    def receive_data(self, data: bytes) -> None:
        """Receive the next bytes; call `Stream.set_full` when the buffer is full."""

    def receive_end(self) -> None:
        """Receive the end of the body, which is complete."""

    def abort_body(self) -> None:
        """Abort the body before it is complete, in a way that the peer can detect."""

    def is_full(self) -> bool:
        """Return whether bytes wait here that the peer has made no room for.

        `set_full` reports changes alone: whoever begins to send while it is full would not hear of it.
        """


class Stream:
    """One streamed body. Either side may end it; nothing is passed on after that."""

    __slots__ = ("_has_ended", "_has_moved", "_is_full", "consumer", "passed_bytes", "producer")

    def __init__(self, producer: StreamProducer, consumer: StreamConsumer) -> None:
        self.producer = producer
        self.consumer = consumer
        self.passed_bytes = 0
        self._has_moved = True  # since the last call of `is_stalled`
        self._has_ended = False
        self._is_full = False

    def send(self, data: bytes) -> None:
        """Pass bytes to the consumer."""
        if self._has_ended or not data:
            return
        self._has_moved = True
        self.passed_bytes += len(data)
        self.consumer.receive_data(data)
        if not self._has_ended and self.consumer.is_full():  # it may have become so before the stream began
            self._set_producer_paused(True)

    def end(self) -> None:
        """End the body, which the producer has sent completely."""
        if not self._has_ended:
            self._has_ended = True
            self.consumer.receive_end()

    def abort(self) -> None:
        """Abort the body: the producer failed before it had sent all of it."""
        if not self._has_ended:
            self._has_ended = True
            self.consumer.abort_body()

    def detach_consumer(self) -> None:
        """End the stream because the consumer is gone; bytes sent from now on are discarded."""
        if not self._has_ended:
            self._has_ended = True
            self._set_producer_paused(False)

    @property
    def has_ended(self) -> bool:
        """Whether either side has ended it."""
        return self._has_ended

    @property
    def is_full(self) -> bool:
        """Whether the consumer's buffer is full, so that the producer is paused."""
        return self._is_full

    def set_full(self, on: bool) -> None:
        """Pause the producer if the consumer's buffer is full (`on`), else resume it."""
        self._has_moved = True
        if not self._has_ended:
            self._set_producer_paused(on)

    def is_stalled(self) -> bool:
        """Return whether no byte has been sent since the last call although the consumer has room.

        The owner of a consumer detects whether that one stalls while it is full.
        """
        stalled = not (self._has_moved or self._is_full)
        self._has_moved = False
        return stalled

    def _set_producer_paused(self, on: bool) -> None:
        if on != self._is_full:
            self._is_full = on
            self.producer.set_reading_paused(on)
