"""Actions: what the policy asks of its proxy, carried out in the order in which they are returned."""

from __future__ import annotations

from typing import NamedTuple, Union


class Send(NamedTuple):
    """Start an attempt; attempts of a request are numbered from 0 in this order."""

    request: int
    endpoint: str
    timeout: float


class Fail(NamedTuple):
    request: int


class Reject(NamedTuple):
    request: int
    retry_after: float = 0.0


class Cancel(NamedTuple):
    request: int
    attempt: int


class SetTimer(NamedTuple):
    token: int
    delay: float


class WatchEndpoints(NamedTuple):
    enabled: bool = True


class FetchEndpoints(NamedTuple):
    pass


class ProbeEndpoint(NamedTuple):
    endpoint: str


class CloseIdleConnections(NamedTuple):
    endpoint: str


class SendPeerMessage(NamedTuple):
    to: int
    payload: bytes


class LogMessage(NamedTuple):
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
