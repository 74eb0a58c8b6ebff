"""Decides the next stage of a rollout, at the one instance of the fleet that coordinates it."""

from __future__ import annotations

from typing import Callable, Mapping

from loadbalancer.daemon.fleet_peers import FleetPeers
from loadbalancer.fleet.orchestration.rollout import RolloutPlan, StageBody, StageReport, next_stage
from loadbalancer.fleet.replication.replica import PaxosReplica

#: Seconds between two decisions on the next stage.
DECISION_INTERVAL_S = 1.0


class RolloutCoordinator:
    """Decides the next stage while this instance is the first, by name, of the live voters.

    Two coordinators at once do no harm: a proposal names the stage that it follows, so the second one has no effect.
    """

    def __init__(
        self, replica: PaxosReplica, peers: FleetPeers, own_metadata: Callable[[], Mapping[str, str]]
    ) -> None:
        """`own_metadata` returns the current metadata of this instance, including its report on the rollout."""
        self._replica = replica
        self._peers = peers
        self._own_metadata = own_metadata
        self._decided_at = 0.0
        self._stage_version = 0
        self._stage_began_at = 0.0

    def next_stage(self, plan: RolloutPlan, now: float) -> StageBody | None:
        """Return the stage to propose now; None if the present stage goes on.

        Args:
            plan: The rollout, in an open stage.
            now: The time in seconds on the replica's clock.
        """
        if self._stage_version != plan.version:
            self._stage_version = plan.version
            self._stage_began_at = now
        name = self._peers.name
        living = [name, *self._peers.live_names()]
        if not self._is_coordinator(living) or now < self._decided_at + DECISION_INTERVAL_S:
            return None
        self._decided_at = now
        names = sorted({name, *(member.name for member in self._peers.members())})
        dead = [member for member in names if member not in living]
        return next_stage(plan, self._reports(plan), living, dead, now - self._stage_began_at)

    def _is_coordinator(self, living: list[str]) -> bool:
        voters = sorted(name for name in living if name in self._replica.state.voters)
        return bool(voters) and voters[0] == self._peers.name

    def _reports(self, plan: RolloutPlan) -> dict[str, StageReport]:
        metadata = {**self._replica.peer_metadata, self._peers.name: self._own_metadata()}
        reports = {}
        for name, fields in metadata.items():
            report = StageReport.read(fields.get("plan", ""), plan.id)
            if report is not None:
                reports[name] = report
        return reports
