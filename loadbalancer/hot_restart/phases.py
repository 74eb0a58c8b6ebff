"""What a process is in an upgrade, and what it may do and hold; decided from what it sees, nothing else.

Pure: no I/O and no clock. The two processes count as one proxy, with one set of limits between them.

| phase | it is that | accepts | says yes | holds descriptors |
| --- | --- | --- | --- | --- |
| ALONE | no other process lives | yes | yes | all |
| NEW | an older one lives, and this one has no list of its own | no | no | a reserve |
| NEXT | an older one lives, and this one can serve | yes | yes | what the older one does not claim |
| OLD | a newer one has come | yes | yes | what it uses and some more |
| LEAVING | it was told to end | no | no | what it still uses |
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Sequence

#: Descriptors that a process needs to start beside another: its listeners, discovery, operators, a few connections.
RESERVE = 64
#: And at most this share of all, where there are few.
RESERVE_SHARE = 0.2
#: A newcomer that has no fresh list after this long serves with the one it was given: discovery may be silent, and
#: it must say yes within 6 s.
LIST_WAIT_S = 3.0
#: Descriptors beyond those in use that a leaving process may still need: each open request may go again.
SPARE = 16
#: And those by which an old one may still grow.
GROWTH = 32


class Phase(IntEnum):
    ALONE = 0
    NEW = 1
    NEXT = 2
    OLD = 3
    LEAVING = 4


class Observation(NamedTuple):
    """What a process knows of itself and of the others."""

    age: float  # seconds since its start
    listed: bool  # it has a list of members
    fresh: bool  # and has heard from discovery itself
    elders: bool  # one that lived when it started lives still
    others: Sequence[int]  # descriptors that each other living process claims
    ending: bool  # it was told to end
    used: int  # descriptors in use


def phase(seen: Observation) -> Phase:
    """A process that has lost its elder, or whose successor has died, is alone again."""
    if seen.ending:
        return Phase.LEAVING
    if not seen.others:
        return Phase.ALONE
    if not seen.elders:
        return Phase.OLD
    return Phase.NEXT if seen.listed and (seen.fresh or seen.age >= LIST_WAIT_S) else Phase.NEW


def reserve(sockets: int) -> int:
    """Descriptors that a newcomer has in any case, of `sockets` for all."""
    return min(RESERVE, int(sockets * RESERVE_SHARE))


def share(now: Phase, seen: Observation, sockets: int) -> int:
    """Descriptors that a process may hold, of `sockets` for all of them.

    Nobody takes what another claims, so the sum stays within `sockets` but for what a process held when the other
    came; that shrinks as requests end."""
    kept = reserve(sockets)
    if not seen.others:
        return sockets
    free = max(kept, sockets - sum(seen.others))
    if now == Phase.NEW:
        return kept
    if now == Phase.OLD:
        return min(max(sockets // 3, seen.used + GROWTH), sockets - kept, max(free, sockets // 2))
    if now == Phase.LEAVING:
        return min(sockets - kept, seen.used + SPARE)
    return free


#: Phases in which a process takes new connections.
ACCEPTING = frozenset((Phase.ALONE, Phase.NEXT, Phase.OLD))
