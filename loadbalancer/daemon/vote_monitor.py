"""Logs why an instance does not vote or may not send, with the remedy, once for each reason."""

from __future__ import annotations

import math

from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.resource_limits import RateLimitedLogger

#: Seconds before a missing vote or lease is logged: a start and the registration of a new store take that long.
VOTE_GRACE_S = 3.0


class VoteMonitor:
    """Monitors the vote and the lease of one instance; the replication service calls `check` periodically."""

    def __init__(self, replica: PaxosReplica, lease: Lease, logger: RateLimitedLogger) -> None:
        self._replica = replica
        self._lease = lease
        self._logger = logger
        self._voteless_since = math.inf
        self._vote_problem = ""
        self._expired_since = math.inf
        self._lease_was_reported = False

    def check(self, now: float) -> None:
        """Log what has kept this instance from voting or sending for longer than VOTE_GRACE_S.

        Args:
            now: The time in seconds on the replica's clock.
        """
        self._check_vote(now)
        self._check_lease(now)

    def _check_vote(self, now: float) -> None:
        problem = self._describe_missing_vote()
        if not problem:
            self._voteless_since = math.inf
            self._vote_problem = ""
            return
        self._voteless_since = min(self._voteless_since, now)
        if now >= self._voteless_since + VOTE_GRACE_S and problem != self._vote_problem:
            self._vote_problem = problem
            self._logger("fleet: this instance does not vote", problem)

    def _describe_missing_vote(self) -> str:
        """Return why this instance does not vote, with the remedy; "" if it votes or is not a voter."""
        replica = self._replica
        if replica.vote_suspension:
            return (
                f"{replica.vote_suspension}; it votes once most of the other voters have registered its store; "
                "with most stores lost for good: micastand fleet recover"
            )
        missing = ", ".join(replica.missing_voters)
        if not missing:
            return ""
        if replica.is_new_store:
            return (
                f"a new store; the fleet is founded once all voters have met, and {missing} did not answer; "
                "to begin without them: micastand fleet recover"
            )
        return f"most voters have to confirm its store, and {missing} did not answer"

    def _check_lease(self, now: float) -> None:
        if self._lease.is_open(now):
            self._expired_since = math.inf
            self._lease_was_reported = False
            return
        self._expired_since = min(self._expired_since, now)
        if now >= self._expired_since + VOTE_GRACE_S and not self._lease_was_reported:
            self._lease_was_reported = True
            voters = self._replica.state.voters
            self._logger(
                "fleet: this instance has no lease",
                f"fewer than {self._replica.state.majority} of {len(voters)} voters grant one; fleet status at "
                "each voter says why; with most stores lost for good: micastand fleet recover",
            )
