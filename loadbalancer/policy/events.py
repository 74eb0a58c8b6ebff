"""Events that a proxy passes to its policy (`Balancer.handle`).

Durations are in seconds; points in time are in seconds on any monotonic clock.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Mapping, NamedTuple, Union


class AttemptResult(IntEnum):
    """How an attempt or a probe ended."""

    SERVED = 0
    """The endpoint answered."""
    ERROR = 1
    """The endpoint answered with an error."""
    FULL = 2
    """The endpoint rejected the attempt before running it because it had no capacity."""
    TIMEOUT = 3
    """No answer came within the attempt's timeout."""
    NO_CONNECTION = 4
    """The connection could not be made."""
    RESET = 5
    """The connection closed before the answer was complete."""
    CANCELLED = 6
    """The policy or the client cancelled the attempt."""
    NOT_SENT = 7
    """The attempt ended before any of its bytes was sent."""
    UNUSABLE = 8
    """The endpoint is healthy and rejects the request itself as invalid; reported on sockets only."""


#: Results that prove that the attempt never ran on its endpoint.
NEVER_RAN = frozenset((AttemptResult.FULL, AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT))


class EndpointState(IntEnum):
    """State of an endpoint in the endpoint list."""

    READY = 0
    """The endpoint accepts requests."""
    DRAINING = 1
    """The endpoint completes the requests it has and accepts no new ones."""
    GONE = 2
    """The endpoint no longer exists."""


#: A sticky session that any endpoint of a domain can serve names the domain after this prefix.
STICKY_DOMAIN_PREFIX = "@"


class EndpointEntry(NamedTuple):
    """One endpoint in an endpoint list."""

    endpoint: str
    """Name of the endpoint."""
    zone: int = 0
    cell: int = 0
    """A part of a zone."""
    kind: int = 0
    """Kind of machine; endpoints of one kind are about equally fast."""
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    """Size relative to the others."""
    started: float = 0.0
    """When its process started; 0 means long ago."""
    priority: int = 0
    """Endpoints of a priority get requests only while no endpoint with a lower number is available."""
    domain: str = ""
    """Endpoints of one domain share their sticky sessions."""
    redirect: str = ""
    """Target of its sessions while it is unavailable: an endpoint, or `STICKY_DOMAIN_PREFIX` and a domain."""


class EndpointList(NamedTuple):
    """The endpoint list, or a change to it."""

    entries: tuple[EndpointEntry, ...] = ()
    complete: bool = True
    """Whether endpoints that are missing from `entries` are gone."""
    failed: bool = False
    """The poll failed; the previous list stays in force."""
    stale: bool = False
    """The list dates from before a restart."""
    busy: bool = False
    """The poll failed after it had waited in the server's queue behind the polls of other proxies."""


class Cordon(NamedTuple):
    """An operator cordons an endpoint, whatever the endpoint list says, or uncordons it."""

    endpoint: str
    cordoned: bool
    """False uncordons the endpoint."""


class Request(NamedTuple):
    """A client's request, which must get exactly one final answer."""

    request: int
    """Number that identifies the request in later events and actions."""
    class_index: int
    """Index of its class in `PolicySettings.classes`."""
    time_remaining: float
    """Seconds until the client gives up."""
    tenant: int = 0
    """Index of its tenant in `PolicySettings.tenants`."""
    key: str | None = None
    """Idempotency key."""
    work_hint: float | None = None
    """Expected work, in seconds of a standard core."""
    retry: bool = False
    """The client marks the request as a retry."""
    write: bool = False
    """The request modifies state."""
    sticky_endpoint: str | None = None
    """Endpoint of its sticky session, or `STICKY_DOMAIN_PREFIX` and a domain."""
    body_pending: bool = False
    """The body is incomplete: until `BodyProgress` completes it no endpoint can start and no timeout runs."""
    sticky_required: bool = False
    """The session may not move: if `sticky_endpoint` is listed but unavailable, the request ends."""
    max_attempts: int = 0
    """Attempts that its route allows, within the settings' limit; 0 means that limit."""
    retry_on: frozenset[AttemptResult] | None = None
    """Results that its route allows to be retried; None means those of the settings."""


class Outcome(NamedTuple):
    """An attempt has ended."""

    request: int
    attempt: int
    """Its number among the request's attempts."""
    endpoint: str
    result: AttemptResult
    elapsed: float
    """Duration of the attempt in seconds."""
    request_ended: bool = False
    """The request has its final answer."""
    report: Mapping[str, float] | None = None
    """Metrics that the endpoint reports of itself, such as `utilization` from 0 to 1."""
    time_to_first_byte: float | None = None
    """Seconds to the head of the answer; None if none came."""
    lag: float = 0.0
    """Seconds of `time_to_first_byte`, or of `elapsed` if it is None, in which this process did not run."""

    @property
    def response_time(self) -> float:
        """Seconds that the endpoint took to the first byte, or to the end of the attempt if none came."""
        measured = self.elapsed if self.time_to_first_byte is None else self.time_to_first_byte
        return max(0.0, measured - self.lag) if self.lag else measured


class FirstByte(NamedTuple):
    """The answer of an attempt has begun and is being forwarded to the client."""

    request: int
    attempt: int
    """Its number among the request's attempts."""
    endpoint: str
    elapsed: float
    """Seconds since the attempt was sent."""


class BodyProgress(NamedTuple):
    """More of the body of a request with `body_pending` has arrived."""

    request: int
    complete: bool
    """The last byte has arrived; the request's timeouts run from now on."""
    replayable: bool
    """All of the body that has arrived is still buffered, so it can be sent again."""


class ClientCancelled(NamedTuple):
    """The client no longer waits for an answer."""

    request: int


class TimerFired(NamedTuple):
    """The delay of a `SetTimer` has passed."""

    token: int


class ProbeResult(NamedTuple):
    """A health check has ended."""

    endpoint: str
    result: AttemptResult
    elapsed: float
    """Duration of the health check in seconds."""
    report: Mapping[str, float] | None = None
    """Metrics that the endpoint reports of itself, as in `Outcome`."""


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
