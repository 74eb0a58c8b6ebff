"""A share of a pool's traffic that goes elsewhere: keys and sessions stay, the rest is drawn."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.routing.traffic_migration import Migration, Migrations

WINDOW = 3.0


def moves(share: float = 0.5, at: float = 100.0, most: int = 1000) -> Migrations:
    made = Migrations(WINDOW, most)
    made.say(Migration("q", share, at=at), at)
    return made


def test_nothing_is_moved_and_nothing_noted_until_somebody_says_so() -> None:
    made = Migrations(WINDOW)
    assert made.is_idle(0.0) and made.place(1.0, 0.0, b"k") is None and len(made) == 0


def test_what_has_no_key_goes_by_the_draw() -> None:
    made = moves(0.25)
    found = [made.place(101.0, n / 1000, None) for n in range(1000)]
    assert found.count("q") == 250
    made.say(None, 102.0)
    assert made.place(102.0, 0.0, None) is None


def test_a_session_stays_where_its_member_is() -> None:
    made = moves(0.5)
    assert made.place(101.0, 0.0, None, at_home=True) is None
    assert made.place(101.0, 0.99, None, at_home=False) == "q"


def test_keys_stay_at_home_for_a_window_and_then_go_by_their_digest() -> None:
    made = moves(0.5, most=10_000)
    assert {made.place(100.0 + n / 1000, 0.0, b"%d" % n) for n in range(2999)} == {None}
    later = [made.place(103.0, 0.0, b"later-%d" % n) for n in range(400)]
    assert 150 < later.count("q") < 250
    assert later == [made.place(104.0, 0.99, b"later-%d" % n) for n in range(400)]


def test_a_full_table_sends_home_what_it_can_not_note() -> None:
    made = moves(1.0, most=10)
    for n in range(10):
        made.place(103.5, 0.0, b"%d" % n)
    assert made.place(104.0, 0.0, b"more") is None and len(made) == 10
    assert made.place(106.8, 0.0, b"more") is None  # room again, but who knows what was used meanwhile
    assert made.place(111.0, 0.0, b"new") == "q"


def test_a_process_that_starts_anew_places_keys_as_the_one_before() -> None:
    before, after = moves(0.5), Migrations(WINDOW)
    keys = [b"%d" % n for n in range(300)]
    found = [before.place(110.0, 0.0, key) for key in keys]
    assert before.move is not None
    after.resume(before.move)
    assert found == [after.place(111.0, 0.0, key) for key in keys]


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("say"), st.sampled_from([0.0, 0.3, 0.7, 1.0])),
        st.tuples(st.just("ask"), st.integers(0, 5)),
        st.tuples(st.just("wait"), st.floats(0.0, 4.0)),
    ),
    max_size=60,
)


@given(STEPS, st.integers(1, 8))
def test_no_key_meets_two_pools_within_its_window(steps: list[tuple[str, float]], most: int) -> None:
    """Whatever operators change and however small the table is. A window begins with the first use of a key; it is
    used anew after that."""
    made, now = Migrations(WINDOW, most), 100.0
    first: dict[bytes, tuple[float, str | None]] = {}
    for what, value in steps:
        if what == "wait":
            now += value
        elif what == "say":
            made.say(Migration("q", value, at=now) if value else None, now)
        else:
            key = b"key-%d" % value
            where = made.place(now, 0.0, key)
            began, before = first.get(key, (-1e9, None))
            if now < began + WINDOW:
                assert where == before
            else:
                first[key] = now, where
