"""What a process is while another one of the same proxy lives, and what it may do and hold.

The processes count as one proxy, with one set of limits between them.

| phase | it is that | accepts | is ready | holds descriptors |
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
START_SOCKETS = 64
#: And at most this share of all, where there are few.
MAX_START_SHARE = 0.2
#: For so long a new process waits for a list from discovery; then it serves with the one that it was given, since it
#: must be ready within 6 s.
LIST_TIMEOUT_S = 3.0
#: Descriptors beyond those in use that a leaving process may need: each open request may be retried.
LEAVING_SPARE_SOCKETS = 16
#: Descriptors by which an old process may grow.
OLD_SPARE_SOCKETS = 32


class Phase(IntEnum):
    """What a process is beside others; see the table above."""

    ALONE = 0
    NEW = 1
    NEXT = 2
    OLD = 3
    LEAVING = 4


#: Phases in which a process accepts clients.
ACCEPTING = frozenset((Phase.ALONE, Phase.NEXT, Phase.OLD))


class Observation(NamedTuple):
    """What a process knows of itself and of the others.

    Attributes:
        age: Seconds since its start.
        listed: Whether it has an endpoint list.
        fresh: Whether it has a list from discovery itself.
        elders: Whether a process that lived at its start lives still.
        others: Descriptors that each other living process claims.
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
    """The phase of a process. One whose elder or successor has died is alone again."""
    if observation.ending:
        return Phase.LEAVING
    if not observation.others:
        return Phase.ALONE
    if not observation.elders:
        return Phase.OLD
    may_serve = observation.fresh or observation.age >= LIST_TIMEOUT_S
    return Phase.NEXT if observation.listed and may_serve else Phase.NEW


def start_sockets(sockets: int) -> int:
    """Descriptors that a new process has in any case, of so many for all."""
    return min(START_SOCKETS, int(sockets * MAX_START_SHARE))


def share(current: Phase, observation: Observation, sockets: int) -> int:
    """Descriptors that a process may hold, of so many for all processes.

    No process takes what another one claims. The sum is within `sockets` but for what a process held already when
    another one came; that shrinks as requests end.
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
