"""Events that a Paxos replica handles. Each is passed to `PaxosReplica.handle` with the time at which it occurred."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from loadbalancer.fleet.replication.commands import Command
from loadbalancer.fleet.replication.messages import ReplicationMessage


@dataclass(frozen=True, slots=True)
class Propose:
    """Get a command decided.

    Attributes:
        command: The command; its identifier is unique in the fleet.
        expires_at: When the proposal times out, in seconds on the replica's clock.
        expected_version: The version that the command has to follow directly; negative for any.
    """

    command: Command
    expires_at: float
    expected_version: int = -1

    def may_follow(self, version: int) -> bool:
        """Return whether the command may be applied directly after this version."""
        return self.expected_version < 0 or self.expected_version == version


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message was received from another instance, or from this one itself."""

    sender: str
    message: ReplicationMessage


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time of `PaxosReplica.next_timer` is reached or passed.

    Attributes:
        live_members: Names that are alive in the membership view, without this instance's.
    """

    live_members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CommandsReceived:
    """Decided commands were received in order from a state transfer.

    Attributes:
        first_version: The version that the first command produces.
        commands: The commands of this and the following versions.
    """

    first_version: int
    commands: tuple[Command, ...]


@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """A snapshot was received from a state transfer, and its digest was verified."""

    data: bytes


@dataclass(frozen=True, slots=True)
class StoreAdmitted:
    """The admission that `AdmitStore` requested is on disk."""


Event = Union[Propose, MessageReceived, TimerExpired, CommandsReceived, SnapshotReceived, StoreAdmitted]
