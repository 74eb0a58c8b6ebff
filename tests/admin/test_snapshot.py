"""What a daemon has learnt, handed over: what passes, what does not, and what is damaged."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from policy_scene import SAFE, make_balancer, make_entries

from loadbalancer.admin.snapshot import (
    MAX_AGE_S,
    MAX_SNAPSHOT_BYTES,
    Snapshot,
    SnapshotError,
    decode,
    encode,
    is_recent,
    restore_pool,
    snapshot_pool,
)  # fmt: skip
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.policy.actions import (
    Send,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
    Outcome,
    Request,
)
from loadbalancer.policy.settings import (
    PolicySettings,
)
from loadbalancer.routing.traffic_migration import Migration

NOW = 104.5


def ask(b: Balancer, now: float, number: int) -> str:
    return next(a.endpoint for a in b.handle(now, [Request(number, 0, 4.0)]) if isinstance(a, Send))


def sick(count: int = 6, bad: str = "s0") -> Balancer:
    """A balancer for which one member fails each request."""
    b = make_balancer(*make_entries(count))
    for number in range(400):
        now = 100.0 + number * 0.01
        server = ask(b, now, number)
        result = AttemptResult.RESET if server == bad else AttemptResult.SERVED
        b.handle(now + 0.005, [Outcome(number, 0, server, result, 0.005, True, {"utilization": 0.4})])
    return b


def handed_over(b: Balancer, now: float, passed: float, *entries: EndpointEntry) -> Balancer:
    note = decode(encode(Snapshot(now, [snapshot_pool("p", b, now, {}, None)]))).pools[0]
    made = make_balancer(*entries, seed=2)
    restore_pool(note, made, now + passed, passed)
    return made


def shares(b: Balancer, now: float, count: int = 600) -> dict[str, int]:
    found: dict[str, int] = {}
    for number in range(count):
        server = ask(b, now, 10_000 + number)
        found[server] = found.get(server, 0) + 1
        b.handle(now, [Outcome(10_000 + number, 0, server, AttemptResult.SERVED, 0.005, True)])
    return found


def test_a_member_that_failed_is_left_out_by_the_successor_too() -> None:
    old = sick()
    fresh = make_balancer(*make_entries(6), seed=2)
    made = handed_over(old, NOW, 1.0, *make_entries(6))
    assert shares(fresh, NOW + 1.0).get("s0", 0) > 50  # as if all were well
    assert made.typical_latency[0] == old.typical_latency[0] > 0
    assert shares(made, NOW + 1.0).get("s0", 0) < 5
    assert made.endpoints["s1"].time_per_attempt > 0


def test_a_cold_member_stays_cold_for_the_successor() -> None:
    """Its source states no start; only the old process saw it appear."""
    old = make_balancer(*make_entries(3))
    old.handle(102.0, [])
    entry = EndpointEntry("new", started=102.0)
    old.registry.apply_entry(entry)
    made = handed_over(old, NOW, 1.0, *make_entries(3), EndpointEntry("new"))
    assert made.endpoints["new"].warming_since() == pytest.approx(102.0)
    assert made.endpoints["s0"].warming_since() <= 0
    plain = make_balancer(*make_entries(3), EndpointEntry("new"), seed=2)
    assert plain.endpoints["new"].warming_since() <= 0


def test_another_life_of_a_member_is_not_blamed() -> None:
    old = sick()
    again = [EndpointEntry("s0", started=104.0), *make_entries(6)[1:]]
    made = handed_over(old, NOW, 1.0, *again)
    assert made.endpoints["s0"].error_rate == 0.0 and made.endpoints["s0"].consecutive_failures == 0


def test_what_was_learnt_fades_from_its_own_time_on() -> None:
    old = sick()
    made = handed_over(old, NOW, 5.0, *make_entries(6))
    a, b = old.endpoints["s1"], made.endpoints["s1"]
    assert b.utilization == a.utilization and b.utilization_at == pytest.approx(a.utilization_at)
    assert b.time_per_attempt_at == pytest.approx(a.time_per_attempt_at)


def test_members_and_classes_that_are_not_there_are_passed_over() -> None:
    note = snapshot_pool("p", sick(), NOW, {}, None)
    made = Balancer(PolicySettings(classes=(SAFE,)), 1)
    assert restore_pool(note, made, NOW, 0.0) == 0 and made.typical_latency[0] > 0


def test_marks_and_a_move_pass() -> None:
    marks = {"a": AdminOverride(word="cordon", by="rita", until=5.0, address=("127.0.0.1", 9))}
    note = snapshot_pool("p", sick(), NOW, marks, Migration("q", 0.2, by="rita"))
    found = decode(encode(Snapshot(NOW, [note]))).pools[0]
    assert found.overrides == marks and found.migration == Migration("q", 0.2, by="rita")


def test_age() -> None:
    made = Snapshot(100.0, [])
    assert is_recent(made, 100.0) and is_recent(made, 100.0 + MAX_AGE_S)
    assert not is_recent(made, 100.1 + MAX_AGE_S) and not is_recent(made, 90.0)


def test_cut_or_flipped_at_every_byte_it_is_no_snapshot() -> None:
    data = encode(
        Snapshot(NOW, [snapshot_pool("p", sick(2), NOW, {"s0": AdminOverride(word="drain")}, None)])
    )
    decode(data)
    for place in range(len(data)):
        with pytest.raises(SnapshotError):
            decode(data[:place])
        with pytest.raises(SnapshotError):
            decode(data[:place] + bytes([data[place] ^ 0x55]) + data[place + 1 :])
    with pytest.raises(SnapshotError, match="at most"):
        decode(bytes(MAX_SNAPSHOT_BYTES + 1))


@given(st.binary(max_size=200))
def test_bytes_with_a_good_checksum_are_checked_all_the_same(body: bytes) -> None:
    from crc32c import crc32c

    from loadbalancer.admin.snapshot import MAGIC

    with pytest.raises(SnapshotError):
        decode(MAGIC + crc32c(body).to_bytes(4, "big") + body)


@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf])
def test_figures_that_can_not_be_change_nothing_for_good(value: float) -> None:
    b = sick()
    note = snapshot_pool("p", b, NOW, {}, None)
    broken: Any = msgspec.structs.replace(
        note,
        shed_level=value,
        usual_times={"safe": value},
        endpoints=[
            msgspec.structs.replace(
                m,
                error_rate=value,
                utilization=value,
                time_per_attempt=value,
                error_rate_age=value,
                utilization_age=value,
                time_per_attempt_age=value,
                warming_age=value,
                error_rate_by_class={"safe": (value, value)},
            )
            for m in note.endpoints
        ],
    )
    made = make_balancer(*make_entries(6), seed=2)
    restore_pool(broken, made, NOW, 1.0)
    assert len(shares(made, NOW + 1.0)) == 6
    assert all(math.isfinite(s.error_rate) and math.isfinite(s.utilization) for s in made.endpoints.values())
