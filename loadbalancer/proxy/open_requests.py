"""An open request, and the ids that clients gave: what `core` holds of each until it has ended.

No socket and no clock: who takes a request, answers it and ends it is proxy/proxy.py.
"""

from __future__ import annotations

import asyncio
from typing import Callable, Protocol

from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.streaming.streams import Stream, StreamConsumer
from loadbalancer.streaming.uploads import Upload
from loadbalancer.upstreams.connections import Attempt, UpstreamResponse

#: Ids of requests that backends could not use are kept, the latest ones.
MAX_UNUSABLE_IDS = 2000


class Client(StreamConsumer, Protocol):
    """What a request needs of the connection that it came on."""

    def answer(
        self,
        status: int,
        lines: list[bytes],
        body: bytes,
        close: bool = False,
        length: int | None = None,
        reason: bytes = b"",
    ) -> None: ...

    def has_left(self) -> bool:
        """Whether it has ended its side, though that may not have been read yet; then the request is withdrawn."""

    def begin_answer(
        self, status: int, lines: list[bytes], length: int | None, reason: bytes, stream: Stream
    ) -> None:
        """The head of an answer whose body comes by the stream, of which this is the taker. `length`: in bytes, None
        where it is not known."""


class RequestOwner(Protocol):
    """Who has a request, as the connection knows it on which it came."""

    def withdraw(self, request: OpenRequest) -> None: ...
    def uploaded(self, request: OpenRequest) -> None: ...
    def upload_lost(self, request: OpenRequest) -> None: ...
    def upload_failed(self, request: OpenRequest, status: int) -> None: ...


class OpenRequest:
    """A request that has been taken, until it is answered and all its attempts have ended."""

    __slots__ = (
        "id",
        "cls",
        "client",
        "txn",
        "head",
        "body",
        "attempts",
        "live",
        "done",
        "unusable",
        "timer",
        "owner",
        "bodiless",
        "error",
        "stream",
        "edit",
        "ran",
        "made",
        "last",
        "most",
        "repeat_on",
        "repeat_statuses",
        "upgrade",
        "giving",
        "moved_at",
        "released",
        "upload",
        "whole",
        "left",
    )

    def __init__(
        self, client: Client, txn: int, head: bytes, body: bytearray | None, bodiless: bool = False
    ) -> None:
        self.id = 0
        self.cls = 0  # number of its class
        self.owner: RequestOwner  # who has taken it
        self.ran = False  # an attempt that has ended may have run
        self.made = False  # its answer is a member's
        self.bodiless = bodiless  # asks for a head alone
        self.client = client
        self.txn = txn  # a hash of its X-Txn: of one size, whatever clients send
        self.unusable = False  # so says a backend
        self.last: AttemptResult | None = None  # what became of its last attempt
        self.most = 0  # attempts that its route allows; 0: as the pool does
        self.repeat_on: frozenset[AttemptResult] | None = (
            None  # ends after which its route lets another attempt follow
        )
        self.repeat_statuses: frozenset[int] | None = None  # and statuses; None: as the pool has them
        self.upgrade = b""  # the protocol that it asks to go over to
        self.error: UpstreamResponse | None = None  # the last that a backend made of its failure
        self.stream: Stream | None = None  # its answer has begun, and comes by this
        self.giving = -1  # from the attempt of this number
        self.moved_at = 0.0  # monotonic, when the stream was last seen to move
        self.released = False  # nothing more is held for it
        self.upload: Upload | None = None  # its body, where that is too long to be held
        self.whole = True  # its last byte has come
        self.left = 0.0  # seconds from then until the client gives up
        self.timer: asyncio.TimerHandle | None = None
        self.head, self.body = head, body  # as a backend gets them, all but X-Remaining
        self.attempts: list[Attempt] = []
        self.live = 0  # attempts that have not ended
        self.done = False
        self.edit: Callable[[list[bytes]], list[bytes]] | None = (
            None  # what its route does to an answer's headers
        )

    def lines(self, answer: UpstreamResponse) -> list[bytes]:
        """The header lines of a member's answer as the client gets them."""
        return answer.lines if self.edit is None else self.edit(answer.lines)


class TransactionIds:
    """Ids that clients gave to requests: of what is open, and of what backends could not use.

    Guards against answers that go to the wrong client, and against bad clients who ask the same again:
    ids are new with every request. Harm: none to clients that keep to that. 0 is no id."""

    def __init__(self) -> None:
        self.open: set[int] = set()
        self.unusable: dict[int, None] = {}  # the oldest first

    def is_known(self, txn: int) -> bool:
        return txn in self.open or txn in self.unusable

    def opened(self, txn: int) -> None:
        if txn:
            self.open.add(txn)

    def ended(self, txn: int) -> None:
        self.open.discard(txn)

    def found_unusable(self, txn: int) -> None:
        if txn:
            self.unusable[txn] = None
        if len(self.unusable) > MAX_UNUSABLE_IDS:
            del self.unusable[next(iter(self.unusable))]
