"""Types and Protocols that connections to endpoints and their attempts use of other packages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Mapping, NamedTuple, Protocol

from loadbalancer.policy.events import AttemptResult
from loadbalancer.streaming.streams import Stream, StreamProducer
from loadbalancer.streaming.tunnels import Tunnel, TunnelEnd
from loadbalancer.streaming.uploads import Upload

if TYPE_CHECKING:
    import ssl

    from loadbalancer.upstreams.connections import Attempt, Upstream


class UpstreamRequest(Protocol):
    """A request as it is sent to a member."""

    head: bytes
    body: bytearray | None
    bodiless: bool  # a HEAD request: its answer has no body
    upload: Upload | None  # its body, if that is streamed
    upgrade: bytes  # the protocol of its Upgrade header, or empty


class UpstreamResponse(NamedTuple):
    """A backend's complete answer to a request, or the head of one whose body is streamed."""

    lines: list[bytes]  # headers to forward, each with its line end
    body: bytes
    status: int = 200
    reason: bytes = b""
    # Content-Length of an answer without a body (to HEAD, or a 304) or with a streamed one.
    length: int | None = None
    asks_for_retry: bool = False  # the member requests a retry


class AttemptOwner(Protocol):
    """Receives the results of attempts."""

    def find_obstacle(self, attempt: Attempt, late: bool) -> AttemptResult | None:
        """Return the result of an attempt that must not be sent, or None if it may; called right before it is written.

        `late`: time has passed since it was decided.
        """

    def finish_attempt(
        self,
        attempt: Attempt,
        result: AttemptResult,
        report: Mapping[str, float] | None = None,
        answer: UpstreamResponse | None = None,
    ) -> None:
        """End an attempt with its result, the load report of its answer, and the answer if the client gets one."""

    def begin_answer(
        self, attempt: Attempt, answer: UpstreamResponse, giver: StreamProducer
    ) -> Stream | None:
        """Begin a streamed answer; return the stream for its body, or None if the answer is no longer wanted.

        `answer` has the head; its `length` is that of the body, if stated.
        """


class TunnelOwner(AttemptOwner, Protocol):
    """An owner whose requests may ask for an upgrade to another protocol."""

    def begin_tunnel(self, attempt: Attempt, answer: UpstreamResponse, member: TunnelEnd) -> Tunnel | None:
        """Open a tunnel after the member switched protocols; return None if the upgrade is no longer wanted."""


class TlsConnector(Protocol):
    """Provides TLS contexts and names for connections to members, and records the outcome of handshakes."""

    handshake_s: float

    def context(self, member: str) -> ssl.SSLContext:
        """Return the context for handshakes with a member."""

    def name_of(self, member: str, address: tuple[str, int]) -> str:
        """Return the name that the member's certificate must have."""

    def accepted(self, member: str, now: float) -> None:
        """Record a successful handshake; `now` is monotonic, in seconds."""

    def failed(self, member: str, problem: BaseException | None, now: float) -> AttemptResult:
        """Record a failed handshake; return the result of the attempt that waited for it."""

    def used(self, member: str, connection: Upstream) -> None:
        """Record that a connection has carried a request."""
