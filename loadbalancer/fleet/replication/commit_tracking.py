"""Whether a change holds at the whole fleet: who has confirmed it, who may act on an older one, and until when. Pure.

Rules:

1. Who may act at all was let go on by a majority of voters, one of which accepted the change; so those that the
   accepting voters name are all that have to confirm (`lessees`).
2. Where that is not known, all that the view knows have to, and the time below has to pass.
3. An instance that does not confirm is shut out by its own clock `lasts` seconds after the change was accepted, but
   where it goes on all the same (`cut_off = "serve"`): then only its word counts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Collection, Mapping


@dataclass(frozen=True, slots=True)
class CommitStatus:
    """`missing`: who has not confirmed. `until`: seconds left by which their time is over; None where it never is."""

    is_committed: bool
    unconfirmed: tuple[str, ...]
    time_remaining: float | None


class CommitTracker:
    """One change that stands."""

    def __init__(
        self, version: int, accepted_at: float, lessees: Collection[str] | None, lasts: float, serves: bool
    ) -> None:
        """`accepted_at`: on the clock of `look`. `serves`: rule 3's exception holds for all of the fleet."""
        self.version, self.accepted_at, self.leaseholders = version, accepted_at, lessees
        self.lease_duration, self.serves_when_expired = lasts, serves

    def status(
        self, now: float, at: Mapping[str, int], known: Collection[str], left: Collection[str]
    ) -> CommitStatus:
        """`at`: the versions that instances say they act on. `known`: names of the view, but for those that have left
        (`left`)."""
        wanted = (
            set(known) if self.leaseholders is None or self.serves_when_expired else set(self.leaseholders)
        ) - set(left)
        missing = tuple(sorted(name for name in wanted if at.get(name, 0) < self.version))
        remains = max(0.0, self.accepted_at + self.lease_duration - now)
        over = remains == 0.0 and not self.serves_when_expired
        if self.leaseholders is None and not self.serves_when_expired and not over:
            return CommitStatus(False, missing, remains)
        holds = not missing or over
        return CommitStatus(holds, missing, 0.0 if holds else None if self.serves_when_expired else remains)
