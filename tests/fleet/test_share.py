"""How many instances decisions count with, while the view moves."""

from __future__ import annotations

from loadbalancer.fleet.orchestration.fleet_size import FleetSize


def followed(share: FleetSize, seconds: float, living: int, settled: bool, now: float) -> float:
    for _ in range(int(seconds * 4)):
        now += 0.25
        share.step(now, living, settled)
    return now


def test_until_a_view_has_settled_the_configuration_counts() -> None:
    share = FleetSize(8)
    assert share.step(1.0, 1, False).instances == 8
    assert share.step(2.0, 1, False).standing == "configured"
    assert share.step(3.0, 8, True).standing == "settled"


def test_one_that_is_cut_off_keeps_the_last_settled_number_and_never_counts_one() -> None:
    share = FleetSize(8)
    now = followed(share, 5, 8, True, 0.0)
    now = followed(share, 60, 1, True, now)
    assert share.number == 8 and share.standing == "cut off"
    now = followed(share, 5, 8, True, now)
    assert (share.number, share.standing) == (8, "settled")


def test_a_loss_is_followed_in_steps_and_a_gain_at_once() -> None:
    share = FleetSize(40)
    now = followed(share, 5, 40, True, 0.0)
    seen = []
    for _ in range(30):
        now = followed(share, 1, 30, True, now)
        seen.append(share.number)
    assert seen[-1] == 30 and seen == sorted(seen, reverse=True)
    assert all(after >= 0.7 * before for before, after in zip(seen, seen[1:], strict=False))
    followed(share, 0.25, 44, True, now)
    assert share.number == 44


def test_a_view_that_flaps_moves_little() -> None:
    share = FleetSize(8)
    now = followed(share, 5, 8, True, 0.0)
    for turn in range(60):
        now = followed(share, 1, 8 if turn % 2 else 7, turn % 2 == 0, now)
    assert share.number in (7, 8)


def test_half_of_the_fleet_that_stays_away_is_believed_in_the_end() -> None:
    share = FleetSize(8, believe_s=600.0)
    now = followed(share, 5, 8, True, 0.0)
    now = followed(share, 590, 4, True, now)
    assert share.number == 8
    now = followed(share, 60, 4, True, now)
    assert share.number == 4
    followed(share, 60, 1, True, now)
    assert share.number == 4
