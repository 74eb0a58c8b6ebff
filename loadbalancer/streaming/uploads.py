"""Streams a request body that is too long to be buffered to an endpoint while it is received. No I/O, no clock.

The client's connection is the producer, the endpoint's the consumer. The body can be sent again, for a retry, as long
as all bytes received so far are still kept.
"""

from __future__ import annotations

from typing import Callable

from loadbalancer.memory_account import BufferBudget
from loadbalancer.streaming.streams import StreamConsumer, StreamProducer

PART_BYTES = 64 << 10
"""Parts in which kept bytes are passed on: so much of them is copied at a time."""


class Upload:
    """One streamed request body, from when it exceeds the buffer until its request ends. Owns the bytes it keeps."""

    __slots__ = (
        "_budget",
        "_consumer",
        "_has_passed_end",
        "_is_closed",
        "_is_passing_kept",
        "_is_producer_paused",
        "_on_lost",
        "_passed_kept_bytes",
        "is_complete",
        "kept_bytes",
        "length",
        "producer",
        "received_bytes",
    )

    def __init__(
        self,
        producer: StreamProducer,
        length: int | None,
        kept_bytes: bytearray,
        budget: BufferBudget,
        on_lost: Callable[[], None],
    ) -> None:
        """Create an upload, and pause the producer until an endpoint is attached.

        Args:
            producer: The client's connection.
            length: Bytes of the body as stated by Content-Length; None if it is chunked.
            kept_bytes: The bytes received so far, charged to the budget.
            budget: The budget that kept bytes are charged to.
            on_lost: Called once, when the first byte is no longer kept and the body cannot be sent again.
        """
        self.producer = producer
        self.length = length
        self.kept_bytes: bytearray | None = kept_bytes
        self.received_bytes = len(kept_bytes)
        self.is_complete = False
        self._budget = budget
        self._on_lost = on_lost
        self._consumer: StreamConsumer | None = None
        self._passed_kept_bytes = 0  # how many of the kept bytes the endpoint has
        self._is_passing_kept = False
        self._has_passed_end = False
        self._is_producer_paused = False
        self._is_closed = False
        self._set_producer_paused(True)

    # Called by the client's connection.

    def receive(self, data: bytes) -> None:
        """Keep the next bytes, or pass them to the endpoint."""
        self.received_bytes += len(data)
        if self._is_closed:
            return
        if self.kept_bytes is not None:
            if self._consumer is None or self._has_more_kept():
                # Bytes that arrived before the pause took effect: at most one read.
                self.kept_bytes += data
                self._budget.charge(len(data))
                return
            self._discard_kept()
            self._on_lost()
        if self._consumer is not None:
            self._consumer.receive_data(data)
            self._follow_consumer()

    def end(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        if self._consumer is not None and not self._has_more_kept():
            self._pass_end(self._consumer)

    # Called by the endpoint's connection.

    def attach(self, consumer: StreamConsumer) -> None:
        """Send the body to an endpoint from its first byte; allowed only while all received bytes are kept."""
        assert self.kept_bytes is not None
        self._consumer = consumer
        self._passed_kept_bytes = 0
        self._has_passed_end = False
        self._pass_kept()

    def detach(self, consumer: StreamConsumer) -> None:
        """Detach an endpoint and pause the producer. The next endpoint gets the whole body, if that is still kept."""
        if self._consumer is consumer:
            self._consumer = None
            self._set_producer_paused(True)

    def set_full(self, on: bool) -> None:
        """Pause the producer while the endpoint's buffer is full (`on`), else go on."""
        if self._consumer is None:
            return
        if on:
            self._set_producer_paused(True)
        elif not self._is_passing_kept:
            self._pass_kept()

    def close(self) -> None:
        """Close the upload because its request has ended; bytes received from now on are discarded."""
        self._is_closed = True
        self._consumer = None
        self._discard_kept()
        self._set_producer_paused(False)

    def _has_more_kept(self) -> bool:
        """Return whether the endpoint does not have all kept bytes yet."""
        return self.kept_bytes is not None and self._passed_kept_bytes < len(self.kept_bytes)

    def _pass_kept(self) -> None:
        """Pass kept bytes on while the endpoint has room; behind them the end, or what the producer sends next."""
        consumer = self._consumer
        assert consumer is not None
        self._is_passing_kept = True
        while self.kept_bytes is not None and self._has_more_kept() and not consumer.is_full():
            begin = self._passed_kept_bytes
            part = bytes(self.kept_bytes[begin : begin + PART_BYTES])
            self._passed_kept_bytes += len(part)
            consumer.receive_data(part)
            if self._consumer is not consumer:  # its connection has failed
                break
        self._is_passing_kept = False
        if self._consumer is not consumer or self._has_more_kept():
            return
        if self.is_complete:
            self._pass_end(consumer)
        else:
            self._follow_consumer()

    def _pass_end(self, consumer: StreamConsumer) -> None:
        if not self._has_passed_end:
            self._has_passed_end = True
            consumer.receive_end()

    def _follow_consumer(self) -> None:
        """Let the producer send if the endpoint has room; asked of the endpoint, which reports only changes."""
        if self._consumer is not None:
            self._set_producer_paused(self._consumer.is_full())

    def _discard_kept(self) -> None:
        if self.kept_bytes is not None:
            self._budget.release(len(self.kept_bytes))
            self.kept_bytes = None

    def _set_producer_paused(self, on: bool) -> None:
        if on != self._is_producer_paused:
            self._is_producer_paused = on
            self.producer.set_reading_paused(on)
