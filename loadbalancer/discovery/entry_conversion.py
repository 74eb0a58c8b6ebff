"""Members as our own files list them, in the module's form."""

from __future__ import annotations

import time
from typing import Callable, Iterable, Sequence

from loadbalancer.config.reader import read_address
from loadbalancer.config.types import MemberTable
from loadbalancer.discovery.endpoint_source import Entry
from loadbalancer.policy.events import (
    STICKY_DOMAIN_PREFIX,
    EndpointEntry,
    EndpointState,
)

#: Rank of the standby members of set 0: behind every set of serving ones.
STANDBY_RANK = 1_000_000


class NameNumbering:
    """Numbers for names as they are met; the first ones are given."""

    def __init__(self, names: Iterable[str]) -> None:
        self._numbers = {name: number for number, name in enumerate(names)}

    def __call__(self, name: str) -> int:
        return self._numbers.setdefault(name, len(self._numbers))


class EntryConverter:
    """Lists of members into entries; it remembers which ones it has seen, for those that appear later are new."""

    def __init__(
        self, zones: Iterable[str], new_are_cold: bool, clock: Callable[[], float] = time.time
    ) -> None:
        """`new_are_cold`: one that was not in the first list counts as started when it appeared, unless it says
        when. `clock`: Unix time in seconds."""
        self._zone, self._new_are_cold, self._clock = NameNumbering(zones), new_are_cold, clock
        self._started: dict[str, float] | None = None  # of those in the last list
        self._redirects: dict[str, str] = {}

    def entries(self, members: Sequence[MemberTable]) -> list[Entry]:
        """The members that may serve or finish; a stopped one is not listed at all."""
        before, now = self._started, self._clock()
        late = 0.0 if before is None or not self._new_are_cold else now
        started = {}
        entries = []
        self._redirects = session_names(members)
        for member in members:
            if member.state == "stopped":
                continue
            since = (before or {}).get(member.id, late) if member.started is None else member.started
            started[member.id] = since
            entries.append((self._entry(member, since), read_address(member.address)))
        self._started = started
        return entries

    def _entry(self, member: MemberTable, started: float) -> EndpointEntry:
        state = EndpointState.DRAINING if member.state == "draining" else EndpointState.READY
        rank = member.set + (STANDBY_RANK if member.state == "standby" else 0)
        return EndpointEntry(
            member.id,
            self._zone(member.zone),
            member.cell,
            0,
            state,
            member.weight,
            started,
            rank,
            member.domain or "",
            self._redirects.get(member.redirect or "", ""),
        )


def session_names(members: Iterable[MemberTable]) -> dict[str, str]:
    """Ids of members by the names that sticky sessions have for them, and domains, marked as such, by theirs. A stopped
    one has a name only where its sessions go elsewhere."""
    members = list(members)
    names = {
        m.domain: STICKY_DOMAIN_PREFIX + m.domain
        for m in members
        if m.domain is not None and m.state != "stopped"
    }
    names |= {m.route or m.id: m.id for m in members if m.state != "stopped"}
    for member in members:
        if member.state == "stopped" and member.redirect in names:
            names[member.route or member.id] = names[member.redirect]
    return names
