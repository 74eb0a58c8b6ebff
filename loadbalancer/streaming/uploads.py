"""Streams a request body that is too long to be buffered to an endpoint while it is received. No I/O, no clock.

The client's connection is the producer, the endpoint's the consumer. The body can be sent again, for a retry, as long
as all bytes received so far are still kept.
"""

from __future__ import annotations

from typing import Callable

from loadbalancer.memory_account import BufferBudget
from loadbalancer.streaming.streams import StreamConsumer, StreamProducer


class Upload:
    """One streamed request body, from when it exceeds the buffer until its request ends. Owns the bytes it keeps."""

    __slots__ = (
        "_budget",
        "_consumer",
        "_is_closed",
        "_is_producer_paused",
        "_on_lost",
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
        self._is_producer_paused = False
        self._is_closed = False
        self._set_producer_paused(True)

    # Called by the client's connection.

    def receive(self, data: bytes) -> None:
        """Keep the next bytes, or pass them to the endpoint."""
        self.received_bytes += len(data)
        if self._is_closed:
            return
        if self._consumer is None and self.kept_bytes is not None:
            # Bytes that arrived before the pause took effect: at most one read.
            self.kept_bytes += data
            self._budget.charge(len(data))
            return
        if self.kept_bytes is not None:
            self._discard_kept()
            self._on_lost()
        if self._consumer is not None:
            self._consumer.receive_data(data)

    def end(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        if self._consumer is not None:
            self._consumer.receive_end()

    # Called by the endpoint's connection.

    def attach(self, consumer: StreamConsumer) -> None:
        """Send the body to an endpoint from its first byte; allowed only while all received bytes are kept."""
        assert self.kept_bytes is not None
        self._consumer = consumer
        if self.kept_bytes:
            consumer.receive_data(bytes(self.kept_bytes))
        if self._consumer is not consumer:  # the connection failed on the first bytes
            return
        if self.is_complete:
            consumer.receive_end()
        else:
            self._set_producer_paused(False)

    def detach(self, consumer: StreamConsumer) -> None:
        """Detach an endpoint and pause the producer. The next endpoint gets the whole body, if that is still kept."""
        if self._consumer is consumer:
            self._consumer = None
            self._set_producer_paused(True)

    def set_full(self, on: bool) -> None:
        """Pause the producer while the endpoint's buffer is full (`on`), else resume it."""
        if self._consumer is not None:
            self._set_producer_paused(on)

    def close(self) -> None:
        """Close the upload because its request has ended; bytes received from now on are discarded."""
        self._is_closed = True
        self._consumer = None
        self._discard_kept()
        self._set_producer_paused(False)

    def _discard_kept(self) -> None:
        if self.kept_bytes is not None:
            self._budget.release(len(self.kept_bytes))
            self.kept_bytes = None

    def _set_producer_paused(self, on: bool) -> None:
        if on != self._is_producer_paused:
            self._is_producer_paused = on
            self.producer.set_reading_paused(on)
