"""Actions: what the policy asks of its proxy, carried out in the order in which they are returned."""

from __future__ import annotations

from typing import NamedTuple, Union


class Send(NamedTuple):
    """Start an attempt; attempts of a request are numbered from 0 in this order."""

    request: int
    endpoint: str
    timeout: float
    """Seconds after which the attempt is ended with `AttemptResult.TIMEOUT`."""


class Fail(NamedTuple):
    """Answer a request that nobody served, with no promise of whether it ran."""

    request: int


class Reject(NamedTuple):
    """Answer a request that nobody served, with the promise that sending it again is harmless."""

    request: int
    retry_after: float = 0.0
    """Seconds after which the client may return; 0 says nothing."""


class Cancel(NamedTuple):
    """End an attempt that is still out; its `Outcome` follows as for any other."""

    request: int
    attempt: int
    """Its number among the request's attempts."""


class SetTimer(NamedTuple):
    """Report `TimerFired` once, later."""

    token: int
    """Names the timer in the event."""
    delay: float
    """Seconds."""


class WatchEndpoints(NamedTuple):
    """Follow the endpoint list, or fetch it where it is not pushed."""

    enabled: bool = True
    """False ends the watch."""


class FetchEndpoints(NamedTuple):
    """Fetch the endpoint list once."""


class ProbeEndpoint(NamedTuple):
    """Send an endpoint a health check; a `ProbeResult` follows."""

    endpoint: str


class CloseIdleConnections(NamedTuple):
    """Close the connections to an endpoint that carry no attempt."""

    endpoint: str


class SendPeerMessage(NamedTuple):
    """Send bytes to another proxy of the fleet."""

    to: int
    """Index of its instance."""
    payload: bytes


class LogMessage(NamedTuple):
    """Write a line to the proxy's log."""

    text: str


Action = Union[
    Send,
    Fail,
    Reject,
    Cancel,
    SetTimer,
    WatchEndpoints,
    FetchEndpoints,
    ProbeEndpoint,
    CloseIdleConnections,
    SendPeerMessage,
    LogMessage,
]
