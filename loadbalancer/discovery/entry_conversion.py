"""Converts the endpoints that configuration files list to entries for the policy."""

from __future__ import annotations

import time
from typing import Callable, Iterable, Sequence

from loadbalancer.config.reader import read_address
from loadbalancer.config.types import MemberTable
from loadbalancer.discovery.endpoint_source import Entry
from loadbalancer.policy.events import STICKY_DOMAIN_PREFIX, EndpointEntry, EndpointState

STANDBY_PRIORITY = 1_000_000
"""Priority of the standby endpoints of set 0: after every set of serving endpoints."""
LONG_AGO = 0.0
"""Start time of an endpoint that does not count as just started."""


class NameNumbering:
    """Assigns numbers to names, in the order of their first use."""

    def __init__(self, names: Iterable[str]) -> None:
        self._numbers = {name: number for number, name in enumerate(names)}

    def __call__(self, name: str) -> int:
        """Return the number of a name; a new name gets the next number."""
        return self._numbers.setdefault(name, len(self._numbers))


class EntryConverter:
    """Converts the lists of one pool, and tracks the endpoints of the previous list to find out which are new."""

    def __init__(
        self, zones: Iterable[str], new_are_cold: bool, clock: Callable[[], float] = time.time
    ) -> None:
        """Start without a list.

        Args:
            zones: Names of zones; their order gives their numbers.
            new_are_cold: Whether an endpoint that was not in the first list counts as started when it appeared,
                unless its entry has a start time.
            clock: Unix seconds.
        """
        self._zone_number = NameNumbering(zones)
        self._new_are_cold = new_are_cold
        self._clock = clock
        self._started: dict[str, float] | None = None  # by endpoint of the last list
        self._redirects: dict[str, str] = {}

    def entries(self, members: Sequence[MemberTable]) -> list[Entry]:
        """Return the endpoints that may serve new requests or finish open ones; stopped ones are left out."""
        before = self._started or {}
        new_started = LONG_AGO
        if self._started is not None and self._new_are_cold:
            new_started = self._clock()
        self._redirects = session_names(members)
        self._started = {}
        entries = []
        for member in members:
            if member.state == "stopped":
                continue
            started = before.get(member.id, new_started) if member.started is None else member.started
            self._started[member.id] = started
            entries.append((self._entry(member, started), read_address(member.address)))
        return entries

    def _entry(self, member: MemberTable, started: float) -> EndpointEntry:
        is_standby = member.state == "standby"
        return EndpointEntry(
            member.id,
            zone=self._zone_number(member.zone),
            cell=member.cell,
            kind=0,
            state=EndpointState.DRAINING if member.state == "draining" else EndpointState.READY,
            weight=member.weight,
            started=started,
            priority=member.set + (STANDBY_PRIORITY if is_standby else 0),
            domain=member.domain or "",
            redirect=self._redirects.get(member.redirect or "", ""),
        )


def session_names(members: Iterable[MemberTable]) -> dict[str, str]:
    """Map the names that sticky sessions use to endpoint ids, or to domains with STICKY_DOMAIN_PREFIX.

    A stopped endpoint has a name only if its sessions are redirected.
    """
    members = list(members)
    serving = [member for member in members if member.state != "stopped"]
    names = {
        member.domain: STICKY_DOMAIN_PREFIX + member.domain for member in serving if member.domain is not None
    }
    names |= {member.route or member.id: member.id for member in serving}
    for member in members:
        if member.state == "stopped" and member.redirect in names:
            names[member.route or member.id] = names[member.redirect]
    return names
