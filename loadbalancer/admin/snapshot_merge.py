"""What several survivors have learnt of members, made one: so that one that is wrong, or lies, does not decide. Pure.

Of each figure of a member the median counts of those who know the member in the same life; with two the worse of
both, since a sick member that is taken for a sound one costs requests, and the other way round only its share for a
while. The level of refusing and the usual times of classes are medians too. What is older than its bound is nobody's
word.
"""

from __future__ import annotations

from typing import Sequence

from msgspec import structs

from loadbalancer.admin.snapshot import AGE_MOST, EndpointSnapshot, PoolSnapshot, Snapshot

#: Known by fewer than this part of those asked, a figure counts as unknown.
KNOWN = 0.5


def middle(values: Sequence[float]) -> float:
    """The median; of an even number the greater of the two in the middle."""
    return sorted(values)[len(values) // 2]


def combine(snapshots: Sequence[Snapshot], now: float) -> Snapshot | None:
    """Those that are young enough, as one at time `now`; None for none. No marks pass here: those are the state's."""
    young = [one for one in snapshots if -1.0 <= now - one.at <= AGE_MOST]
    if not young:
        return None
    names = sorted({pool.name for one in young for pool in one.pools})
    pools = [
        _pool(name, [pool for one in young for pool in one.pools if pool.name == name]) for name in names
    ]
    return Snapshot(min(one.at for one in young), pools)


def _pool(name: str, notes: Sequence[PoolSnapshot]) -> PoolSnapshot:
    least = KNOWN * len(notes)
    by_member: dict[str, list[EndpointSnapshot]] = {}
    for note in notes:
        for member in note.members:
            by_member.setdefault(member.id, []).append(member)
    members = [
        _member(same) for known in by_member.values() if (same := _same_life(known)) and len(same) >= least
    ]
    classes = {cls for note in notes for cls in note.usual}
    usual = {cls: middle([note.usual[cls] for note in notes if cls in note.usual]) for cls in sorted(classes)}
    return PoolSnapshot(name, members, usual, middle([note.shed_level for note in notes]), {}, None)


def _same_life(notes: Sequence[EndpointSnapshot]) -> list[EndpointSnapshot]:
    """Of the latest start that any of them knows."""
    latest = max(note.started for note in notes)
    return [note for note in notes if note.started == latest]


def _member(notes: Sequence[EndpointSnapshot]) -> EndpointSnapshot:
    errors = sorted(notes, key=lambda note: note.errors)[len(notes) // 2]
    pace = sorted(notes, key=lambda note: note.pace)[len(notes) // 2]
    util = sorted(notes, key=lambda note: note.util)[len(notes) // 2]
    return structs.replace(
        errors,
        util=util.util,
        util_age=util.util_age,
        pace=pace.pace,
        pace_age=pace.pace_age,
        failed=int(middle([note.failed for note in notes])),
        began_age=min(note.began_age for note in notes),
    )
