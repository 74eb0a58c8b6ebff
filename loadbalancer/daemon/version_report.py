"""Reports the versions of the replicated state and when they were in force, for `fleet status` and `fleet versions`."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TypedDict

import msgspec

from loadbalancer.daemon.fleet_interfaces import AnswerCallback, Clock, JsonObject
from loadbalancer.daemon.fleet_peers import FleetPeers
from loadbalancer.fleet.member_state import MemberState
from loadbalancer.fleet.replication.epochs import Epoch, merge
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.messages import QueryRequest, QueryResponse
from loadbalancer.fleet.replication.replica import PaxosReplica

#: The query for another instance's part of the report.
VERSIONS_QUERY = "fleet/versions"
#: Timeout in seconds between two messages of another instance's answer.
QUERY_TIMEOUT_S = 2.0


class ReplicationStatus(TypedDict):
    """The replication status of this instance, under the keys that operators read."""

    version: int
    known: int  # the highest decided version that this instance knows of
    behind: bool
    why: str | None  # why the replica is blocked
    votes: bool
    lost_state: str | None  # why its vote is suspended
    waits_for: list[str]  # voters that have to answer before it votes
    shut_out: bool
    lease_s: float
    drift: str | None  # the voter whose clock drifts from this one's, and by how much
    roster: list[str]


class VersionReport:
    """Reports on the replica and the lease. It owns the tasks that query other instances, each limited in time."""

    def __init__(
        self, replica: PaxosReplica, lease: Lease, history: deque[Epoch], peers: FleetPeers, clock: Clock
    ) -> None:
        self._replica = replica
        self._lease = lease
        self._history = history
        self._peers = peers
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def status(self) -> ReplicationStatus:
        """Return the replication status of this instance."""
        now, replica, lease = self._clock(), self._replica, self._lease
        return {
            "version": replica.state.version,
            "known": replica.highest_known_version,
            "behind": replica.is_behind,
            "why": replica.blocked_reason or None,
            "votes": replica.can_vote,
            "lost_state": replica.vote_suspension or None,
            "waits_for": replica.missing_voters,
            "shut_out": not lease.may_act(now),
            "lease_s": round(max(0.0, lease.expires_at - now), 2),
            "drift": lease.clock_drift or None,
            "roster": sorted(replica.state.voters),
        }

    def local(self) -> JsonObject:
        """Return this instance's part of `fleet versions`."""
        clock_origin = time.time() - self._clock()  # Unix time at 0 of the replica's clock
        return {
            "instance": self._peers.name,
            **self.status(),
            "card": self._replica.metadata,
            "epochs": [epoch.row(clock_origin) for epoch in self._history],
        }

    def answer(self) -> QueryResponse:
        """Return this instance's part of the report for another instance."""
        return QueryResponse(msgspec.json.encode(self.local()))

    def collect(self, answer: AnswerCallback) -> None:
        """Answer with the merged parts of all instances and the names of those that did not answer."""
        task = asyncio.get_running_loop().create_task(self._collect(answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _collect(self, answer: AnswerCallback) -> None:
        members = self._peers.members()
        parts = await asyncio.gather(*(self._fetch_part(member) for member in members))
        instances = [self.local(), *(part for part in parts if part is not None)]
        unknown = [member.name for member, part in zip(members, parts, strict=True) if part is None]
        answer({**merge(instances, unknown)})

    async def _fetch_part(self, member: MemberState) -> JsonObject | None:
        try:
            async for message in self._peers.request_member(
                member, QueryRequest(VERSIONS_QUERY), QUERY_TIMEOUT_S
            ):
                if isinstance(message, QueryResponse):
                    return msgspec.json.decode(message.body, type=JsonObject)
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
            pass
        return None
