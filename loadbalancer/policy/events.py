"""Events: what a proxy tells its policy (`Balancer.handle`).

Times are in seconds on any clock that only advances.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Mapping, NamedTuple, Union


class AttemptResult(IntEnum):
    """How an attempt or a probe ended."""

    SERVED = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    NO_CONNECTION = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7
    UNUSABLE = 8  # the server is well and finds the request itself wrong; on sockets only


#: Results that prove that the attempt never ran on its server.
NEVER_RAN = frozenset((AttemptResult.FULL, AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT))


class EndpointState(IntEnum):
    READY = 0
    DRAINING = 1
    GONE = 2


#: A sticky session that is with any server of a domain names it so.
STICKY_DOMAIN_PREFIX = "@"


class EndpointEntry(NamedTuple):
    endpoint: str
    zone: int = 0
    cell: int = 0
    kind: int = 0
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    started: float = 0.0  # 0: long ago
    priority: int = 0  # of its set: one serves while no lower one has a usable server
    domain: str = ""  # servers of one domain share their sticky sessions
    redirect: str = (
        ""  # where its sessions go while it is not usable: a server, or DOMAIN and a domain's name
    )


class EndpointList(NamedTuple):
    """A list, or a change to it. `failed`: the call failed, the list before stands; `busy`: after it
    had waited in line with others'."""

    entries: tuple[EndpointEntry, ...] = ()
    complete: bool = True
    failed: bool = False
    stale: bool = False  # what was held before a restart
    busy: bool = False


class Cordon(NamedTuple):
    """An operator leaves a server out, whatever lists say of it, or has it used again."""

    endpoint: str
    cordoned: bool


class Request(NamedTuple):
    request: int
    class_index: int
    time_remaining: float  # seconds until the client abandons this try
    tenant: int = 0
    key: str | None = None
    work_hint: float | None = None  # expected work in seconds of a standard core
    retry: bool = False
    write: bool = False
    sticky_endpoint: str | None = (
        None  # the server that a sticky session wants, or DOMAIN and the name of a domain
    )
    body_pending: bool = (
        False  # its body still comes: no server can begin, and no time counts, before `BodyProgress` says so
    )
    sticky_required: bool = (
        False  # its session may not move: where `member` is known and not usable, it is given up
    )
    max_attempts: int = 0  # attempts that its route allows, under the settings' limit; 0: as many as that
    retry_on: frozenset[AttemptResult] | None = (
        None  # ends of attempts after which its route lets another follow; None: as the settings have it
    )


class Outcome(NamedTuple):
    request: int
    attempt: int
    endpoint: str
    result: AttemptResult
    elapsed: float
    request_ended: bool = False  # the request has its final answer
    report: Mapping[str, float] | None = None
    time_to_first_byte: float | None = None

    @property
    def response_time(self) -> float:
        """Seconds to the first byte, or to the end of the attempt where none came."""
        return self.elapsed if self.time_to_first_byte is None else self.time_to_first_byte


class FirstByte(NamedTuple):
    request: int
    attempt: int
    endpoint: str
    elapsed: float


class BodyProgress(NamedTuple):
    """Of a request whose body came after it."""

    request: int
    complete: bool  # its last byte has come: now its times count
    replayable: bool  # all that has come is still kept, so it could be sent again


class ClientCancelled(NamedTuple):
    request: int


class TimerFired(NamedTuple):
    token: int


class ProbeResult(NamedTuple):
    endpoint: str
    result: AttemptResult
    elapsed: float
    report: Mapping[str, float] | None = None


class PeerMessage(NamedTuple):
    sender: int
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
