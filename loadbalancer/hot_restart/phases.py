"""Phases of a process during a hot restart, and what a process may do in each of them.

The processes of a proxy count as one, and share one set of limits.

| phase | meaning | accepts | is ready | descriptors |
| --- | --- | --- | --- | --- |
| ALONE | no other process is running | yes | yes | all |
| NEW | an older one is running, and this one has no list of its own | no | no | a reserve |
| NEXT | an older one is running, and this one can serve | yes | yes | those that the older one does not claim |
| OLD | a newer one has started | yes | yes | those in use and some more |
| LEAVING | it was told to end | no | no | those still in use |
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Sequence

#: Descriptors that a process needs to start beside another: for listeners, discovery, operators and some connections.
START_SOCKETS = 64
#: Maximum of these as a share of all descriptors, for a small limit.
MAX_START_SHARE = 0.2
#: Seconds that a new process waits for a list from discovery. After that it serves with the list that it was started
#: with, since it must be ready within 6 s.
LIST_TIMEOUT_S = 3.0
#: Descriptors beyond those in use that a leaving process may need: each open request may be retried.
LEAVING_SPARE_SOCKETS = 16
#: Descriptors beyond those in use that an old process may still open.
OLD_SPARE_SOCKETS = 32


class Phase(IntEnum):
    """Phase of a process beside others; see the table above."""

    ALONE = 0
    NEW = 1
    NEXT = 2
    OLD = 3
    LEAVING = 4


#: Phases in which a process accepts clients.
ACCEPTING = frozenset((Phase.ALONE, Phase.NEXT, Phase.OLD))


class Observation(NamedTuple):
    """Holds what a process knows about itself and the others.

    Attributes:
        age: Seconds since its start.
        listed: Whether it has an endpoint list.
        fresh: Whether it has received a list from discovery itself.
        elders: Whether a process that was running when this one started is still running.
        others: Descriptors that each other running process claims.
        ending: Whether it was told to end.
        used: Descriptors in use.
    """

    age: float
    listed: bool
    fresh: bool
    elders: bool
    others: Sequence[int]
    ending: bool
    used: int


def phase(observation: Observation) -> Phase:
    """Return the phase of a process. If all others have ended it is ALONE again."""
    if observation.ending:
        return Phase.LEAVING
    if not observation.others:
        return Phase.ALONE
    if not observation.elders:
        return Phase.OLD
    may_serve = observation.fresh or observation.age >= LIST_TIMEOUT_S
    return Phase.NEXT if observation.listed and may_serve else Phase.NEW


def start_sockets(sockets: int) -> int:
    """Return the descriptors that a new process may use in any case, out of `sockets` for all processes."""
    return min(START_SOCKETS, int(sockets * MAX_START_SHARE))


def share(current: Phase, observation: Observation, sockets: int) -> int:
    """Return the descriptors that a process may use, out of `sockets` for all processes.

    No process takes those that another one claims. The sum stays within `sockets`, except for descriptors that a
    process had open already when another one started; these are released as requests end.
    """
    if not observation.others:
        return sockets
    kept = start_sockets(sockets)
    unclaimed = max(kept, sockets - sum(observation.others))
    if current == Phase.NEW:
        return kept
    if current == Phase.OLD:
        wanted = max(sockets // 3, observation.used + OLD_SPARE_SOCKETS)
        return min(wanted, sockets - kept, max(unclaimed, sockets // 2))
    if current == Phase.LEAVING:
        return min(sockets - kept, observation.used + LEAVING_SPARE_SOCKETS)
    return unclaimed
