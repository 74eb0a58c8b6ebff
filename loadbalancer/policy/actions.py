"""Actions: what the policy asks of its proxy, carried out in the order in which they are returned."""

from __future__ import annotations

from typing import NamedTuple, Union


class Send(NamedTuple):
    """Start an attempt; attempts of a request are numbered from 0 in this order."""

    request: int
    server: str
    timeout: float


class Fail(NamedTuple):
    request: int


class Refuse(NamedTuple):
    request: int
    retry_after: float = 0.0


class Cancel(NamedTuple):
    request: int
    attempt: int


class SetTimer(NamedTuple):
    token: int
    after: float


class Watch(NamedTuple):
    on: bool = True


class Fetch(NamedTuple):
    pass


class Probe(NamedTuple):
    server: str


class CloseIdle(NamedTuple):
    server: str


class Message(NamedTuple):
    to: int
    payload: bytes


class Log(NamedTuple):
    text: str


Action = Union[Send, Fail, Refuse, Cancel, SetTimer, Watch, Fetch, Probe, CloseIdle, Message, Log]
