"""Tracks whether a decided command is committed fleet-wide, i.e. no instance acts on an older version any more.

Rules:

1. An instance that may act holds a lease from a majority of voters, and at least one of these has accepted the command.
   So only the instances that the accepting voters name as leaseholders have to confirm.
2. If the leaseholders are unknown, all instances of the membership view have to confirm, and the time of rule 3
   has to pass.
3. The lease of an instance that does not confirm expires by its own clock within the lease duration after the command
   was accepted. If instances continue to serve without a lease (`cut_off = "serve"`), only a confirmation counts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Collection, Mapping


@dataclass(frozen=True, slots=True)
class CommitStatus:
    """The progress of a command towards being committed.

    Attributes:
        is_committed: No instance acts on an older version any more.
        unconfirmed: Names of instances that have not confirmed, sorted.
        time_remaining: Seconds until their leases have expired; None if they never expire.
    """

    is_committed: bool
    unconfirmed: tuple[str, ...]
    time_remaining: float | None


class CommitTracker:
    """Tracks one decided command until it is committed."""

    def __init__(
        self,
        version: int,
        accepted_at: float,
        leaseholders: Collection[str] | None,
        lease_duration: float,
        serves_when_expired: bool,
    ) -> None:
        """Start to track a command.

        Args:
            version: The version that it has produced.
            accepted_at: When a majority had accepted it, in seconds on the clock of `status`.
            leaseholders: Instances that may act on older versions; None if they are unknown.
            lease_duration: Seconds after which all leases have expired, clock drift included.
            serves_when_expired: Whether the fleet's instances continue to serve without a lease.
        """
        self.version = version
        self.accepted_at = accepted_at
        self.leaseholders = leaseholders
        self.lease_duration = lease_duration
        self.serves_when_expired = serves_when_expired

    def status(
        self,
        now: float,
        announced_versions: Mapping[str, int],
        known: Collection[str],
        left: Collection[str],
    ) -> CommitStatus:
        """Return the current progress of the command.

        Args:
            now: Current time in seconds.
            announced_versions: The latest version that each instance has announced to act on.
            known: Names in the membership view, including this instance's.
            left: Names of instances that have left the fleet; they need not confirm.
        """
        expected = known if self.leaseholders is None or self.serves_when_expired else self.leaseholders
        unconfirmed = tuple(
            sorted(
                name for name in set(expected) - set(left) if announced_versions.get(name, 0) < self.version
            )
        )
        time_remaining = max(0.0, self.accepted_at + self.lease_duration - now)
        if self.serves_when_expired:
            is_committed = not unconfirmed
            return CommitStatus(is_committed, unconfirmed, 0.0 if is_committed else None)
        has_expired = time_remaining == 0.0
        is_committed = has_expired or (self.leaseholders is not None and not unconfirmed)
        return CommitStatus(is_committed, unconfirmed, 0.0 if is_committed else time_remaining)
