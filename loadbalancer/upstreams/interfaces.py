"""What connections to endpoints, and attempts on them, need of others: types and Protocols alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Mapping, NamedTuple, Protocol

from loadbalancer.policy.events import AttemptResult
from loadbalancer.streaming.streams import Stream, StreamProducer
from loadbalancer.streaming.tunnels import Tunnel, TunnelEnd
from loadbalancer.streaming.uploads import Upload

if TYPE_CHECKING:
    import ssl

    from loadbalancer.upstreams.connections import Attempt, Upstream


class Job(Protocol):
    """A request, as a member gets it."""

    head: bytes
    body: bytearray | None
    bodiless: bool  # asks for a head alone
    upload: Upload | None  # its body, where that is sent on as it comes
    upgrade: bytes  # the protocol that it asks to go over to, or nothing


class UpstreamResponse(NamedTuple):
    """An answer that a backend made for a request, whole."""

    lines: list[bytes]  # headers to pass on, each with its end
    body: bytes
    status: int = 200
    reason: bytes = b""
    length: int | None = None  # stated without a body: to HEAD, or by a 304
    asks_for_retry: bool = False  # the member asks that the request goes again


class AttemptOwner(Protocol):
    """Who is told how an attempt ended."""

    def must_not_leave(self, attempt: Attempt, late: bool) -> bool:
        """Asked right before anything of an attempt leaves: whether it may not. `late`: some time has passed since it
        was decided."""

    def finish_attempt(
        self,
        attempt: Attempt,
        result: AttemptResult,
        report: Mapping[str, float] | None = None,
        answer: UpstreamResponse | None = None,
    ) -> None: ...

    def begin_answer(
        self, attempt: Attempt, answer: UpstreamResponse, giver: StreamProducer
    ) -> Stream | None:
        """A long answer has begun; the stream for its body, or None where nobody wants it any more. `answer` has the
        head, `length` is that of the body where it is stated."""


class TunnelOwner(AttemptOwner, Protocol):
    """An owner whose requests may ask for another protocol."""

    def begin_tunnel(self, attempt: Attempt, answer: UpstreamResponse, member: TunnelEnd) -> Tunnel | None:
        """The member has gone over to the other protocol; None where nobody wants that any more."""


class TlsConnector(Protocol):
    """What a pool needs of TLS towards its members."""

    handshake_s: float

    def context(self, member: str) -> ssl.SSLContext: ...
    def name_of(self, member: str, address: tuple[str, int]) -> str: ...
    def accepted(self, member: str, now: float) -> None: ...

    def failed(self, member: str, problem: BaseException | None, now: float) -> AttemptResult:
        """A handshake has come to nothing; what the module hears of the attempt that waited for it."""

    def used(self, member: str, connection: Upstream) -> None:
        """A connection has carried a request."""
