"""The lease of one instance: requested from the voters, granted to others, and checked before each send."""

from __future__ import annotations

import math

from loadbalancer.daemon.fleet_interfaces import Clock
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.messages import LeaseGrant, LeaseRequest
from loadbalancer.fleet.replication.replica import PaxosReplica

#: Seconds for which a founder of a fleet requests no lease. All voters meet sooner, unless one has died meanwhile.
FOUNDING_WAIT_S = 3.0


class LeaseMonitor:
    """Renews the lease while a majority of voters grants it; without a lease the instance does not send.

    The replication service drives it by the service's timer; it owns no resources.
    """

    def __init__(self, lease: Lease, replica: PaxosReplica, clock: Clock) -> None:
        """`clock` also runs while the machine is suspended, so that a lease expires during that time too."""
        self._lease = lease
        self._replica = replica
        self._clock = clock
        self._founding_wait_ends_at = math.inf

    @property
    def next_timer(self) -> float:
        """The time at which the next request is due, on the lease's clock."""
        return self._lease.next_timer

    def postpone_while_founding(self, now: float) -> bool:
        """Postpone the lease request while this instance founds the fleet and its vote doesn't count yet.

        Return whether the request was postponed. This ensures that once all instances act, every voter votes, and any
        majority of them can decide.
        """
        replica = self._replica
        if not replica.is_new_store or replica.vote_suspension or not replica.missing_voters:
            return False
        self._founding_wait_ends_at = min(self._founding_wait_ends_at, now + FOUNDING_WAIT_S)
        if now >= self._founding_wait_ends_at:
            return False
        self._lease.postpone_request(now)
        return True

    def request(self, now: float) -> LeaseRequest:
        """Return the lease request to send to all voters now."""
        return LeaseRequest(self._lease.request(now), self._replica.state.version)

    def grant(self, now: float, sender: str, request: LeaseRequest) -> LeaseGrant | None:
        """Record the version that another instance acts on; return a grant, or None if this instance has no vote."""
        announced = self._replica.announced_versions
        announced[sender] = max(request.version, announced.get(sender, 0))
        if not self._replica.can_vote:
            return None
        self._lease.grant(now, sender)
        return LeaseGrant(request.number, self._replica.highest_accepted_version, now)

    def record_grant(self, now: float, voter: str, grant: LeaseGrant) -> None:
        """Count a grant that a voter has sent."""
        state = self._replica.state
        self._lease.granted(
            now,
            grant.number,
            voter,
            grant.highest_known_version,
            grant.clock,
            state.majority,
            state.version,
        )

    def extend(self) -> None:
        """Count grants that were held back until this instance had applied the present version."""
        state = self._replica.state
        self._lease.extend(state.majority, state.version)

    def may_act(self) -> bool:
        """Return whether this instance may send."""
        return self._lease.may_act(self._clock())

    def expires_at(self) -> float:
        """Return when the lease expires, on the lease's clock; 0 if there is no lease."""
        return self._lease.expires_at if self._lease.is_open(self._clock()) else 0.0

    def inherit(self, version: int, expires_at: float) -> None:
        """Take over the lease of the process that this one has replaced.

        A lease belongs to the instance's name and its clock to the machine, so that in a hot restart the instance can
        act without interruption. The lease is taken over only if the store held the version for which it was granted.
        """
        if self._replica.state.version >= version and expires_at <= self._clock() + self._lease.duration:
            self._lease.expires_at = expires_at
