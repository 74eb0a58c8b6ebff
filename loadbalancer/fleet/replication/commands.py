"""Commands: the entries of the replicated log, their kinds and their MessagePack bodies."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Mapping, Union

import msgspec
from msgspec import Meta, Struct

from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.orchestration.rollout import PlanBody, StageBody
from loadbalancer.fleet.replication.errors import StateError
from loadbalancer.routing.traffic_migration import Migration

#: Maximum size of a command's body in bytes, so that a message with the command fits into a datagram.
MAX_BODY_BYTES = 800

Text = Annotated[str, Meta(max_length=200)]
Name = Annotated[str, Meta(min_length=1, max_length=48)]


class CommandKind(StrEnum):
    """The kinds of commands that this build knows; the values are on the wire and in the store."""

    MARK = "mark"
    MOVE = "move"
    FREEZE = "freeze"
    ROSTER = "roster"
    RECOVER = "recover"
    PLAN = "plan"
    STAGE = "stage"
    NO_OPERATION = "nothing"


class Command(Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes:
        id: Identifier, unique in the fleet; the proposer generates it.
        kind: A `CommandKind`, or a kind that only a later build knows.
        body: The body of this kind as MessagePack.
        by: Who has requested the command.
        reason: The reason given with the request; informational.
        at: Unix time at the proposer; informational.
    """

    id: Annotated[str, Meta(max_length=80)]
    kind: Annotated[str, Meta(max_length=16)]
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]
    by: Text = ""
    reason: Text = ""
    at: float = 0.0


class OverrideBody(Struct, frozen=True, array_like=True):
    """Set or lift administrative overrides of a pool's endpoints.

    Attributes:
        pool: The pool.
        overrides: Override by endpoint; None lifts the override.
        duration: Seconds until they expire, counted by each instance from when it applies the command; 0 for never.
        expected_version: Change only overrides that this version has set; 0 changes them unconditionally.
    """

    pool: Text
    overrides: dict[str, AdminOverride | None]
    duration: float = 0.0
    expected_version: int = 0


class MigrationBody(Struct, frozen=True, array_like=True):
    """Start or end the traffic migration of a pool; the other attributes are those of `OverrideBody`.

    Attributes:
        migration: The migration to start; None ends the current one.
    """

    pool: Text
    migration: Migration | None
    duration: float = 0.0
    expected_version: int = 0


class FreezeBody(Struct, frozen=True, array_like=True):
    """Freeze a pool's endpoint list, or unfreeze it, so that it follows its discovery source again."""

    pool: Text
    frozen: bool


class VoterBody(Struct, frozen=True, array_like=True):
    """Register a voter's store, or remove the voter.

    Attributes:
        name: The voter.
        store: The store that holds its votes from now on; empty removes the voter.
    """

    name: Name
    store: Annotated[str, Meta(max_length=40)]


class RecoverBody(Struct, frozen=True, array_like=True):
    """Replace all voters after a majority was lost for good.

    Attributes:
        voters: Store identity by voter; empty accepts the first store that the voter presents.
    """

    voters: dict[str, str]


CommandBody = Union[OverrideBody, MigrationBody, FreezeBody, VoterBody, RecoverBody, PlanBody, StageBody]

BODY_TYPES: Mapping[str, type[CommandBody]] = {
    CommandKind.MARK: OverrideBody,
    CommandKind.MOVE: MigrationBody,
    CommandKind.FREEZE: FreezeBody,
    CommandKind.ROSTER: VoterBody,
    CommandKind.RECOVER: RecoverBody,
    CommandKind.PLAN: PlanBody,
    CommandKind.STAGE: StageBody,
}

#: Proposed to finish an open slot if no accepted command is found and this instance has none to propose.
NO_OPERATION = Command("", CommandKind.NO_OPERATION.value, b"")


def read_body(command: Command) -> CommandBody | None:
    """Decode a command's body; return None for `NO_OPERATION`, which has none.

    Raises:
        StateError: This build does not know the kind, or can't decode the body.
    """
    if command.kind == CommandKind.NO_OPERATION:
        return None
    body_type = BODY_TYPES.get(command.kind)
    if body_type is None:
        raise StateError(f"a change of kind {command.kind!r}, which this build does not know")
    try:
        return msgspec.msgpack.decode(command.body, type=body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise StateError(f"a change that can't be read: {error}") from None


def write_body(body: Struct) -> bytes:
    """Encode a command's body.

    Raises:
        StateError: The encoded body is longer than MAX_BODY_BYTES.
    """
    data = msgspec.msgpack.encode(body)
    if len(data) > MAX_BODY_BYTES:
        raise StateError(
            f"{len(data)} bytes in one change; at most {MAX_BODY_BYTES}: name fewer members, or say less"
        )
    return data
