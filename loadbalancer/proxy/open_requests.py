"""An open request, and the ids that clients give to requests."""

from __future__ import annotations

import asyncio
from typing import Callable, Protocol

from loadbalancer.policy.events import AttemptResult
from loadbalancer.streaming.streams import Stream, StreamConsumer
from loadbalancer.streaming.uploads import Upload
from loadbalancer.upstreams.connections import Attempt
from loadbalancer.upstreams.interfaces import UpstreamResponse

MAX_UNUSABLE_IDS = 2000
"""Ids of requests that endpoints could not use and that are remembered, the latest ones."""
NO_ATTEMPT = -1
"""Number of no attempt."""
NO_TRANSACTION = 0
"""Hash of no transaction id."""

HeaderEdit = Callable[[list[bytes]], list[bytes]]
"""Changes the header lines of an answer."""


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
    ) -> None:
        """Write a whole answer.

        Args:
            status: Of the answer.
            lines: Its header lines.
            body: Its body.
            close: Whether the connection ends with it.
            length: The length that the header states, where it is not that of the body.
            reason: The reason phrase; empty for the usual one.
        """

    def has_left(self) -> bool:
        """Whether it has ended its side, though that may not have been read yet; then the request is withdrawn."""

    def begin_answer(
        self, status: int, lines: list[bytes], length: int | None, reason: bytes, stream: Stream
    ) -> None:
        """Write the head of an answer whose body comes by the stream, which this consumes.

        Args:
            status: Of the answer.
            lines: Its header lines.
            length: Bytes of the body; None where it is not known.
            reason: The reason phrase; empty for the usual one.
            stream: Brings the body.
        """


class RequestOwner(Protocol):
    """Who has a request, as the connection knows it on which it came."""

    def cancel_by_client(self, request: OpenRequest) -> None:
        """The client has gone."""

    def uploaded(self, request: OpenRequest) -> None:
        """The last byte of a body has come that is sent on as it comes."""

    def upload_lost(self, request: OpenRequest) -> None:
        """A byte of such a body has left and is not kept."""

    def upload_failed(self, request: OpenRequest, status: int) -> None:
        """The client sends no more of such a body, and gets this status."""


class OpenRequest:
    """A request that has been taken, until it is answered and all its attempts have ended."""

    __slots__ = (
        "answered_by_endpoint",
        "attempts",
        "bodiless",
        "body",
        "class_index",
        "client",
        "done",
        "edit_headers",
        "head",
        "id",
        "is_complete",
        "is_released",
        "is_unusable",
        "kept_error",
        "last_result",
        "max_attempts",
        "may_have_run",
        "open_attempts",
        "owner",
        "retry_on",
        "retry_statuses",
        "stream",
        "stream_moved_at",
        "streaming_attempt",
        "time_remaining",
        "timer",
        "transaction",
        "upgrade",
        "upload",
    )

    def __init__(
        self, client: Client, txn: int, head: bytes, body: bytearray | None, bodiless: bool = False
    ) -> None:
        """Describe a request that no pool has yet.

        Args:
            client: The connection that it came on.
            txn: A hash of the client's transaction id, of one size whatever clients send; 0 for none.
            head: As an endpoint gets it, all but the time remaining.
            body: As an endpoint gets it; None where it is sent on as it comes, or there is none.
            bodiless: Whether it asks for a head alone.
        """
        self.client = client
        self.transaction = txn
        self.head = head
        self.body = body
        self.bodiless = bodiless
        self.owner: RequestOwner
        # Set by the front end, from the route.
        self.max_attempts = 0  # 0: as the pool has it
        self.retry_on: frozenset[AttemptResult] | None = None  # None: as the pool has it
        self.retry_statuses: frozenset[int] | None = None  # None: as the pool has them
        self.edit_headers: HeaderEdit | None = None
        self.upgrade = b""  # the protocol that it asks to go over to
        self.upload: Upload | None = None  # its body, where that is too long to be held
        # Set where it is taken.
        self.id = 0
        self.class_index = 0
        self.is_complete = True  # its last byte has come
        self.time_remaining = 0.0  # seconds from then until the client gives up
        self.timer: asyncio.TimerHandle | None = None
        # What becomes of it.
        self.attempts: list[Attempt] = []
        self.open_attempts = 0  # that have not ended
        self.last_result: AttemptResult | None = None  # of its last attempt
        self.may_have_run = False  # in an attempt that has ended
        self.is_unusable = False  # so says an endpoint
        self.kept_error: UpstreamResponse | None = None  # an endpoint's answer to its own failure
        self.done = False  # it has its final answer
        self.answered_by_endpoint = False
        self.is_released = False  # nothing more is held for it
        self.stream: Stream | None = None  # brings the body of its answer
        self.streaming_attempt = NO_ATTEMPT
        self.stream_moved_at = 0.0  # monotonic seconds

    def response_lines(self, answer: UpstreamResponse) -> list[bytes]:
        """The header lines of an endpoint's answer as the client gets them."""
        return answer.lines if self.edit_headers is None else self.edit_headers(answer.lines)


class TransactionIds:
    """Transaction ids of requests that are open, and of those that endpoints could not use.

    Ids are new with every request of a client that keeps to the protocol; one that is known is rejected, so that no
    answer goes to the wrong client and no unusable request is asked again. `NO_TRANSACTION` is no id.
    """

    def __init__(self) -> None:
        self.open: set[int] = set()
        self.unusable: dict[int, None] = {}  # the oldest first

    def is_known(self, txn: int) -> bool:
        """Whether a request of this id is open, or was unusable."""
        return txn in self.open or txn in self.unusable

    def opened(self, txn: int) -> None:
        """Note that a request is open."""
        if txn != NO_TRANSACTION:
            self.open.add(txn)

    def ended(self, txn: int) -> None:
        """Note that a request has ended."""
        self.open.discard(txn)

    def found_unusable(self, txn: int) -> None:
        """Note that an endpoint could not use a request."""
        if txn != NO_TRANSACTION:
            self.unusable[txn] = None
        if len(self.unusable) > MAX_UNUSABLE_IDS:
            del self.unusable[next(iter(self.unusable))]
