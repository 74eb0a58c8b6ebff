"""Bounds the start times in endpoint lists by what this process has seen on its monotonic clock. No I/O.

Lists give start times on the wall clock of another machine, and slow start depends on them. This machine's wall clock
may be wrong by seconds or hours. A start that was not in the list before happened a short time before the list came.
"""

from __future__ import annotations

from typing import Callable, NamedTuple

from loadbalancer.discovery.endpoint_source import Entry
from loadbalancer.policy.events import EndpointState
from loadbalancer.resource_limits import RateLimitedLogger

MAX_REPORT_DELAY_S = 2.0
"""Seconds that a start may take to be listed while a watch is open."""
MAX_CLOCK_ERROR_S = 86_400.0
"""Seconds by which a clock may be wrong: a start that seems longer ago was long ago."""
IMPLAUSIBLE_S = 3.0
"""Difference from what is plausible, in seconds, from which the log tells of a wrong clock."""


class _KnownStart(NamedTuple):
    listed: float
    bounded: float


class StartTimes:
    """The start times of all endpoints that were listed, each as it was first bounded."""

    def __init__(self, clock: Callable[[], float], logger: RateLimitedLogger) -> None:
        """Start without endpoints; `clock`: Unix time that is not stepped while the process runs, in seconds."""
        self._clock = clock
        self._logger = logger
        self._known: dict[str, _KnownStart] = {}

    def bound(self, entries: list[Entry], whole: bool, gap_s: float) -> list[Entry]:
        """Return the entries of a list, or of a change to it, with their start times bounded.

        Args:
            entries: The endpoints.
            whole: Whether these are all endpoints.
            gap_s: Seconds before this list in which nothing was heard of the service; infinite for the first list.
        """
        now = self._clock()
        earliest = now - MAX_REPORT_DELAY_S - gap_s
        before, self._known = self._known, {} if whole else self._known
        return [self._bound_entry(entry, before, earliest, now) for entry in entries]

    def _bound_entry(
        self, entry: Entry, before: dict[str, _KnownStart], earliest: float, now: float
    ) -> Entry:
        endpoint, address = entry
        if endpoint.started <= 0 or endpoint.state == EndpointState.GONE:
            self._known.pop(endpoint.endpoint, None)
            return entry
        known = before.get(endpoint.endpoint)
        if known is None or known.listed != endpoint.started:
            known = _KnownStart(endpoint.started, _bounded(endpoint.started, earliest, now))
            self._report(endpoint.endpoint, known)
        self._known[endpoint.endpoint] = known
        return endpoint._replace(started=known.bounded), address

    def _report(self, name: str, start: _KnownStart) -> None:
        difference_s = start.bounded - start.listed
        if abs(difference_s) > IMPLAUSIBLE_S:
            self._logger(
                "implausible start time", f"{name}, by {difference_s:.1f} s: a clock is wrong, here or there"
            )


def _bounded(started: float, earliest: float, now: float) -> float:
    if started < now - MAX_CLOCK_ERROR_S:
        return started
    return min(max(started, earliest), now)
