"""The inputs of a membership view (events) and its outputs (actions)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from loadbalancer.fleet.member_state import MemberState
from loadbalancer.fleet.settings import Address
from loadbalancer.fleet.wire import Message, Packet


@dataclass(frozen=True, slots=True)
class PacketReceived:
    """A packet was received.

    Attributes:
        packet: A packet that was sealed with a key of the fleet and is not a replay.
    """

    packet: Packet


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time `next_timer` was reached. All packets received by then have been handled before this event."""


@dataclass(frozen=True, slots=True)
class Leave:
    """This process is shutting down and has to announce that it leaves the fleet."""


@dataclass(frozen=True, slots=True)
class ProcessReplaced:
    """A successor process has replaced this one (hot restart) and announces itself."""


@dataclass(frozen=True, slots=True)
class SendPacket:
    """Send one datagram.

    Attributes:
        address: The receiver's host and port.
        receiver_boot: Boot id of the receiving process, 0 for any process at the address.
        message: What to send.
        member_states: Member states that are piggybacked on the message.
    """

    address: Address
    receiver_boot: int
    message: Message
    member_states: tuple[MemberState, ...]


@dataclass(frozen=True, slots=True)
class SynchronizeState:
    """Exchange whole member tables with one peer over TCP.

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
        event: Stable name of the event.
        text: Details.
    """

    event: str
    text: str


Event = Union[PacketReceived, TimerExpired, Leave, ProcessReplaced]
Action = Union[SendPacket, SynchronizeState, MembershipNotice]
