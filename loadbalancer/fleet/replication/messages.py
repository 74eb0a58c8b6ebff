"""The messages and records by which instances agree on the next change."""

from __future__ import annotations

from typing import Annotated, Union

from msgspec import Meta, Struct

from loadbalancer.fleet.replication.replicated_state import Command

Number = Annotated[int, Meta(ge=0, lt=1 << 40)]
#: The round, and who asks in it: no two proposers share a ballot.
Ballot = tuple[Number, Annotated[str, Meta(max_length=48)]]
NO_BALLOT: Ballot = (0, "")


class Prepare(Struct, frozen=True, array_like=True, tag=20):
    """Who holds something for version `slot`? Nothing under a lesser ballot shall be taken for it any more."""

    slot: Number
    ballot: Ballot


class Promise(Struct, frozen=True, array_like=True, tag=21):
    """`ok`: nothing under a lesser one will be taken; else `held` is the ballot that stands in the way."""

    slot: Number
    ballot: Ballot
    ok: bool
    blocking_ballot: Ballot
    accepted: Ballot
    command: Command | None


class Accept(Struct, frozen=True, array_like=True, tag=22):
    slot: Number
    ballot: Ballot
    command: Command


class Accepted(Struct, frozen=True, array_like=True, tag=23):
    """`ok`: it is kept on disk. `lessees`: who may act on older versions for a while yet, by this voter's word;
    `more`: it has others that do not fit here."""

    slot: Number
    ballot: Ballot
    ok: bool
    blocking_ballot: Ballot
    leaseholders: tuple[Annotated[str, Meta(max_length=48)], ...] = ()
    has_more: bool = False


class Decided(Struct, frozen=True, array_like=True, tag=24):
    version: Number
    command: Command


class VersionAnnouncement(Struct, frozen=True, array_like=True, tag=25):
    """This instance acts on this version. `card`: what else it runs under, for people."""

    version: Number
    metadata: dict[Annotated[str, Meta(max_length=64)], Annotated[str, Meta(max_length=64)]] = {}


class LeaseRequest(Struct, frozen=True, array_like=True, tag=26):
    """May I go on?"""

    number: Number
    version: Number


class LeaseGrant(Struct, frozen=True, array_like=True, tag=27):
    """`top`: the greatest version that this voter knows of, also one that is not decided yet."""

    number: Number
    highest_known_version: Number
    clock: float


class VoterGreeting(Struct, frozen=True, array_like=True, tag=28):
    """This is where my votes are kept. `generation`: how often that store was opened."""

    store: Annotated[str, Meta(max_length=40)]
    generation: Number


class VoterGreetingReply(Struct, frozen=True, array_like=True, tag=29):
    """`ok`: nothing is known that speaks against it; else `why`."""

    store: Annotated[str, Meta(max_length=40)]
    generation: Number
    ok: bool
    reason: Annotated[str, Meta(max_length=200)] = ""


class StateRequest(Struct, frozen=True, array_like=True, tag=30):
    """All changes past `version`; or, where those are not held any more, the state. `digest` and `offset`: a state of
    which so much has come already."""

    version: Number
    digest: Annotated[str, Meta(max_length=64)] = ""
    offset: Number = 0


class LogEntries(Struct, frozen=True, array_like=True, tag=31):
    """Changes in order, the first that of version `first`. `last`: nothing follows."""

    first_version: Number
    commands: tuple[Command, ...]
    is_last: bool


class SnapshotChunk(Struct, frozen=True, array_like=True, tag=32):
    """Bytes of a whole state from `offset` on, of `size` in all."""

    version: Number
    digest: Annotated[str, Meta(max_length=64)]
    offset: Number
    size: Annotated[int, Meta(ge=0, le=1 << 28)]
    data: bytes


class QueryRequest(Struct, frozen=True, array_like=True, tag=33):
    """What operators want to read of this instance, from another; `what` as operators' calls have it."""

    path: Annotated[str, Meta(max_length=200)]


class QueryResponse(Struct, frozen=True, array_like=True, tag=34):
    """JSON."""

    body: bytes


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
]
StreamMessage = Union[StateRequest, LogEntries, SnapshotChunk, QueryRequest, QueryResponse]


class AcceptorState(Struct, array_like=True):
    """What a voter keeps on disk for the next version before it answers."""

    slot: int
    promised: Ballot
    accepted: Ballot
    command: Command | None


class ObservedStore(Struct, array_like=True):
    """A voter's store as another one has met it."""

    store: str
    generation: int
