"""The messages between replicas, and the records that a voter persists.

Messages are arrays with an integer tag for the kind: fields are only ever appended, and a tag is never reused.
"""

from __future__ import annotations

from typing import Annotated, Union

from msgspec import Meta, Struct

from loadbalancer.fleet.replication.commands import Command

Number = Annotated[int, Meta(ge=0, lt=1 << 40)]
#: Maximum length of a proposer's identity in a ballot, in characters.
MAX_PROPOSER_ID_LENGTH = 48
#: The round's number and the identity of the proposer's process, so that each ballot is used for one round only.
#: Ballots are compared in this order. Older builds without identities write the proposer's name instead.
Ballot = tuple[Number, Annotated[str, Meta(max_length=MAX_PROPOSER_ID_LENGTH)]]
#: Lower than every ballot: nothing was promised or accepted.
NO_BALLOT: Ballot = (0, "")


class Prepare(Struct, frozen=True, array_like=True, tag=20):
    """Ask an acceptor to promise that it accepts nothing under a lower ballot for the slot."""

    slot: Number
    ballot: Ballot


class Promise(Struct, frozen=True, array_like=True, tag=21):
    """An acceptor's reply to `Prepare`.

    Attributes:
        slot: As in the request.
        ballot: As in the request.
        ok: Whether it promises.
        blocking_ballot: The highest ballot that it has promised; if `ok` is false, the reason for the rejection.
        accepted: The ballot of the command that it has accepted; `NO_BALLOT` for none.
        command: That command.
    """

    slot: Number
    ballot: Ballot
    ok: bool
    blocking_ballot: Ballot
    accepted: Ballot
    command: Command | None


class Accept(Struct, frozen=True, array_like=True, tag=22):
    """Ask an acceptor to accept a command for the slot."""

    slot: Number
    ballot: Ballot
    command: Command


class Accepted(Struct, frozen=True, array_like=True, tag=23):
    """An acceptor's reply to `Accept`.

    Attributes:
        slot: As in the request.
        ballot: As in the request.
        ok: Whether it has accepted; then the command is on its disk.
        blocking_ballot: The highest ballot that it has promised.
        leaseholders: Instances that may still act on older versions under this voter's grants.
        has_more: Whether there may be other leaseholders.
    """

    slot: Number
    ballot: Ballot
    ok: bool
    blocking_ballot: Ballot
    leaseholders: tuple[Annotated[str, Meta(max_length=48)], ...] = ()
    has_more: bool = False


class Decided(Struct, frozen=True, array_like=True, tag=24):
    """Announces the command that is decided for the slot `version`."""

    version: Number
    command: Command


class VersionAnnouncement(Struct, frozen=True, array_like=True, tag=25):
    """Announces the version that the sender acts on.

    Attributes:
        version: Number of commands applied.
        metadata: What the sender reports about itself; informational.
    """

    version: Number
    metadata: dict[Annotated[str, Meta(max_length=64)], Annotated[str, Meta(max_length=64)]] = {}


class LeaseRequest(Struct, frozen=True, array_like=True, tag=26):
    """Ask a voter for the lease.

    Attributes:
        number: Number of the request; the grant carries it.
        version: The version that the sender acts on.
    """

    number: Number
    version: Number


class LeaseGrant(Struct, frozen=True, array_like=True, tag=27):
    """A voter's grant of the lease.

    Attributes:
        number: Number of the request.
        highest_known_version: The highest version that the voter knows of, decided or only accepted.
        clock: The voter's clock, in seconds.
    """

    number: Number
    highest_known_version: Number
    clock: float


class VoterGreeting(Struct, frozen=True, array_like=True, tag=28):
    """Asks a voter to confirm the store that holds the sender's votes.

    Attributes:
        store: Identity of the store.
        generation: Count of openings of the store, with random low bits drawn at each opening.
    """

    store: Annotated[str, Meta(max_length=40)]
    generation: Number


class FoundingGreeting(Struct, frozen=True, array_like=True, tag=35):
    """Asks a voter to admit the sender's new store as one of those that the fleet is founded with.

    Builds that do not know this message drop it, so the sender waits until they are replaced. The reply is
    `VoterGreetingReply`.

    Attributes:
        store: As in `VoterGreeting`.
        generation: As in `VoterGreeting`.
    """

    store: Annotated[str, Meta(max_length=40)]
    generation: Number


class VoterGreetingReply(Struct, frozen=True, array_like=True, tag=29):
    """A voter's reply to `VoterGreeting` or `FoundingGreeting`.

    Attributes:
        store: As in the greeting.
        generation: As in the greeting.
        ok: Whether the voter has no objection to votes from that store.
        reason: The objection; empty if `ok` is true.
    """

    store: Annotated[str, Meta(max_length=40)]
    generation: Number
    ok: bool
    reason: Annotated[str, Meta(max_length=200)] = ""


class StateRequest(Struct, frozen=True, array_like=True, tag=30):
    """Request a state transfer: all commands after `version`, or a snapshot if those are not retained any more.

    Attributes:
        version: The version that the sender acts on.
        digest: Digest of the snapshot that was received in part; empty for none.
        offset: Number of its bytes that were received.
    """

    version: Number
    digest: Annotated[str, Meta(max_length=64)] = ""
    offset: Number = 0


class LogEntries(Struct, frozen=True, array_like=True, tag=31):
    """Decided commands in order.

    Attributes:
        first_version: The version that the first of them produces.
        commands: The commands.
        is_last: Whether this is the last message of the transfer.
    """

    first_version: Number
    commands: tuple[Command, ...]
    is_last: bool


class SnapshotChunk(Struct, frozen=True, array_like=True, tag=32):
    """A chunk of a snapshot.

    Attributes:
        version: The version of the snapshot.
        digest: Digest of the whole snapshot.
        offset: Position of `data` in it, in bytes.
        size: Size of the whole snapshot, in bytes.
        data: The bytes of this chunk.
    """

    version: Number
    digest: Annotated[str, Meta(max_length=64)]
    offset: Number
    size: Annotated[int, Meta(ge=0, le=1 << 28)]
    data: bytes


class QueryRequest(Struct, frozen=True, array_like=True, tag=33):
    """Query the receiver on behalf of an operator; `path` is a path of the administrative API."""

    path: Annotated[str, Meta(max_length=200)]


class QueryResponse(Struct, frozen=True, array_like=True, tag=34):
    """The response to `QueryRequest`, or a part of it, as JSON bytes."""

    body: bytes


#: Messages of replicas and leases, which are sent as datagrams.
ReplicationMessage = Union[
    Prepare,
    Promise,
    Accept,
    Accepted,
    Decided,
    VersionAnnouncement,
    LeaseRequest,
    LeaseGrant,
    VoterGreeting,
    VoterGreetingReply,
    FoundingGreeting,
]
#: Messages that are sent over a dedicated connection.
StreamMessage = Union[StateRequest, LogEntries, SnapshotChunk, QueryRequest, QueryResponse]


class AcceptorState(Struct, array_like=True):
    """The record that a voter persists for the slot that it votes on before it replies.

    Attributes:
        slot: The version after the last that was applied.
        promised: The ballot below which nothing is accepted.
        accepted: The ballot of `command`; `NO_BALLOT` for none.
        command: The accepted command.
    """

    slot: int
    promised: Ballot
    accepted: Ballot
    command: Command | None


class ObservedStore(Struct, array_like=True):
    """The store that a voter was observed with.

    Attributes:
        store: Identity of the store.
        generation: The generation of its latest observed opening; 0 before the first.
    """

    store: str
    generation: int
