"""Merges the snapshots of several instances, so that a single wrong one does not determine the result.

Each value of an endpoint is the median over the instances that know the endpoint's latest start. Of two values the
worse one is used: a failing endpoint that is considered healthy costs requests, while a healthy one that is considered
failing only loses its share of requests for a while. Usual response times and the level of load shedding are medians
too.
"""

from __future__ import annotations

from typing import Callable, Sequence

from msgspec import structs

from loadbalancer.admin.snapshot import EndpointSnapshot, PoolSnapshot, Snapshot, is_recent

#: Share of the instances that must know an endpoint; others are left out.
MIN_KNOWN_SHARE = 0.5


def median(values: Sequence[float]) -> float:
    """Return the median; for an even number of values, the greater of the two in the middle."""
    return sorted(values)[len(values) // 2]


def merge_snapshots(snapshots: Sequence[Snapshot], now: float) -> Snapshot | None:
    """Merge the recent ones of these snapshots.

    Args:
        snapshots: One snapshot from each instance that has answered.
        now: Unix time in seconds.

    Returns:
        The merged snapshot, without overrides and migrations, since the replicated state holds them; None where no
        snapshot is recent.
    """
    recent = [snapshot for snapshot in snapshots if is_recent(snapshot, now)]
    if not recent:
        return None
    names = sorted({pool.name for snapshot in recent for pool in snapshot.pools})
    pools = [
        _merge_pools([pool for snapshot in recent for pool in snapshot.pools if pool.name == name])
        for name in names
    ]
    return Snapshot(min(snapshot.at for snapshot in recent), pools)


def _merge_pools(pools: Sequence[PoolSnapshot]) -> PoolSnapshot:
    """Merge the snapshots of one pool."""
    by_endpoint: dict[str, list[EndpointSnapshot]] = {}
    for pool in pools:
        for endpoint in pool.endpoints:
            by_endpoint.setdefault(endpoint.id, []).append(endpoint)
    latest = [_of_latest_start(snapshots) for snapshots in by_endpoint.values()]
    endpoints = [
        _merge_endpoints(snapshots) for snapshots in latest if len(snapshots) >= MIN_KNOWN_SHARE * len(pools)
    ]
    classes = sorted({name for pool in pools for name in pool.usual_times})
    usual_times = {
        name: median([pool.usual_times[name] for pool in pools if name in pool.usual_times])
        for name in classes
    }
    shed_level = median([pool.shed_level for pool in pools])
    return PoolSnapshot(pools[0].name, endpoints, usual_times, shed_level, {}, None)


def _of_latest_start(snapshots: Sequence[EndpointSnapshot]) -> list[EndpointSnapshot]:
    """Return the snapshots of the latest start of an endpoint."""
    latest = max(snapshot.started for snapshot in snapshots)
    return [snapshot for snapshot in snapshots if snapshot.started == latest]


def _merge_endpoints(snapshots: Sequence[EndpointSnapshot]) -> EndpointSnapshot:
    """Merge snapshots of the same start of an endpoint; a value and its age come from the same instance."""

    def median_by(value: Callable[[EndpointSnapshot], float]) -> EndpointSnapshot:
        return sorted(snapshots, key=value)[len(snapshots) // 2]

    by_error_rate = median_by(lambda snapshot: snapshot.error_rate)
    by_time = median_by(lambda snapshot: snapshot.time_per_attempt)
    by_utilization = median_by(lambda snapshot: snapshot.utilization)
    return structs.replace(
        by_error_rate,
        utilization=by_utilization.utilization,
        utilization_age=by_utilization.utilization_age,
        time_per_attempt=by_time.time_per_attempt,
        time_per_attempt_age=by_time.time_per_attempt_age,
        consecutive_failures=int(median([snapshot.consecutive_failures for snapshot in snapshots])),
        warming_age=min(snapshot.warming_age for snapshot in snapshots),
    )
