"""Makes commands of the replicated log from what operators ask for, and from what this instance decides itself."""

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

#: Seconds that each step of a rollout serves before the next, unless the operator says otherwise.
DEFAULT_SOAK_S = 10.0
OVERRIDE_VERBS = ("drain", "cordon", "uncordon", "weight", "add", "remove")
MIGRATION_VERB = "move"
FREEZE_VERBS = ("freeze", "thaw")


class CommandContent(NamedTuple):
    """What a command does, before it has an identifier."""

    kind: str  # as the replicated state names it
    body: msgspec.Struct


class CommandNumbering:
    """Makes commands whose identifiers no other process uses."""

    def __init__(self, prefix: str) -> None:
        """`prefix`: the name of the instance and a number drawn by this process."""
        self._prefix = prefix
        self._count = 0

    def command(self, content: CommandContent, by: str, reason: str) -> Command:
        """Return a command with the next identifier.

        Raises:
            StateError: the body is too long.
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
        store_of: Callable[[str], str],
    ) -> None:
        """Hand in what a translation looks up.

        Args:
            name: of this instance.
            state: the replicated state.
            overrides: merges a change into the overrides that stand.
            rollout: holds a file that is to be rolled out.
            store_of: returns the store of an instance, "" where it is not known.
        """
        self._name = name
        self._state = state
        self._overrides = overrides
        self._rollout = rollout
        self._store_of = store_of

    def translate(self, change: Change) -> CommandContent | None:
        """Return what a command would do; None where the verb is not one of the replicated state.

        Raises:
            CallError: it can't be done as things are.
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
                return CommandContent(CommandKind.ROSTER, VoterBody(name, self._require_store(name)))
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
        """The voters after a recovery, with the store that each is known to have."""
        return {name: self._store_of(name) or self._state.voters.get(name, "") for name in names}

    def _next_stage(self, stage: RolloutStage, by: str) -> StageBody:
        plan = self._open_plan()
        return StageBody(plan.id, plan.stage, stage, f"by {by}"[:200], plan.old_bad)

    def _open_plan(self) -> RolloutPlan:
        plan = self._state.rollout_plan
        if plan is None or plan.stage in (RolloutStage.DONE, RolloutStage.ENDED):
            raise CallError(409, "no roll-out is under way")
        return plan

    def _rollout_plan(self, change: Change) -> PlanBody:
        """Read a file beside this daemon.

        Whoever may call can so have any file checked as a configuration. Calls by TCP, whose callers have nothing but
        a token, therefore can't name a file.
        """
        path = Path(change.request.path or "")
        if not path.is_absolute():
            raise CallError(400, f"{path}: an absolute path is wanted")
        try:
            digest = self._rollout.offer(path.read_bytes())
        except (OSError, ValueError) as problem:
            raise CallError(400, f"{path}: {problem}") from None
        return PlanBody(f"r{self._state.version + 1}", digest, self._name, change.until or DEFAULT_SOAK_S)

    def _require_store(self, name: str) -> str:
        store = self._store_of(name)
        if not store:
            raise CallError(
                409, f"{name!r} has not said where its votes are kept; it has to live, with a [store]"
            )
        return store
