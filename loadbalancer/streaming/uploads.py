"""A request's body that is too long to be held: sent to an endpoint while it still comes. No I/O, no clock.

The client's connection produces, the endpoint's consumes. The body may be sent again as long as all that has come is
still kept.
"""

from __future__ import annotations

from typing import Callable

from loadbalancer.resource_limits import BufferBudget
from loadbalancer.streaming.streams import StreamConsumer, StreamProducer


class Upload:
    """One body, from the moment that it is too long until its request ends. It owns the bytes that it keeps."""

    __slots__ = (
        "_budget",
        "_consumer",
        "_is_closed",
        "_is_held",
        "_on_lost",
        "is_complete",
        "kept_bytes",
        "length",
        "producer",
        "received_bytes",
    )

    def __init__(
        self,
        giver: StreamProducer,
        length: int | None,
        kept: bytearray,
        budget: BufferBudget,
        lost: Callable[[], None],
    ) -> None:
        """Hold the producer until an endpoint takes the body.

        Args:
            giver: The client's connection.
            length: Bytes of the body as stated; None where it comes in chunks.
            kept: What has come, charged to the budget.
            budget: What kept bytes are taken from.
            lost: Called once when a byte is gone that is not kept, so that the body cannot be sent again.
        """
        self.producer = giver
        self.length = length
        self.kept_bytes: bytearray | None = kept
        self.received_bytes = len(kept)
        self.is_complete = False
        self._budget = budget
        self._on_lost = lost
        self._consumer: StreamConsumer | None = None
        self._is_held = False
        self._is_closed = False
        self._hold(True)

    # Called by the client's connection.

    def receive(self, data: bytes) -> None:
        """Take the next bytes."""
        self.received_bytes += len(data)
        if self._is_closed:
            return
        if self._consumer is None and self.kept_bytes is not None:
            # What came before the hold took effect: one read at most.
            self.kept_bytes += data
            self._budget.held_bytes += len(data)
            return
        if self.kept_bytes is not None:
            self._discard_kept()
            self._on_lost()
        if self._consumer is not None:
            self._consumer.take_part(data)

    def end(self) -> None:
        """The body is complete."""
        self.is_complete = True
        if self._consumer is not None:
            self._consumer.take_end()

    # Called by the endpoint's connection.

    def attach(self, taker: StreamConsumer) -> None:
        """Send the body to an endpoint from its beginning; only while all of it is kept."""
        assert self.kept_bytes is not None
        self._consumer = taker
        if self.kept_bytes:
            taker.take_part(bytes(self.kept_bytes))
        if self._consumer is not taker:  # it broke over the first bytes
            return
        if self.is_complete:
            taker.take_end()
        else:
            self._hold(False)

    def detach(self, taker: StreamConsumer) -> None:
        """This endpoint takes no more; the next one gets all of it, if that is still kept."""
        if self._consumer is taker:
            self._consumer = None
            self._hold(True)

    def set_full(self, on: bool) -> None:
        """The endpoint's connection has as much as it can hold, or has room again."""
        if self._consumer is not None:
            self._hold(on)

    def close(self) -> None:
        """The request has ended: what still comes goes nowhere."""
        self._is_closed = True
        self._consumer = None
        self._discard_kept()
        self._hold(False)

    def _discard_kept(self) -> None:
        if self.kept_bytes is not None:
            self._budget.release(len(self.kept_bytes))
            self.kept_bytes = None

    def _hold(self, on: bool) -> None:
        if on != self._is_held:
            self._is_held = on
            self.producer.hold(on)
