"""What happens to a view, and what it wants done."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from loadbalancer.fleet.membership.member_state import Fact
from loadbalancer.fleet.settings import Address
from loadbalancer.fleet.wire import Message, Packet


@dataclass(frozen=True, slots=True)
class Arrived:
    """A message that a key of the fleet has sealed, and that has not come before."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has come to `due`. All that had arrived by then was handed in before."""


@dataclass(frozen=True, slots=True)
class Leave:
    """The process ends, and says so."""


@dataclass(frozen=True, slots=True)
class Passed:
    """Another process has taken this one's place."""


@dataclass(frozen=True, slots=True)
class Tell:
    """Send one datagram. `to`: the receiver's life, 0 for any."""

    address: Address
    to: int
    message: Message
    facts: tuple[Fact, ...]


@dataclass(frozen=True, slots=True)
class Exchange:
    """Give all that is known to one peer over TCP, in pieces, and hear all of its."""

    name: str
    boot: int
    address: Address


@dataclass(frozen=True, slots=True)
class Noted:
    """For the log."""

    kind: str
    text: str


Event = Union[Arrived, Tick, Leave, Passed]
Action = Union[Tell, Exchange, Noted]
