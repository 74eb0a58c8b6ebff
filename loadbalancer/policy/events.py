"""Events: what a proxy tells its policy (`Balancer.handle`).

Durations are in seconds, moments in seconds on any clock that only advances.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Mapping, NamedTuple, Union


class AttemptResult(IntEnum):
    """How an attempt or a probe ended."""

    SERVED = 0
    """The endpoint answered."""
    ERROR = 1
    """The endpoint answered that it failed."""
    FULL = 2
    """The endpoint turned the attempt away for want of room, before it ran."""
    TIMEOUT = 3
    """No answer within the attempt's time."""
    NO_CONNECTION = 4
    """The connection could not be made."""
    RESET = 5
    """The connection ended before the answer did."""
    CANCELLED = 6
    """Ended at the policy's or the client's wish."""
    NOT_SENT = 7
    """Ended before any of its bytes left."""
    UNUSABLE = 8
    """The endpoint is well and finds the request itself wrong; on sockets only."""


#: Results that prove that the attempt never ran on its endpoint.
NEVER_RAN = frozenset((AttemptResult.FULL, AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT))


class EndpointState(IntEnum):
    """What the endpoint list says of an endpoint."""

    READY = 0
    """It takes requests."""
    DRAINING = 1
    """It ends what it has and takes no new requests."""
    GONE = 2
    """It is no longer there."""


#: A sticky session that is with any endpoint of a domain names the domain after this prefix.
STICKY_DOMAIN_PREFIX = "@"


class EndpointEntry(NamedTuple):
    """One endpoint, as a list says it."""

    endpoint: str
    """Its name."""
    zone: int = 0
    cell: int = 0
    """A part of a zone."""
    kind: int = 0
    """Kind of machine; endpoints of one kind are about equally fast."""
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    """Size relative to the others."""
    started: float = 0.0
    """When its process started; 0: long ago."""
    priority: int = 0
    """Endpoints of one priority serve while none of a lower number is available."""
    domain: str = ""
    """Endpoints of one domain share their sticky sessions."""
    redirect: str = ""
    """Where its sessions go while it is not available: an endpoint, or the prefix and a domain."""


class EndpointList(NamedTuple):
    """The endpoint list, or a change to it."""

    entries: tuple[EndpointEntry, ...] = ()
    complete: bool = True
    """Endpoints that it does not name are gone."""
    failed: bool = False
    """The poll failed, and the list before stands."""
    stale: bool = False
    """It was held before a restart."""
    busy: bool = False
    """The poll failed after it had waited in line with those of others."""


class Cordon(NamedTuple):
    """An operator takes an endpoint out, whatever lists say of it, or puts it back."""

    endpoint: str
    cordoned: bool
    """False puts it back."""


class Request(NamedTuple):
    """A client's request, which is owed exactly one final answer."""

    request: int
    """Number that names it in further events and actions."""
    class_index: int
    """Its place in `PolicySettings.classes`."""
    time_remaining: float
    """Seconds until the client gives up."""
    tenant: int = 0
    """Its place in `PolicySettings.tenants`."""
    key: str | None = None
    """Idempotency key."""
    work_hint: float | None = None
    """Expected work, in seconds of a standard core."""
    retry: bool = False
    """The client says that it has sent it before."""
    write: bool = False
    """It changes something."""
    sticky_endpoint: str | None = None
    """Endpoint that its session wants, or the prefix and a domain."""
    body_pending: bool = False
    """Its body still comes: no endpoint can begin, and no time counts, before `BodyProgress` says so."""
    sticky_required: bool = False
    """Its session may not move: where `sticky_endpoint` is listed and not available, the request ends."""
    max_attempts: int = 0
    """Attempts that its route allows, within the settings' limit; 0: as many as that."""
    retry_on: frozenset[AttemptResult] | None = None
    """Results after which its route lets another attempt follow; None: as the settings have it."""


class Outcome(NamedTuple):
    """The end of an attempt."""

    request: int
    attempt: int
    """Its number among the request's attempts."""
    endpoint: str
    result: AttemptResult
    elapsed: float
    """Seconds that the attempt has taken."""
    request_ended: bool = False
    """The request has its final answer."""
    report: Mapping[str, float] | None = None
    """What the endpoint says of itself, such as `utilization` from 0 to 1."""
    time_to_first_byte: float | None = None
    """Seconds to the head of the answer, where one came."""
    lag: float = 0.0
    """Seconds of that time, or of `elapsed` where no answer came, in which this process did not run."""

    @property
    def response_time(self) -> float:
        """Seconds that the endpoint took to the first byte, or to the end of the attempt where none came."""
        measured = self.elapsed if self.time_to_first_byte is None else self.time_to_first_byte
        return max(0.0, measured - self.lag) if self.lag else measured


class FirstByte(NamedTuple):
    """An attempt's answer has begun, and goes to the client."""

    request: int
    attempt: int
    """Its number among the request's attempts."""
    endpoint: str
    elapsed: float
    """Seconds since it was sent."""


class BodyProgress(NamedTuple):
    """More has come of the body of a request that came with `body_pending`."""

    request: int
    complete: bool
    """The last byte has come; now the request's times count."""
    replayable: bool
    """All that has come is still held, so it could be sent again."""


class ClientCancelled(NamedTuple):
    """The client has left."""

    request: int


class TimerFired(NamedTuple):
    """The delay of a `SetTimer` has passed."""

    token: int


class ProbeResult(NamedTuple):
    """The end of a health check."""

    endpoint: str
    result: AttemptResult
    elapsed: float
    """Seconds that it has taken."""
    report: Mapping[str, float] | None = None
    """As of an `Outcome`."""


class PeerMessage(NamedTuple):
    """Bytes from another proxy of the fleet."""

    sender: int
    """Index of its instance."""
    payload: bytes


Event = Union[
    EndpointList,
    Cordon,
    Request,
    BodyProgress,
    Outcome,
    FirstByte,
    ClientCancelled,
    TimerFired,
    ProbeResult,
    PeerMessage,
]
