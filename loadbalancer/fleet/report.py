"""What an instance tells of its view: rows and figures, as JSON has them, and whether the view has settled. Pure."""

from __future__ import annotations

import math
from typing import Any

from loadbalancer.fleet.membership.member_state import MemberStatus
from loadbalancer.fleet.membership.member_table import Peer
from loadbalancer.fleet.membership.view import MembershipView

#: Of a large fleet, so many that were heard since and agree are enough to call a view settled.
WITNESSES = 3


def agreeing(view: MembershipView) -> tuple[int, int]:
    """How many of the living have told the digest that we hold since it was last changed, and how many another."""
    same = other = 0
    for peer in view.table.living:
        if peer.digest_at > view.table.changed_at:
            if peer.digest == view.table.digest:
                same += 1
            else:
                other += 1
    return same, other


def is_settled(view: MembershipView, now: float) -> bool:
    """Unchanged for `hold`, nobody is suspected, and those heard of late hold the same. One that is alone is settled
    with itself."""
    if not view.joined or now - view.table.changed_at < view.timers.hold:
        return False
    living = view.table.living
    if any(peer.state.status == MemberStatus.SUSPECT for peer in living):
        return False
    same, other = agreeing(view)
    return other == 0 and same >= min(len(living), WITNESSES)


def rows(view: MembershipView, now: float) -> list[dict[str, Any]]:
    """A row for each name, this instance first, then the living, then the rest."""
    mine = view.own_state
    found = [
        {
            "instance": mine.name,
            "state": view.state.value,
            "address": f"{mine.host}:{mine.port}",
            "zone": mine.zone or None,
            "life": mine.generation,
            "incarnation": mine.incarnation,
            "boot": f"{mine.boot:016x}",
            "since_s": 0.0,
            "heard_s": 0.0,
            "agrees": True,
            "suspicion": None,
        }
    ]
    order = sorted(view.table, key=lambda peer: (peer.state.status, peer.state.name))
    return found + [_row(view, peer, now) for peer in order]


def _row(view: MembershipView, peer: Peer, now: float) -> dict[str, Any]:
    fact = peer.state
    suspicion = None
    if fact.status == MemberStatus.SUSPECT:
        left = peer.suspicion.expires_at(view.timers, view.fleet_size) - now
        suspicion = f"by {', '.join(sorted(peer.suspicion.reporters))}; dead in {max(0.0, left):.1f} s"
    return {
        "instance": fact.name,
        "state": fact.status.name.lower(),
        "address": f"{fact.host}:{fact.port}",
        "zone": fact.zone or None,
        "life": fact.generation,
        "incarnation": fact.incarnation,
        "boot": f"{fact.boot:016x}",
        "since_s": _age(peer.status_since, now),
        "heard_s": _age(peer.last_heard_at, now),
        "agrees": None if peer.digest_at <= view.table.changed_at else peer.digest == view.table.digest,
        "suspicion": suspicion,
    }


def _age(at: float, now: float) -> float | None:
    return round(now - at, 1) if math.isfinite(at) else None


def status(view: MembershipView, now: float) -> dict[str, Any]:
    """The view in figures. `digest`: over name, boot and incarnation of all that live."""
    standings = [peer.state.status for peer in view.table]
    same, other = agreeing(view)
    return {
        "instance": view.identity.name,
        "state": view.state.value,
        "settled": is_settled(view, now),
        "digest": f"{view.table.digest:016x}",
        "unchanged_s": _age(view.table.changed_at, now),
        "living": view.fleet_size if view.joined else len(view.table.living),
        "suspected": standings.count(MemberStatus.SUSPECT),
        "dead": standings.count(MemberStatus.DEAD),
        "left": standings.count(MemberStatus.LEFT),
        "should_be": view.settings.instances,
        "agree": same,
        "differ": other,
        "doubt": view.health.score,
        "names_refused": view.table.refused,
        "counts": dict(sorted(view.counters.items())),
    }
