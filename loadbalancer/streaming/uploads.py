"""A request's body that is too long to be held: on its way to a member while it still comes.

No socket and no clock here. The client's connection gives, the member's takes; whether it may be sent again is told by
whether all that has come is still kept.
"""

from __future__ import annotations

from typing import Callable

from loadbalancer.resource_limits import BufferBudget
from loadbalancer.streaming.streams import StreamConsumer, StreamProducer


class Upload:
    """One body, from the moment that it is too long until its request ends."""

    __slots__ = (
        "giver",
        "length",
        "passed",
        "whole",
        "kept",
        "_budget",
        "_taker",
        "_holds",
        "_over",
        "_lost",
    )

    def __init__(
        self,
        giver: StreamProducer,
        length: int | None,
        kept: bytearray,
        budget: BufferBudget,
        lost: Callable[[], None],
    ) -> None:
        """`length`: as stated, None where it comes in chunks. `kept`: what has come, charged to `budget`. `lost` is
        called once: a byte is gone that is not kept, so the body can't be sent again."""
        self.giver, self.length, self._budget, self._lost = giver, length, budget, lost
        self.kept: bytearray | None = kept
        self.passed = len(kept)  # bytes that have come
        self.whole = False
        self._taker: StreamConsumer | None = None
        self._holds = self._over = False
        self._hold(True)  # until a member takes it

    # The client's side.

    def give(self, data: bytes) -> None:
        """The next bytes."""
        self.passed += len(data)
        if self._over:
            return
        if self._taker is None and self.kept is not None:
            self.kept += data
            self._budget.held += len(data)  # what came behind the hold: one read at most
            return
        if self.kept is not None:
            self._forget()
            self._lost()
        if self._taker is not None:
            self._taker.take_part(data)

    def end(self) -> None:
        """That was all."""
        self.whole = True
        if self._taker is not None:
            self._taker.take_end()

    # The member's side.

    def attach(self, taker: StreamConsumer) -> None:
        """A member takes it from the beginning; only while all of it is kept."""
        assert self.kept is not None
        self._taker = taker
        if self.kept:
            taker.take_part(bytes(self.kept))
        if self._taker is not taker:  # it broke over the first bytes
            return
        if self.whole:
            taker.take_end()
        else:
            self._hold(False)

    def detach(self, taker: StreamConsumer) -> None:
        """This member takes no more; the next one gets all of it, if that is still kept."""
        if self._taker is taker:
            self._taker = None
            self._hold(True)

    def full(self, on: bool) -> None:
        """The member has as much as it can hold, or has room again."""
        if self._taker is not None:
            self._hold(on)

    def close(self) -> None:
        """The request has ended: what still comes goes nowhere."""
        self._over = True
        self._taker = None
        self._forget()
        self._hold(False)

    def _forget(self) -> None:
        if self.kept is not None:
            self._budget.release(len(self.kept))
            self.kept = None

    def _hold(self, on: bool) -> None:
        if on != self._holds:
            self._holds = on
            self.giver.hold(on)
