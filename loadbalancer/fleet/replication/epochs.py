"""Who acted on which version: what an instance notes of each that was in force there, and all notes merged. Pure."""

from __future__ import annotations

from typing import Any, Sequence

from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.orchestration.rollout import PlanBody, StageBody
from loadbalancer.fleet.replication.replicated_state import (
    Command,
    FreezeBody,
    MarkBody,
    MoveBody,
    RecoverBody,
    RosterBody,
    StateError,
    read_body,
)  # fmt: skip

#: What is noted of a version where the change that made it was not seen: kept from before, or taken with all others.
AS_KEPT, WHOLE = "as kept", "the whole state"


class Epoch:
    """One version in force here. `at`: Unix time when it was taken up. `sends`: attempts that left under it, `last`:
    when the last did, in seconds on the clock of the fence, 0 for none."""

    __slots__ = ("at", "by", "last", "sends", "version", "what")

    def __init__(self, version: int, what: str, by: str, at: float) -> None:
        self.version, self.what, self.by, self.at = version, what, by, at
        self.last, self.sends = 0.0, 0

    def row(self, epoch: float) -> dict[str, Any]:
        """`epoch`: Unix time at 0 of the fence's clock."""
        return {
            "version": self.version,
            "what": self.what,
            "by": self.by,
            "taken_at": round(self.at, 3),
            "sends": self.sends,
            "last_send_at": round(epoch + self.last, 3) if self.last else None,
        }


def describe(change: Command) -> str:
    """A change in a line."""
    try:
        body = read_body(change)
    except StateError as problem:
        return str(problem)
    if isinstance(body, MarkBody):
        return f"{body.pool}: " + ", ".join(f"{name} {_word(mark)}" for name, mark in body.overrides.items())
    if isinstance(body, MoveBody):
        move = (
            f"{body.migration.share:g} to {body.migration.other}"
            if body.migration is not None
            else "move ended"
        )
        return f"{body.pool}: {move}"
    if isinstance(body, FreezeBody):
        return f"{body.pool}: {'frozen' if body.frozen else 'thawed'}"
    if isinstance(body, RosterBody):
        return f"roster: {body.name} {'votes' if body.store else 'votes no more'}"
    if isinstance(body, PlanBody):
        return f"roll-out {body.id} of {body.digest[:8]}"
    if isinstance(body, StageBody):
        return f"roll-out {body.id}: {body.frm} to {body.to}" + (f", {body.why}" if body.why else "")
    if isinstance(body, RecoverBody):
        return f"recovered: {', '.join(sorted(body.voters))} vote"
    return "nothing"


def _word(mark: AdminOverride | None) -> str:
    if mark is None:
        return "lifted"
    return mark.word or (f"weight {mark.weight:g}" if mark.weight is not None else "added")


def merge(instances: Sequence[dict[str, Any]], unknown: Sequence[str]) -> dict[str, Any]:
    """For each version who took it up when, and when each last acted on the one before; `unknown` was not reached."""
    versions: dict[int, dict[str, Any]] = {}
    for one in instances:
        before: dict[str, Any] | None = None
        for epoch in one["epochs"]:
            number = epoch["version"]
            row = versions.setdefault(
                number,
                {
                    "version": number,
                    "what": epoch["what"],
                    "by": epoch["by"],
                    "taken_up": {},
                    "last_before": {},
                },
            )
            if row["what"] in (AS_KEPT, WHOLE):  # another may have seen the change
                row["what"], row["by"] = epoch["what"], epoch["by"]
            row["taken_up"][one["instance"]] = epoch["taken_at"]
            if before is not None and before["last_send_at"] is not None:
                row["last_before"][one["instance"]] = before["last_send_at"]
            before = epoch
    keys = (
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
    return {
        "versions": [versions[number] for number in sorted(versions)],
        "instances": [{key: one.get(key) for key in keys} for one in instances],
        "not_known": list(unknown),
    }
