"""Creates commands of the replicated log from operators' changes and from this instance's own decisions."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Callable, Iterable, NamedTuple

import msgspec

from loadbalancer.admin.calls import CallError, Change
from loadbalancer.daemon.components import ReplicatedOverrideTarget
from loadbalancer.daemon.rollout import RolloutService
from loadbalancer.fleet.orchestration.rollout import PlanBody, RolloutPlan, RolloutStage, StageBody
from loadbalancer.fleet.replication.commands import (
    Command,
    CommandKind,
    FreezeBody,
    MigrationBody,
    OverrideBody,
    RecoverBody,
    VoterBody,
    write_body,
)
from loadbalancer.fleet.replication.replicated_state import ReplicatedState

#: Seconds that each stage of a rollout serves before the next one, unless the operator sets another time.
DEFAULT_SOAK_S = 10.0
OVERRIDE_VERBS = ("drain", "cordon", "uncordon", "weight", "add", "remove")
MIGRATION_VERB = "move"
FREEZE_VERBS = ("freeze", "thaw")


class CommandContent(NamedTuple):
    """The kind and body of a command that has no identifier yet."""

    kind: str  # a value of CommandKind
    body: msgspec.Struct


class CommandNumbering:
    """Creates commands with identifiers that are unique across processes."""

    def __init__(self, prefix: str) -> None:
        """`prefix` combines the name of the instance and a random number of this process."""
        self._prefix = prefix
        self._count = 0

    def command(self, content: CommandContent, by: str, reason: str) -> Command:
        """Return a command with the next identifier.

        Raises:
            StateError: The body is too long.
        """
        self._count += 1
        identifier = f"{self._prefix}-{self._count}"
        return Command(identifier, content.kind, write_body(content.body), by, reason, time.time())


class ChangeTranslator:
    """Translates an operator's change request into the content of a command."""

    def __init__(
        self,
        name: str,
        state: ReplicatedState,
        overrides: ReplicatedOverrideTarget,
        rollout: RolloutService,
        store_id_of: Callable[[str], str],
    ) -> None:
        """Create a translator.

        Args:
            name: The name of this instance.
            state: The replicated state.
            overrides: Merges a change into the overrides in force.
            rollout: Keeps a file that is to be rolled out.
            store_id_of: Returns the store identifier of an instance, or "" if it is unknown.
        """
        self._name = name
        self._state = state
        self._overrides = overrides
        self._rollout = rollout
        self._store_id_of = store_id_of

    def translate(self, change: Change) -> CommandContent | None:
        """Return the content of the command for a change; None if its verb doesn't concern the replicated state.

        Raises:
            CallError: The change can't be applied to the current state.
        """
        if change.verb.startswith("fleet/"):
            return self._translate_fleet(change)
        pool = change.request.pool or ""
        if change.verb in OVERRIDE_VERBS:
            return CommandContent(
                CommandKind.MARK, OverrideBody(pool, self._overrides.planned_overrides(change), change.until)
            )
        if change.verb == MIGRATION_VERB:
            return CommandContent(
                CommandKind.MOVE, MigrationBody(pool, self._overrides.planned_migration(change), change.until)
            )
        if change.verb in FREEZE_VERBS:
            return CommandContent(CommandKind.FREEZE, FreezeBody(pool, change.verb == "freeze"))
        return None

    def _translate_fleet(self, change: Change) -> CommandContent | None:
        request = change.request
        name = request.name or ""
        match change.verb:
            case "fleet/enrol":
                return CommandContent(CommandKind.ROSTER, VoterBody(name, self._require_store_id(name)))
            case "fleet/expel":
                return CommandContent(CommandKind.ROSTER, VoterBody(name, ""))
            case "fleet/rollout":
                return CommandContent(CommandKind.PLAN, self._rollout_plan(change))
            case "fleet/halt":
                return CommandContent(CommandKind.STAGE, self._next_stage(RolloutStage.HALTED, request.by))
            case "fleet/back":
                return CommandContent(CommandKind.STAGE, self._next_stage(RolloutStage.BACK, request.by))
            case "fleet/recover":
                return CommandContent(
                    CommandKind.RECOVER, RecoverBody(self._recovered_voters(request.roster))
                )
        return None

    def _recovered_voters(self, names: Iterable[str]) -> dict[str, str]:
        """Return the voters after a recovery, each with its last known store identifier."""
        return {name: self._store_id_of(name) or self._state.voters.get(name, "") for name in names}

    def _next_stage(self, stage: RolloutStage, by: str) -> StageBody:
        plan = self._open_plan()
        return StageBody(plan.id, plan.stage, stage, f"by {by}"[:200], plan.old_bad)

    def _open_plan(self) -> RolloutPlan:
        plan = self._state.rollout_plan
        if plan is None or plan.stage in (RolloutStage.DONE, RolloutStage.ENDED):
            raise CallError(409, "no roll-out is under way")
        return plan

    def _rollout_plan(self, change: Change) -> PlanBody:
        """Read the file that an operator wants to roll out from this machine, and return a plan for it.

        A caller can thus have any file that this process can read checked as a configuration. Calls over TCP, whose
        callers authenticate with a token only, therefore can't name a file.
        """
        path = Path(change.request.path or "")
        if not path.is_absolute():
            raise CallError(400, f"{path}: an absolute path is wanted")
        try:
            digest = self._rollout.add_file(path.read_bytes())
        except (OSError, ValueError) as problem:
            raise CallError(400, f"{path}: {problem}") from None
        return PlanBody(f"r{self._state.version + 1}", digest, self._name, change.until or DEFAULT_SOAK_S)

    def _require_store_id(self, name: str) -> str:
        store_id = self._store_id_of(name)
        if not store_id:
            raise CallError(
                409, f"{name!r} has not said where its votes are kept; it has to live, with a [store]"
            )
        return store_id
