"""Reports of the membership view for the administrative API: a row for each member, and a summary.

A view is *settled* if nothing has changed for the `settle_time` timer, no member is suspected, and no living member
that has reported a digest since the last change reports a different one; at least MIN_AGREEING of them (in a smaller
fleet all) must have reported.
"""

from __future__ import annotations

import math
from typing import NamedTuple, TypedDict

from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.membership.member_table import Peer
from loadbalancer.fleet.membership.view import MembershipView

#: Members whose digests must agree before a view counts as settled; in a smaller fleet all of them.
MIN_AGREEING = 3


class MemberRow(TypedDict):
    """Describes one member as this instance records it.

    `since_s` is the time in its current status and `heard_s` the time since its last message, in seconds; None if there
    was none. `agrees` is whether its digest equals this instance's, None if it has reported none since the last change.
    `suspicion` states who suspects it and when it is declared dead, None if it is not suspected.
    """

    instance: str
    state: str
    address: str
    zone: str | None
    life: int
    incarnation: int
    boot: str
    since_s: float | None
    heard_s: float | None
    agrees: bool | None
    suspicion: str | None


class ViewStatus(TypedDict):
    """Summarizes the membership view.

    `digest` covers name, boot id and incarnation of all living members; `unchanged_s` is its age in seconds. `living`
    includes this instance while it is a member; `should_be` is the configured size. `agree` and `differ` are the
    numbers of members that have reported the same or another digest since the last change. `doubt` is the local health
    score.
    """

    instance: str
    state: str
    settled: bool
    digest: str
    unchanged_s: float | None
    living: int
    suspected: int
    dead: int
    left: int
    should_be: int
    agree: int
    differ: int
    doubt: int
    names_refused: int
    counts: dict[str, int]


class DigestAgreement(NamedTuple):
    """Counts of the living members that have reported a digest since this instance's own last changed."""

    same: int
    other: int


def digest_agreement(view: MembershipView) -> DigestAgreement:
    """Count the living members that have reported the same digest, and those that have reported another one."""
    answers = [_agrees(view, peer) for peer in view.table.living]
    return DigestAgreement(answers.count(True), answers.count(False))


def _agrees(view: MembershipView, peer: Peer) -> bool | None:
    if peer.digest_at <= view.table.changed_at:
        return None
    return peer.digest == view.table.digest


def is_settled(view: MembershipView, now: float) -> bool:
    """Return whether the view has settled. An instance without living peers needs no agreement."""
    if not view.joined or now - view.table.changed_at < view.timers.settle_time:
        return False
    living = view.table.living
    if any(peer.state.status == MemberStatus.SUSPECT for peer in living):
        return False
    agreement = digest_agreement(view)
    return agreement.other == 0 and agreement.same >= min(len(living), MIN_AGREEING)


def rows(view: MembershipView, now: float) -> list[MemberRow]:
    """Return a row for each member: this instance first, then the others by status and name."""
    peers = sorted(view.table, key=lambda peer: (peer.state.status, peer.state.name))
    return [_own_row(view), *(_peer_row(view, peer, now) for peer in peers)]


def _own_row(view: MembershipView) -> MemberRow:
    row = _state_row(view.own_state)
    row["state"] = view.state.value
    row["since_s"] = 0.0
    row["heard_s"] = 0.0
    row["agrees"] = True
    return row


def _peer_row(view: MembershipView, peer: Peer, now: float) -> MemberRow:
    row = _state_row(peer.state)
    row["since_s"] = _age(peer.status_since, now)
    row["heard_s"] = _age(peer.last_heard_at, now)
    row["agrees"] = _agrees(view, peer)
    if peer.state.status == MemberStatus.SUSPECT:
        remaining_s = peer.suspicion.expires_at(view.timers, view.fleet_size) - now
        reporters = ", ".join(sorted(peer.suspicion.reporters))
        row["suspicion"] = f"by {reporters}; dead in {max(0.0, remaining_s):.1f} s"
    return row


def _state_row(state: MemberState) -> MemberRow:
    """Return the row of a member state; the observed fields are None."""
    return {
        "instance": state.name,
        "state": state.status.name.lower(),
        "address": f"{state.host}:{state.port}",
        "zone": state.zone or None,
        "life": state.generation,
        "incarnation": state.incarnation,
        "boot": f"{state.boot:016x}",
        "since_s": None,
        "heard_s": None,
        "agrees": None,
        "suspicion": None,
    }


def _age(at: float, now: float) -> float | None:
    return round(now - at, 1) if math.isfinite(at) else None


def status(view: MembershipView, now: float) -> ViewStatus:
    """Return the summary of the view."""
    table = view.table
    statuses = [peer.state.status for peer in table]
    agreement = digest_agreement(view)
    return {
        "instance": view.identity.name,
        "state": view.state.value,
        "settled": is_settled(view, now),
        "digest": f"{table.digest:016x}",
        "unchanged_s": _age(table.changed_at, now),
        "living": view.fleet_size if view.joined else len(table.living),
        "suspected": statuses.count(MemberStatus.SUSPECT),
        "dead": statuses.count(MemberStatus.DEAD),
        "left": statuses.count(MemberStatus.LEFT),
        "should_be": view.settings.instances,
        "agree": agreement.same,
        "differ": agreement.other,
        "doubt": view.health.score,
        "names_refused": table.refused,
        "counts": dict(sorted(view.counters.items())),
    }
