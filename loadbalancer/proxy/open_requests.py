"""Open requests, the interfaces of their clients and owners, and the transaction ids of clients."""

from __future__ import annotations

import asyncio
from typing import Callable, Protocol

from loadbalancer.policy.events import AttemptResult
from loadbalancer.streaming.streams import Stream, StreamConsumer
from loadbalancer.streaming.uploads import Upload
from loadbalancer.upstreams.connections import Attempt
from loadbalancer.upstreams.interfaces import UpstreamResponse

NO_ATTEMPT = -1
"""Attempt number that stands for none."""

HeaderEdit = Callable[[list[bytes]], list[bytes]]
"""Changes the header lines of an answer."""


class Client(StreamConsumer, Protocol):
    """The client connection of a request."""

    def answer(
        self,
        status: int,
        lines: list[bytes],
        body: bytes,
        close: bool = False,
        length: int | None = None,
        reason: bytes = b"",
    ) -> None:
        """Write a complete answer.

        Args:
            status: Its status.
            lines: Its header lines.
            body: Its body.
            close: Whether to close the connection after it.
            length: The Content-Length, if it differs from the length of the body.
            reason: The reason phrase; empty for the usual one.
        """

    def has_left(self) -> bool:
        """Return whether the client has closed its side, even if that is not read yet; it then needs no answer."""

    def begin_answer(
        self, status: int, lines: list[bytes], length: int | None, reason: bytes, stream: Stream
    ) -> None:
        """Write the head of an answer whose body is streamed to this client.

        Args:
            status: Its status.
            lines: Its header lines.
            length: Bytes of the body; None if unknown.
            reason: The reason phrase; empty for the usual one.
            stream: Delivers the body.
        """


class RequestOwner(Protocol):
    """The component responsible for a request; its client connection reports to it."""

    def cancel_by_client(self, request: OpenRequest) -> None:
        """Cancel a request whose client has disconnected."""

    def uploaded(self, request: OpenRequest) -> None:
        """Report that the last byte of a streamed body has been received."""

    def upload_not_replayable(self, request: OpenRequest) -> None:
        """Report that a streamed body can no longer be replayed: bytes were sent and are not buffered."""

    def upload_failed(self, request: OpenRequest, status: int) -> None:
        """Report that a streamed body stays incomplete; the client gets this status."""


class OpenRequest:
    """A request, from its submission to a pool until it is answered and all its attempts have ended."""

    owner: RequestOwner  # set when it is submitted
    __slots__ = (
        "answered_by_endpoint",
        "attempts",
        "bodiless",
        "body",
        "class_index",
        "client",
        "deadline_at",
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
        """Create a request that no pool has yet.

        Args:
            client: The connection that it was received on.
            txn: Number of the client's transaction id, of a fixed size whatever clients send; 0 for none.
            head: The head as an endpoint gets it, without the header of the remaining time.
            body: The body as an endpoint gets it; None if it is streamed, or there is none.
            bodiless: Whether its answer has no body, as for HEAD.
        """
        self.client = client
        self.transaction = txn
        self.head = head
        self.body = body
        self.bodiless = bodiless
        # Set by the front end, from the route.
        self.max_attempts = 0  # 0: the limit of the pool
        self.retry_on: frozenset[AttemptResult] | None = None  # None: the results configured for the pool
        self.retry_statuses: frozenset[int] | None = None  # None: the statuses configured for the pool
        self.edit_headers: HeaderEdit | None = None
        self.upgrade = b""  # the protocol that it asks to upgrade to
        self.upload: Upload | None = None  # its body, if it is streamed rather than buffered
        # Set when it is submitted to a pool.
        self.id = 0
        self.class_index = 0
        self.is_complete = True  # its last byte has been received
        self.time_remaining = 0.0  # seconds from then until the client gives up
        self.deadline_at = 0.0  # monotonic, when the client gives up; 0: its last byte has not been received
        self.timer: asyncio.TimerHandle | None = None
        # Progress.
        self.attempts: list[Attempt] = []
        self.open_attempts = 0  # number of attempts that have not ended
        self.last_result: AttemptResult | None = None  # of the attempt that ended last
        self.may_have_run = False  # in one of the attempts that have ended
        self.is_unusable = False  # an endpoint reported it as unusable
        self.kept_error: UpstreamResponse | None = (
            None  # an endpoint's error answer, kept as a possible final answer
        )
        self.done = False  # it has its final answer, or its client has disconnected
        self.answered_by_endpoint = False
        self.is_released = False  # its resources were given back
        self.stream: Stream | None = None  # delivers the body of its answer
        self.streaming_attempt = NO_ATTEMPT
        self.stream_moved_at = 0.0  # monotonic seconds

    def response_lines(self, answer: UpstreamResponse) -> list[bytes]:
        """Return the header lines of an endpoint's answer as the client gets them."""
        return answer.lines if self.edit_headers is None else self.edit_headers(answer.lines)
