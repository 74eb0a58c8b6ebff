"""Tests of snapshots: what a successor restores, what it ignores, and how damaged snapshots are rejected."""

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


def send_request(balancer: Balancer, now: float, number: int) -> str:
    """Return the endpoint that the balancer selects for a request."""
    return next(
        action.endpoint
        for action in balancer.handle(now, [Request(number, 0, 4.0)])
        if isinstance(action, Send)
    )


def balancer_with_failing_endpoint(count: int = 6, failing: str = "s0") -> Balancer:
    """Return a balancer that has seen one endpoint fail every request."""
    balancer = make_balancer(*make_entries(count))
    for number in range(400):
        now = 100.0 + number * 0.01
        server = send_request(balancer, now, number)
        result = AttemptResult.RESET if server == failing else AttemptResult.SERVED
        balancer.handle(now + 0.005, [Outcome(number, 0, server, result, 0.005, True, {"utilization": 0.4})])
    return balancer


def restored_copy(balancer: Balancer, now: float, passed: float, *entries: EndpointEntry) -> Balancer:
    """Return a new balancer that restores a snapshot of another one, `passed` seconds after it was taken."""
    snapshot = decode(encode(Snapshot(now, [snapshot_pool("p", balancer, now, {}, None)]))).pools[0]
    restored = make_balancer(*entries, seed=2)
    restore_pool(snapshot, restored, now + passed, passed)
    return restored


def count_by_endpoint(balancer: Balancer, now: float, count: int = 600) -> dict[str, int]:
    """Return how many of some requests the balancer sends to each endpoint."""
    found: dict[str, int] = {}
    for number in range(count):
        server = send_request(balancer, now, 10_000 + number)
        found[server] = found.get(server, 0) + 1
        balancer.handle(now, [Outcome(10_000 + number, 0, server, AttemptResult.SERVED, 0.005, True)])
    return found


def test_a_failing_endpoint_is_avoided_after_a_restore() -> None:
    old = balancer_with_failing_endpoint()
    fresh = make_balancer(*make_entries(6), seed=2)
    restored = restored_copy(old, NOW, 1.0, *make_entries(6))
    # Without a snapshot, s0 is selected as often as others.
    assert count_by_endpoint(fresh, NOW + 1.0).get("s0", 0) > 50
    assert restored.typical_latency[0] == old.typical_latency[0] > 0
    assert count_by_endpoint(restored, NOW + 1.0).get("s0", 0) < 5
    assert restored.endpoints["s1"].time_per_attempt > 0


def test_an_endpoint_that_is_warming_up_stays_so_after_a_restore() -> None:
    """The source states no start of the endpoint; only the old process knows when it appeared."""
    old = make_balancer(*make_entries(3))
    old.handle(102.0, [])
    entry = EndpointEntry("new", started=102.0)
    old.registry.apply_entry(entry)
    restored = restored_copy(old, NOW, 1.0, *make_entries(3), EndpointEntry("new"))
    assert restored.endpoints["new"].warming_since() == pytest.approx(102.0)
    assert restored.endpoints["s0"].warming_since() <= 0
    plain = make_balancer(*make_entries(3), EndpointEntry("new"), seed=2)
    assert plain.endpoints["new"].warming_since() <= 0


def test_failures_of_an_earlier_start_of_an_endpoint_are_not_restored() -> None:
    old = balancer_with_failing_endpoint()
    again = [EndpointEntry("s0", started=104.0), *make_entries(6)[1:]]
    restored = restored_copy(old, NOW, 1.0, *again)
    assert restored.endpoints["s0"].error_rate == 0.0 and restored.endpoints["s0"].consecutive_failures == 0


def test_restored_samples_keep_the_time_of_their_measurement() -> None:
    old = balancer_with_failing_endpoint()
    restored = restored_copy(old, NOW, 5.0, *make_entries(6))
    before, after = old.endpoints["s1"], restored.endpoints["s1"]
    assert after.utilization == before.utilization and after.utilization_at == pytest.approx(
        before.utilization_at
    )
    assert after.time_per_attempt_at == pytest.approx(before.time_per_attempt_at)


def test_unknown_endpoints_and_classes_are_skipped() -> None:
    snapshot = snapshot_pool("p", balancer_with_failing_endpoint(), NOW, {}, None)
    restored = Balancer(PolicySettings(classes=(SAFE,)), 1)
    assert restore_pool(snapshot, restored, NOW, 0.0) == 0 and restored.typical_latency[0] > 0


def test_overrides_and_a_migration_are_restored() -> None:
    overrides = {"a": AdminOverride(word="cordon", by="rita", until=5.0, address=("127.0.0.1", 9))}
    snapshot = snapshot_pool(
        "p", balancer_with_failing_endpoint(), NOW, overrides, Migration("q", 0.2, by="rita")
    )
    found = decode(encode(Snapshot(NOW, [snapshot]))).pools[0]
    assert found.overrides == overrides and found.migration == Migration("q", 0.2, by="rita")


def test_a_snapshot_that_is_too_old_or_from_the_future_is_not_recent() -> None:
    snapshot = Snapshot(100.0, [])
    assert is_recent(snapshot, 100.0) and is_recent(snapshot, 100.0 + MAX_AGE_S)
    assert not is_recent(snapshot, 100.1 + MAX_AGE_S) and not is_recent(snapshot, 90.0)


def test_a_snapshot_truncated_or_corrupted_at_any_byte_is_rejected() -> None:
    data = encode(
        Snapshot(
            NOW,
            [
                snapshot_pool(
                    "p", balancer_with_failing_endpoint(2), NOW, {"s0": AdminOverride(word="drain")}, None
                )
            ],
        )
    )
    decode(data)
    for offset in range(len(data)):
        with pytest.raises(SnapshotError):
            decode(data[:offset])
        with pytest.raises(SnapshotError):
            decode(data[:offset] + bytes([data[offset] ^ 0x55]) + data[offset + 1 :])
    with pytest.raises(SnapshotError, match="at most"):
        decode(bytes(MAX_SNAPSHOT_BYTES + 1))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_with_a_valid_checksum_are_rejected(body: bytes) -> None:
    from crc32c import crc32c

    from loadbalancer.admin.snapshot import MAGIC

    with pytest.raises(SnapshotError):
        decode(MAGIC + crc32c(body).to_bytes(4, "big") + body)


@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf])
def test_non_finite_values_do_not_disturb_a_restored_balancer(value: float) -> None:
    balancer = balancer_with_failing_endpoint()
    snapshot = snapshot_pool("p", balancer, NOW, {}, None)
    broken: Any = msgspec.structs.replace(
        snapshot,
        shed_level=value,
        usual_times={"safe": value},
        endpoints=[
            msgspec.structs.replace(
                endpoint,
                error_rate=value,
                utilization=value,
                time_per_attempt=value,
                error_rate_age=value,
                utilization_age=value,
                time_per_attempt_age=value,
                warming_age=value,
                error_rate_by_class={"safe": (value, value)},
            )
            for endpoint in snapshot.endpoints
        ],
    )
    restored = make_balancer(*make_entries(6), seed=2)
    restore_pool(broken, restored, NOW, 1.0)
    assert len(count_by_endpoint(restored, NOW + 1.0)) == 6
    assert all(
        math.isfinite(endpoint.error_rate) and math.isfinite(endpoint.utilization)
        for endpoint in restored.endpoints.values()
    )
