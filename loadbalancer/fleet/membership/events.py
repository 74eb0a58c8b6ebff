"""What happens to a membership view (events), and what it wants done (actions)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from loadbalancer.fleet.member_state import MemberState
from loadbalancer.fleet.settings import Address
from loadbalancer.fleet.wire import Message, Packet


@dataclass(frozen=True, slots=True)
class PacketReceived:
    """A message has arrived.

    Attributes:
        packet: Sealed with a key of the fleet, and not a replay of an earlier one.
    """

    packet: Packet


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time `next_timer` has come. All packets that had arrived by then were handed in before."""


@dataclass(frozen=True, slots=True)
class Leave:
    """This process ends; the others are to be told."""


@dataclass(frozen=True, slots=True)
class ProcessReplaced:
    """A successor has taken this process's place (hot restart), and announces itself."""


@dataclass(frozen=True, slots=True)
class SendPacket:
    """Send one datagram.

    Attributes:
        address: The receiver's host and port.
        receiver_boot: Boot id of the process that it is meant for, 0 for whichever is there.
        message: What to send.
        member_states: Member states that go along with it.
    """

    address: Address
    receiver_boot: int
    message: Message
    member_states: tuple[MemberState, ...]


@dataclass(frozen=True, slots=True)
class SynchronizeState:
    """Exchange the whole member tables with one peer over TCP.

    Attributes:
        name: The peer's name.
        boot: Boot id of its process.
        address: Its host and port.
    """

    name: str
    boot: int
    address: Address


@dataclass(frozen=True, slots=True)
class MembershipNotice:
    """Write a line to the log.

    Attributes:
        event: Stable name of what has happened.
        text: Details.
    """

    event: str
    text: str


Event = Union[PacketReceived, TimerExpired, Leave, ProcessReplaced]
Action = Union[SendPacket, SynchronizeState, MembershipNotice]
