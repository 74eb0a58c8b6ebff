"""Actions that the policy returns and the proxy carries out, in the order in which they are returned."""

from __future__ import annotations

from typing import NamedTuple, Union


class Send(NamedTuple):
    """Start an attempt. Attempts of a request are numbered from 0 in the order of their `Send` actions."""

    request: int
    endpoint: str
    timeout: float
    """Seconds after which the attempt is ended with `AttemptResult.TIMEOUT`."""


class Fail(NamedTuple):
    """Answer a request that no endpoint served, without saying whether it ran."""

    request: int


class Reject(NamedTuple):
    """Answer a request that no endpoint served, and promise that sending it again is harmless."""

    request: int
    retry_after: float = 0.0
    """Seconds after which the client may retry; 0 leaves the time unspecified."""


class Cancel(NamedTuple):
    """Cancel an open attempt; its `Outcome` follows as for any other attempt."""

    request: int
    attempt: int
    """Its number among the request's attempts."""


class SetTimer(NamedTuple):
    """Report `TimerFired` once, after a delay."""

    token: int
    """Identifies the timer in `TimerFired`."""
    delay: float
    """Seconds."""


class WatchEndpoints(NamedTuple):
    """Watch the endpoint list, or poll it if updates are not pushed."""

    enabled: bool = True
    """False ends the watch."""


class FetchEndpoints(NamedTuple):
    """Fetch the endpoint list once."""


class ProbeEndpoint(NamedTuple):
    """Send a health check to an endpoint; a `ProbeResult` follows."""

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
