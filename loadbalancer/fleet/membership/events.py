"""What happens to a view, and what it wants done."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from loadbalancer.fleet.membership.member_state import MemberState
from loadbalancer.fleet.settings import Address
from loadbalancer.fleet.wire import Message, Packet


@dataclass(frozen=True, slots=True)
class PacketReceived:
    """A message that a key of the fleet has sealed, and that has not come before."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Time has come to `due`. All that had arrived by then was handed in before."""


@dataclass(frozen=True, slots=True)
class Leave:
    """The process ends, and says so."""


@dataclass(frozen=True, slots=True)
class ProcessReplaced:
    """Another process has taken this one's place."""


@dataclass(frozen=True, slots=True)
class SendPacket:
    """Send one datagram. `to`: the receiver's life, 0 for any."""

    address: Address
    receiver_boot: int
    message: Message
    member_states: tuple[MemberState, ...]


@dataclass(frozen=True, slots=True)
class SynchronizeState:
    """Give all that is known to one peer over TCP, in pieces, and hear all of its."""

    name: str
    boot: int
    address: Address


@dataclass(frozen=True, slots=True)
class MembershipNotice:
    """For the log."""

    event: str
    text: str


Event = Union[PacketReceived, TimerExpired, Leave, ProcessReplaced]
Action = Union[SendPacket, SynchronizeState, MembershipNotice]
