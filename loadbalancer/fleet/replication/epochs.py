"""Epochs: when each version was in effect at an instance, and a merged report over several instances."""

from __future__ import annotations

from typing import Any, Mapping, Sequence, TypedDict

from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.orchestration.rollout import PlanBody, StageBody
from loadbalancer.fleet.replication.commands import (
    Command,
    FreezeBody,
    MigrationBody,
    OverrideBody,
    RecoverBody,
    VoterBody,
    read_body,
)
from loadbalancer.fleet.replication.errors import StateError

#: Descriptions of a version whose command is unknown: it was restored from the store, or came with a snapshot.
RESTORED_FROM_STORE = "as kept"
FROM_SNAPSHOT = "the whole state"
#: Fields that are reported for each instance besides its epochs.
INSTANCE_KEYS = (
    "instance",
    "version",
    "known",
    "behind",
    "why",
    "shut_out",
    "lease_s",
    "votes",
    "lost_state",
    "card",
)


class EpochRow(TypedDict):
    """An epoch as shown to operators; times are Unix times."""

    version: int
    what: str
    by: str
    taken_at: float
    sends: int
    last_send_at: float | None


class VersionRow(TypedDict):
    """A version in the merged report.

    Attributes:
        version: The version.
        what: Description of the command that has produced it.
        by: Who has requested the command.
        taken_up: By instance, the Unix time at which it applied the command.
        last_before: By instance, the Unix time of its last send under the previous version.
    """

    version: int
    what: str
    by: str
    taken_up: dict[str, float]
    last_before: dict[str, float]


class MergedReport(TypedDict):
    """The epochs of all instances, by version.

    Attributes:
        versions: Sorted by version.
        instances: The `INSTANCE_KEYS` of each instance, without its epochs.
        not_known: Instances that could not be queried.
    """

    versions: list[VersionRow]
    instances: list[dict[str, Any]]
    not_known: list[str]


class Epoch:
    """The period during which one version was in effect at this instance.

    Attributes:
        version: The version.
        what: One-line description of the command that has produced it.
        by: Who has requested the command.
        applied_at: When it was applied, in seconds on the lease's clock.
        sends: Number of attempts sent under it.
        last_send_at: When the last of them was sent, in seconds on the lease's clock; 0 for none.
    """

    __slots__ = ("applied_at", "by", "last_send_at", "sends", "version", "what")

    def __init__(self, version: int, what: str, by: str, applied_at: float) -> None:
        self.version = version
        self.what = what
        self.by = by
        self.applied_at = applied_at
        self.sends = 0
        self.last_send_at = 0.0

    def row(self, clock_origin: float) -> dict[str, Any]:
        """Return the epoch as an `EpochRow`.

        Args:
            clock_origin: The Unix time at 0 of the lease's clock.
        """
        row: EpochRow = {
            "version": self.version,
            "what": self.what,
            "by": self.by,
            "taken_at": round(clock_origin + self.applied_at, 3),
            "sends": self.sends,
            "last_send_at": round(clock_origin + self.last_send_at, 3) if self.last_send_at else None,
        }
        return dict(row)


def describe(command: Command) -> str:
    """Return a one-line description of a command for operators."""
    try:
        body = read_body(command)
    except StateError as error:
        return str(error)
    match body:
        case OverrideBody():
            overrides = (f"{name} {_describe_override(item)}" for name, item in body.overrides.items())
            return f"{body.pool}: {', '.join(overrides)}"
        case MigrationBody():
            return f"{body.pool}: {_describe_migration(body)}"
        case FreezeBody():
            return f"{body.pool}: {'frozen' if body.frozen else 'thawed'}"
        case VoterBody():
            return f"roster: {body.name} {'votes' if body.store else 'votes no more'}"
        case PlanBody():
            return f"roll-out {body.id} of {body.digest[:8]}"
        case StageBody():
            return f"roll-out {body.id}: {body.frm} to {body.to}" + (f", {body.why}" if body.why else "")
        case RecoverBody():
            return f"recovered: {', '.join(sorted(body.voters))} vote"
    return "nothing"


def _describe_override(override: AdminOverride | None) -> str:
    if override is None:
        return "lifted"
    if override.word:
        return override.word
    return f"weight {override.weight:g}" if override.weight is not None else "added"


def _describe_migration(body: MigrationBody) -> str:
    if body.migration is None:
        return "move ended"
    return f"{body.migration.share:g} to {body.migration.other}"


def merge(instances: Sequence[Mapping[str, Any]], unknown: Sequence[str]) -> MergedReport:
    """Merge the reports of several instances, as decoded from JSON.

    Args:
        instances: For each, its `INSTANCE_KEYS` and its epochs as `EpochRow`s, oldest first.
        unknown: Instances that could not be queried.

    Returns:
        For each version, when each instance applied it, and when each last acted on the previous one.
    """
    versions: dict[int, VersionRow] = {}
    for instance in instances:
        _merge_epochs(versions, instance["instance"], instance["epochs"])
    return {
        "versions": [versions[number] for number in sorted(versions)],
        "instances": [{key: instance.get(key) for key in INSTANCE_KEYS} for instance in instances],
        "not_known": list(unknown),
    }


def _merge_epochs(versions: dict[int, VersionRow], name: str, epochs: Sequence[EpochRow]) -> None:
    previous: EpochRow | None = None
    for epoch in epochs:
        number = epoch["version"]
        row = versions.get(number)
        if row is None:
            row = versions[number] = {
                "version": number,
                "what": epoch["what"],
                "by": epoch["by"],
                "taken_up": {},
                "last_before": {},
            }
        if row["what"] in (RESTORED_FROM_STORE, FROM_SNAPSHOT):  # another instance may have seen the command
            row["what"] = epoch["what"]
            row["by"] = epoch["by"]
        row["taken_up"][name] = epoch["taken_at"]
        if previous is not None and previous["last_send_at"] is not None:
            row["last_before"][name] = previous["last_send_at"]
        previous = epoch
