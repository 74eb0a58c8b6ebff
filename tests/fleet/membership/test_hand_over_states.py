"""A successor reports every member state that it takes over, and ends each suspicion that nobody refutes."""

from __future__ import annotations

import random

import pytest

from loadbalancer.fleet import report
from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.membership.events import TimerExpired
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.settings import Identity, Settings

REPORTERS = ("", "x", "a", "m1")


def random_states(source: random.Random) -> list[MemberState]:
    """Return up to twelve member states with random status and reporter."""
    return [
        MemberState(
            f"m{number}",
            number + 1,
            source.randint(1, 3),
            source.randrange(3),
            source.choice(list(MemberStatus)),
            "10.0.0.2",
            number + 1,
            reported_by=source.choice(REPORTERS),
        )
        for number in range(source.randint(0, 12))
    ]


def resumed_view(states: list[MemberState], now: float, boot: int) -> MembershipView:
    view = MembershipView(Identity("a", boot, ("10.0.0.1", 1)), Settings(instances=5), boot)
    view.resume(now, 3, states)
    return view


# After a hot restart a suspect that was taken over must not break the report and the timers, or stay suspect for ever.
@pytest.mark.parametrize("seed", range(100))
def test_handed_over_states_are_reported_and_suspicions_expire(seed: int) -> None:
    view = resumed_view(random_states(random.Random(seed)), 1.0, 5)
    view = resumed_view(view.hand_over()[1], 2.0, 6)
    suspects = {peer.state.name for peer in view.table.living if peer.state.status == MemberStatus.SUSPECT}

    rows = {row["instance"]: row for row in report.rows(view, 2.1)}
    assert {name for name, row in rows.items() if row["suspicion"]} == suspects
    assert report.status(view, 2.1)["suspected"] == len(suspects)

    for second in range(3, 200):
        view.handle(float(second), TimerExpired())
        report.rows(view, float(second))
    assert not any(peer.state.status == MemberStatus.SUSPECT for peer in view.table)
