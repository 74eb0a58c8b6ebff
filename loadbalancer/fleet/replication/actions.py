"""Actions that a Paxos replica returns. The caller executes them in the order in which they are returned."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Union

from loadbalancer.fleet.replication.commands import Command
from loadbalancer.fleet.replication.messages import AcceptorState, ObservedStore, ReplicationMessage
from loadbalancer.fleet.replication.replicated_state import TouchedItem


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to the instance of this name; delivery is not guaranteed."""

    to: str
    message: ReplicationMessage


class VoterStore(NamedTuple):
    """The store that a voter was observed with."""

    voter: str
    store: ObservedStore


@dataclass(frozen=True, slots=True)
class Persist:
    """Write to disk, then send the messages that depend on the write.

    Attributes:
        acceptor_state: The new acceptor state; None leaves the stored one unchanged.
        observed_store: A voter's store to record; None leaves the stored records unchanged.
        then_send: Messages that may be sent only once the above is on disk.
    """

    acceptor_state: AcceptorState | None
    observed_store: VoterStore | None
    then_send: tuple[SendMessage, ...]


@dataclass(frozen=True, slots=True)
class AdmitStore:
    """Write to disk that this instance's store is admitted, and pass `StoreAdmitted` to the replica afterwards."""


@dataclass(frozen=True, slots=True)
class CommandApplied:
    """A decided command was applied to the replicated state; the caller persists it.

    Attributes:
        version: The version that the command has produced.
        command: The command.
        touched: The items of the replicated state that it has changed.
    """

    version: int
    command: Command
    touched: tuple[TouchedItem, ...]


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """The whole replicated state was replaced by a snapshot; the caller puts it into effect and persists it."""


@dataclass(frozen=True, slots=True)
class RequestStateTransfer:
    """Request the missing commands, or a snapshot, from the instance named `source`."""

    source: str


@dataclass(frozen=True, slots=True)
class CommandCompleted:
    """The outcome of a command that this instance has proposed.

    Attributes:
        command_id: The command's identifier.
        version: The version that it has produced; 0 if it was not decided, or its outcome is unknown.
        reason: Why `version` is 0.
        leaseholders: Instances that may still act on older versions; None if they are unknown.
    """

    command_id: str
    version: int
    reason: str = ""
    leaseholders: frozenset[str] | None = None


Action = Union[
    SendMessage,
    Persist,
    AdmitStore,
    CommandApplied,
    SnapshotInstalled,
    RequestStateTransfer,
    CommandCompleted,
]
