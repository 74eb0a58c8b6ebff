"""Restores the previous daemon's endpoint state into the pools once their endpoints are listed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Mapping

from loadbalancer.daemon.pools import RunningPool

if TYPE_CHECKING:  # imported at run time only for a hot restart
    from loadbalancer.admin.snapshot import Snapshot


def restore_listed_pools(snapshot: Snapshot, pools: Mapping[str, RunningPool]) -> Snapshot | None:
    """Restore the state of the pools whose endpoints are listed.

    Returns:
        The snapshot, reduced to the pools whose lists are still missing; None if there are none, or if the snapshot is
        too old.
    """
    from loadbalancer.admin.snapshot import is_recent, restore_pool

    now = time.time()
    if not is_recent(snapshot, now):
        return None
    waiting = []
    for pool_snapshot in snapshot.pools:
        pool = pools.get(pool_snapshot.name)
        if pool is None:
            continue
        if not pool.proxy.listed and pool_snapshot.endpoints:
            waiting.append(pool_snapshot)
        else:
            age = max(0.0, now - snapshot.at)
            restore_pool(pool_snapshot, pool.proxy.balancer, pool.proxy.now(), age)
    snapshot.pools = waiting
    return snapshot if waiting else None
