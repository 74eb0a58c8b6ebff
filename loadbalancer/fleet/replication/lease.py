"""The lease: decides by this instance's own clock whether it may act on its replicated state now (fencing).

Rules:

1. An instance may act until one lease duration after it *sent* the last request that a majority of voters has granted,
   once it has applied the highest version that these grants name. So after a majority has accepted a command, no
   instance acts on an older version once the duration (plus clock drift) is over: the two majorities share a voter,
   which granted the lease either before it accepted, so that the lease expires by then, or after, so that its grant
   names the version.
2. The clock continues while the process is stopped or the machine sleeps, and is read at each request sent.
3. Two clocks may drift apart by MAX_CLOCK_DRIFT; an instance that relies on the expiry of another's lease allows for
   it. The drift against voters' clocks is measured; an instance that drifts more reports it and stops acting.
4. With `cut_off = "serve"` an instance continues to act without a lease; then no instance may rely on its expiry.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

#: Seconds between two requests while the lease has expired. It is short since nothing is served meanwhile.
EXPIRED_REQUEST_INTERVAL_S = 0.05
#: Requests sent within one lease duration, so that some may be lost.
REQUESTS_PER_DURATION = 5
#: Fraction by which two clocks may drift apart.
MAX_CLOCK_DRIFT = 0.01
#: Seconds over which the drift against a voter's clock is measured before it is compared with the limit.
DRIFT_MEASURE_S = 30.0
#: Seconds after which a measurement is restarted.
DRIFT_RESTART_S = 20 * DRIFT_MEASURE_S
#: Error of one measurement in seconds, due to the network delay of a grant. Grants that arrive later than this after
#: their request are not used for measuring.
DRIFT_ERROR_S = 0.25
#: Number of leaseholders above which expired ones are removed.
MAX_REMEMBERED_LEASEHOLDERS = 64
#: Leaseholders that fit into one message.
MAX_NAMED_LEASEHOLDERS = 24
#: Bits of the first request number of a process; the numbers after it stay within the 40 bits of a message.
FIRST_NUMBER_BITS = 39


class ActiveLeaseholders(NamedTuple):
    """Instances that may still act under a voter's grants.

    Attributes:
        names: Sorted; at most MAX_NAMED_LEASEHOLDERS.
        is_incomplete: Whether there may be other leaseholders.
    """

    names: tuple[str, ...]
    is_incomplete: bool


class ClockReading(NamedTuple):
    """A voter's clock and this instance's at the same moment, in seconds."""

    voter_time: float
    local_time: float


@dataclass
class PendingLeaseRequest:
    """A lease request that was sent to all voters.

    Attributes:
        sent_at: When it was sent, in seconds on this instance's clock.
        granted_versions: By voter, the highest version that its grant names.
    """

    sent_at: float
    granted_versions: dict[str, int] = field(default_factory=dict)


class Lease:
    """One instance's lease, and the leases that it has granted as a voter. Times are seconds on the clock of rule 2."""

    def __init__(self, duration: float, serves_when_expired: bool, first_number: int = 1) -> None:
        """Start without a lease.

        Args:
            duration: Seconds that a lease lasts.
            serves_when_expired: Whether the instance continues to act without one (rule 4).
            first_number: Number of the first request; drawn at random for each process, so that a grant to an earlier
                process of this instance is not counted.
        """
        self.duration = duration
        self.serves_when_expired = serves_when_expired
        #: When the lease expires.
        self.expires_at = -math.inf
        #: The version that grants name and that this instance has not applied yet; 0 for none.
        self.required_version = 0
        #: The voter whose clock drifts too far from this instance's, and the measurement; empty for none.
        self.clock_drift = ""
        #: Leases granted as a voter: by instance, when its lease expires by this instance's clock.
        self.leaseholders: dict[str, float] = {}
        self._last_number = first_number - 1
        self._requests: dict[int, PendingLeaseRequest] = {}
        self._request_at = -math.inf
        self._first_readings: dict[str, ClockReading] = {}
        self._started_at = math.inf

    def is_open(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return now < self.expires_at and not self.clock_drift

    def may_act(self, now: float) -> bool:
        """Return whether the instance may act; checked before every send."""
        return self.serves_when_expired or self.is_open(now)

    @property
    def next_timer(self) -> float:
        """When the next request is due."""
        return self._request_at

    # As a leaseholder.

    def postpone_request(self, now: float) -> None:
        """Skip a request that is due; the next is due after EXPIRED_REQUEST_INTERVAL_S."""
        self._request_at = now + EXPIRED_REQUEST_INTERVAL_S

    def request(self, now: float) -> int:
        """Record that a request is sent to all voters now.

        Returns:
            The number of the request, which its grants carry.
        """
        self._started_at = min(self._started_at, now)
        self._last_number += 1
        is_open = self.is_open(now)
        self._request_at = now + (
            self.duration / REQUESTS_PER_DURATION if is_open else EXPIRED_REQUEST_INTERVAL_S
        )
        self._requests[self._last_number] = PendingLeaseRequest(now)
        self._requests = {
            number: request
            for number, request in self._requests.items()
            if now - request.sent_at <= self.duration
        }
        return self._last_number

    def granted(
        self,
        now: float,
        number: int,
        voter: str,
        highest_version: int,
        voter_clock: float,
        majority: int,
        applied_version: int,
    ) -> None:
        """Count a voter's grant.

        Args:
            now: Current time in seconds.
            number: The number of the request.
            voter: The voter that granted it.
            highest_version: The highest version that the voter knows of.
            voter_clock: The voter's clock when it granted, in seconds.
            majority: Number of grants needed.
            applied_version: The version that this instance acts on.
        """
        request = self._requests.get(number)
        if request is None:
            return
        if now - request.sent_at <= DRIFT_ERROR_S:
            self._measure_drift(now, voter, voter_clock)
        request.granted_versions[voter] = highest_version
        self.extend(majority, applied_version)

    def extend(self, majority: int, applied_version: int) -> None:
        """Extend the lease as far as the grants allow (rule 1); also called when a version was applied."""
        for number, request in list(self._requests.items()):
            if len(request.granted_versions) < majority:
                continue
            highest_version = max(request.granted_versions.values())
            if applied_version < highest_version:
                self.required_version = highest_version
                continue
            self.expires_at = max(self.expires_at, request.sent_at + self.duration)
            self.required_version = 0
            if len(request.granted_versions) > majority:
                del self._requests[number]

    def _measure_drift(self, now: float, voter: str, voter_clock: float) -> None:
        """Measure the clock drift against a voter (rule 3)."""
        first = self._first_readings.setdefault(voter, ClockReading(voter_clock, now))
        local_elapsed = now - first.local_time
        if local_elapsed < DRIFT_MEASURE_S:
            return
        voter_elapsed = voter_clock - first.voter_time
        drift = abs(voter_elapsed - local_elapsed) - DRIFT_ERROR_S
        if drift > 2 * MAX_CLOCK_DRIFT * local_elapsed:
            self.clock_drift = f"{voter}: {voter_elapsed:.2f} s there, {local_elapsed:.2f} s here"
        elif self.clock_drift.startswith(f"{voter}:"):
            self.clock_drift = ""
        if local_elapsed > DRIFT_RESTART_S:
            self._first_readings[voter] = ClockReading(voter_clock, now)

    # As a voter.

    def grant(self, now: float, name: str) -> None:
        """Record that this voter grants the lease to an instance now."""
        self.leaseholders[name] = now + self.expiry_with_drift
        if len(self.leaseholders) > MAX_REMEMBERED_LEASEHOLDERS:
            self.leaseholders = {name: until for name, until in self.leaseholders.items() if until > now}

    def active_leaseholders(self, now: float) -> ActiveLeaseholders:
        """Return the instances that may still act under this voter's grants.

        The list is incomplete if not all fit, and for a lease duration after the start, since the grants of the
        previous process are unknown.
        """
        names = sorted(name for name, until in self.leaseholders.items() if until > now)
        is_incomplete = len(names) > MAX_NAMED_LEASEHOLDERS or now < self._started_at + self.expiry_with_drift
        return ActiveLeaseholders(tuple(names[:MAX_NAMED_LEASEHOLDERS]), is_incomplete)

    @property
    def expiry_with_drift(self) -> float:
        """Seconds by this instance's clock after a command was accepted until no instance acts on an older version."""
        return self.duration * (1 + 2 * MAX_CLOCK_DRIFT)
