"""Traffic migration between pools: keys and sessions stay with their pool, other requests are assigned at random."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.routing.traffic_migration import Migration, Migrations

WINDOW = 3.0


def make_migrations(share: float = 0.5, at: float = 100.0, max_keys: int = 1000) -> Migrations:
    """Return a running migration of a share of the traffic to pool q."""
    migrations = Migrations(WINDOW, max_keys)
    migrations.set_migration(Migration("q", share, at=at), at)
    return migrations


def test_without_a_migration_requests_stay_and_no_key_is_recorded() -> None:
    migrations = Migrations(WINDOW)
    assert migrations.is_idle(0.0) and migrations.assign(1.0, 0.0, b"k") is None and len(migrations) == 0


def test_requests_without_a_key_follow_the_random_draw() -> None:
    migrations = make_migrations(0.25)
    pools = [migrations.assign(101.0, n / 1000, None) for n in range(1000)]
    assert pools.count("q") == 250
    migrations.set_migration(None, 102.0)
    assert migrations.assign(102.0, 0.0, None) is None


def test_a_session_stays_with_the_pool_of_its_member() -> None:
    migrations = make_migrations(0.5)
    assert migrations.assign(101.0, 0.0, None, at_home=True) is None
    assert migrations.assign(101.0, 0.99, None, at_home=False) == "q"


def test_keys_stay_for_one_window_and_then_follow_their_digest() -> None:
    migrations = make_migrations(0.5, max_keys=10_000)
    assert {migrations.assign(100.0 + n / 1000, 0.0, b"%d" % n) for n in range(2999)} == {None}
    pools_after = [migrations.assign(103.0, 0.0, b"later-%d" % n) for n in range(400)]
    assert 150 < pools_after.count("q") < 250
    assert pools_after == [migrations.assign(104.0, 0.99, b"later-%d" % n) for n in range(400)]


def test_a_key_that_does_not_fit_into_the_table_stays_with_its_own_pool() -> None:
    migrations = make_migrations(1.0, max_keys=10)
    for n in range(10):
        migrations.assign(103.5, 0.0, b"%d" % n)
    assert migrations.assign(104.0, 0.0, b"more") is None and len(migrations) == 10
    # There is room again, but the key may have been used in the meantime without being recorded.
    assert migrations.assign(106.8, 0.0, b"more") is None
    assert migrations.assign(111.0, 0.0, b"new") == "q"


def test_a_restarted_process_assigns_keys_as_the_one_before() -> None:
    before, after = make_migrations(0.5), Migrations(WINDOW)
    keys = [b"%d" % n for n in range(300)]
    pools = [before.assign(110.0, 0.0, key) for key in keys]
    assert before.current is not None
    after.resume(before.current)
    assert pools == [after.assign(111.0, 0.0, key) for key in keys]


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("configure"), st.sampled_from([0.0, 0.3, 0.7, 1.0])),
        st.tuples(st.just("request"), st.integers(0, 5)),
        st.tuples(st.just("wait"), st.floats(0.0, 4.0)),
    ),
    max_size=60,
)


@given(STEPS, st.integers(1, 8))
def test_no_key_goes_to_two_pools_within_its_window(steps: list[tuple[str, float]], max_keys: int) -> None:
    """Check this for any changes by operators and any table size.

    A window starts with the first use of a key; the first use after its end starts another window.
    """
    migrations, now = Migrations(WINDOW, max_keys), 100.0
    first_uses: dict[bytes, tuple[float, str | None]] = {}
    for action, value in steps:
        if action == "wait":
            now += value
        elif action == "configure":
            migrations.set_migration(Migration("q", value, at=now) if value else None, now)
        else:
            key = b"key-%d" % value
            pool = migrations.assign(now, 0.0, key)
            began, previous_pool = first_uses.get(key, (-1e9, None))
            if now < began + WINDOW:
                assert pool == previous_pool
            else:
                first_uses[key] = now, pool
