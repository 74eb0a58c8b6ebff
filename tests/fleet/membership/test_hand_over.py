"""Reports of a membership view that was resumed from the states that a previous process handed over."""

from __future__ import annotations

from loadbalancer.fleet import report
from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.settings import Identity, Settings


def test_a_suspect_that_was_handed_over_is_reported() -> None:
    view = MembershipView(Identity("a", 5, ("10.0.0.1", 1)), Settings(instances=5), 1)
    states = [
        MemberState("m0", 1, 1, 0, MemberStatus.SUSPECT, "10.0.0.2", 1, reported_by="x"),
        MemberState("m1", 2, 1, 0, MemberStatus.ALIVE, "10.0.0.3", 1),
        MemberState("m2", 3, 1, 0, MemberStatus.ALIVE, "10.0.0.4", 1),
    ]

    view.resume(1.0, 3, states)

    rows = report.rows(view, 1.1)
    assert {row["instance"] for row in rows} >= {"m0", "m1", "m2"}
