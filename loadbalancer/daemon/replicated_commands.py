"""What operators say at one daemon of a fleet: into a change, through the vote, and back once all have confirmed."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Callable

import msgspec

from loadbalancer.admin.calls import CallError, Change
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.rollout import RolloutService
from loadbalancer.fleet.membership.member_state import MemberStatus
from loadbalancer.fleet.membership.view import MembershipView as FleetView
from loadbalancer.fleet.orchestration.rollout import PlanBody, StageBody
from loadbalancer.fleet.replication.commit_tracking import CommitTracker
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.replica import Action, CommandCompleted, PaxosReplica
from loadbalancer.fleet.replication.replicated_state import (
    Command,
    FreezeBody,
    MarkBody,
    MoveBody,
    RecoverBody,
    ReplicatedState,
    RosterBody,
    StateError,
    write_body,
)  # fmt: skip
from loadbalancer.resource_limits import RateLimitedLogger

if TYPE_CHECKING:
    from loadbalancer.daemon.components import ReplicatedOverrideTarget

#: Seconds that each step of a roll-out serves before the next, if nobody says.
SOAK_S = 10.0
MARKS = ("drain", "cordon", "uncordon", "weight", "add", "remove")


class ReplicatedCommands:
    """The part of `Agreed` that speaks with operators."""

    name: str
    daemon: DaemonContext
    said: ReplicatedState
    versions: PaxosReplica
    fence: Lease
    view: FleetView
    logger: RateLimitedLogger
    rolling: RolloutService
    _store_name: str

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._orders: dict[str, tuple[Change, Callable[[Any], None], float]] = {}
        self._confirming: list[tuple[CommitTracker, Change, Callable[[Any], None], float]] = []

    @property
    def control(self) -> ReplicatedOverrideTarget:
        raise NotImplementedError

    def _id(self) -> str:
        raise NotImplementedError

    def _propose(self, change: Command, if_version: int = -1) -> None:
        raise NotImplementedError

    def _do(self, actions: list[Action]) -> None:
        raise NotImplementedError

    def _end_orders(self) -> None:
        for _, done, _ in self._orders.values():
            done({"error": "this instance ends; it is not known whether the change stands"})
        self._orders.clear()

    def change(self, order: Change, done: Callable[[Any], None]) -> bool:
        if order.request.here and order.verb in (*MARKS, "move", "freeze", "thaw"):
            return False
        body = self._body(order)
        if body is None:
            return False
        kind, struct = body
        try:
            change = Command(
                self._id(), kind, write_body(struct), order.request.by, order.request.reason, time.time()
            )
            self.said.check(change)
        except StateError as problem:
            raise CallError(409, str(problem)) from None
        if kind == "recover":
            self._recover(change, order, done)
            return True
        if_version = -1 if order.request.if_version is None else order.request.if_version
        self._orders[change.id] = order, done, self.clock()
        self._propose(change, if_version)
        return True

    def _body(self, order: Change) -> tuple[str, msgspec.Struct] | None:
        said, verb = order.request, order.verb
        if verb in MARKS:
            return "mark", MarkBody(said.pool or "", self.control.planned_overrides(order), order.until)
        if verb == "move":
            return "move", MoveBody(said.pool or "", self.control.planned_migration(order), order.until)
        if verb in ("freeze", "thaw"):
            return "freeze", FreezeBody(said.pool or "", verb == "freeze")
        if verb == "fleet/enrol":
            return "roster", RosterBody(said.name or "", self._store_of(said.name or ""))
        if verb == "fleet/expel":
            return "roster", RosterBody(said.name or "", "")
        if verb == "fleet/rollout":
            return "plan", self._plan_of(order)
        if verb in ("fleet/halt", "fleet/back"):
            plan = self.said.rollout_plan
            if plan is None or plan.stage in ("done", "ended"):
                raise CallError(409, "no roll-out is under way")
            return "stage", StageBody(
                plan.id,
                plan.stage,
                verb.removeprefix("fleet/") + "ed" * (verb == "fleet/halt"),
                f"by {said.by}"[:200],
                plan.old_bad,
            )
        if verb == "fleet/recover":
            return "recover", RecoverBody({name: self.said.voters.get(name, "") for name in said.roster})
        return None

    def _plan_of(self, order: Change) -> PlanBody:
        """A file beside this daemon, as its operator names it. Harm: whoever may call may have any file checked as a
        configuration; so calls by TCP, whose holders have tokens alone, name none.
        """
        path = Path(order.request.path or "")
        if not path.is_absolute():
            raise CallError(400, f"{path}: an absolute path is wanted")
        try:
            digest = self.rolling.offer(path.read_bytes())
        except (OSError, ValueError) as problem:
            raise CallError(400, f"{path}: {problem}") from None
        return PlanBody(f"r{self.said.version + 1}", digest, self.name, order.until or SOAK_S)

    def _store_of(self, name: str) -> str:
        """Of one that is to vote: the store that it has said its votes are kept in."""
        met = self.versions.peer_metadata.get(name, {}).get("store", "")
        if name == self.name:
            met = self._store_name
        if not met:
            raise CallError(
                409, f"{name!r} has not said where its votes are kept; it has to live, with a [store]"
            )
        return met

    def _recover(self, change: Command, order: Change, done: Callable[[Any], None]) -> None:
        """The operator's way out after a majority was lost for good. Guards against use while there is one."""
        if not order.request.last:
            raise CallError(
                409, "this lets a minority go on without those who may know more; say last if it is meant"
            )
        if self.fence.is_open(self.clock()):
            raise CallError(409, "a majority answers; nothing has to be recovered")
        if self.name not in order.request.roster:
            raise CallError(409, f"{self.name!r}, where this is said, has to be on the new roster")
        self._do(self.versions.recover(change))
        self.logger(
            "fleet: recovered by an operator",
            f"{order.request.by}: {', '.join(order.request.roster)} vote now",
        )
        done({"version": self.said.version, "holds": True, "roster": dict(self.said.voters)})

    def _ended_order(self, ended: CommandCompleted) -> None:
        found = self._orders.pop(ended.command_id, None)
        if found is None:
            return
        order, done, began = found
        if not ended.version:
            done({"error": ended.reason})
            return
        accepted = self.clock()
        confirming = CommitTracker(
            ended.version,
            accepted,
            ended.leaseholders,
            self.fence.expiry_with_drift,
            self.fence.serves_when_expired,
        )
        self._confirming.append((confirming, order, done, began + max(order.wait, 0.05)))
        self._look_at_confirming(accepted)

    def _look_at_confirming(self, now: float) -> None:
        if not self._confirming:
            return
        at = {**self.versions.announced_versions, self.name: self.said.version}
        known = [p.state.name for p in self.view.table if p.state.status != MemberStatus.LEFT]
        left = [p.state.name for p in self.view.table if p.state.status == MemberStatus.LEFT]
        waiting = []
        for item in self._confirming:
            confirming, order, done, until = item
            found = confirming.status(now, at, [*known, self.name], left)
            if not found.is_committed and now < until:
                waiting.append(item)
                continue
            box: dict[str, Any] = {"version": confirming.version, "holds": found.is_committed}
            if not found.is_committed:
                box["missing"], box["until_s"] = list(found.unconfirmed), found.time_remaining
            done({**self.control.describe(order), **box})
        self._confirming = waiting
