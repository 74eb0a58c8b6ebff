"""Division of the resources of one process between pools and listeners: descriptors, buffered bytes, processor time.

Pure: no I/O and no clock; the caller passes in each measurement.
"""

from __future__ import annotations

from typing import Mapping, NamedTuple

#: Minimum that each pool and each listener gets, however many of them there are.
MIN_BACKEND_SOCKETS = 4
MIN_CLIENT_SOCKETS = 8
MIN_OVERFLOW = 2
MIN_BUFFERED = 256 << 10  # bytes
#: Largest fraction of a listener's connections that one pool may hold if there are several pools. It is below 1 so
#: that clients of the other pools can still connect when one pool hangs.
MAX_LISTENER_SHARE = 0.75

#: Length of the windows over which processor utilization is measured, in seconds.
WINDOW_S = 0.25
#: Processor utilization from which on the process counts as saturated: pools are then limited to their fair share.
SATURATED_UTILIZATION = 0.92


class PoolAllocation(NamedTuple):
    """Upper limits on what one pool may hold."""

    buffered: int  # bytes
    backend_sockets: int
    max_open_requests: int  # requests


class ListenerSlots(NamedTuple):
    """Upper limits on what one listener may hold."""

    connections: int
    overflow: int  # further connections, accepted only to be rejected


def divide(whole: int, weights: Mapping[str, float], minimum: int) -> dict[str, int]:
    """Divide `whole` by weight, with at least `minimum` for each name.

    If the minimums alone add up to more than `whole`, each name gets exactly its minimum.
    """
    total = sum(weights.values()) or 1.0
    spare = max(0, whole - minimum * len(weights))
    return {name: minimum + int(spare * weight / total) for name, weight in weights.items()}


def divide_listeners(
    connections: int, overflow: int, weights: Mapping[str, float]
) -> dict[str, ListenerSlots]:
    """Divide the connections and the overflow connections between listeners by weight."""
    connection_parts = divide(connections, weights, MIN_CLIENT_SOCKETS)
    overflow_parts = divide(overflow, weights, MIN_OVERFLOW)
    return {name: ListenerSlots(connection_parts[name], overflow_parts[name]) for name in weights}


def divide_pools(
    buffered: int,
    sockets: int,
    weights: Mapping[str, float],
    slots: Mapping[str, ListenerSlots],
    reached_by: Mapping[str, set[str]],
) -> dict[str, PoolAllocation]:
    """Return the allocation of each pool; `reached_by` maps a pool to the listeners that route requests to it.

    A pool's limit on open requests is a fraction of the connections of the smallest listener that reaches it: each open
    request of a pool that hangs holds a client connection, and such a pool must not use up the connections that
    clients of other pools need.
    """
    buffer_parts = divide(buffered, weights, MIN_BUFFERED)
    socket_parts = divide(sockets, weights, MIN_BACKEND_SOCKETS)
    total = sum(weights.values()) or 1.0
    allocations = {}
    for name, weight in weights.items():
        connections = min((slots[listener].connections for listener in reached_by.get(name, ())), default=0)
        fraction = 1.0 if len(weights) == 1 else min(MAX_LISTENER_SHARE, weight / total)
        allocations[name] = PoolAllocation(
            buffer_parts[name], socket_parts[name], max(1, int(connections * fraction))
        )
    return allocations


class WeightedAdmission:
    """Decides which pools may admit another request while the processor is saturated.

    Guards against a pool whose flood of requests uses all processor time, so that the requests of other pools are late
    although their members are healthy. While the processor is saturated, a pool that gets more than its weighted share
    of the requests is limited to that share of the throughput measured in the last window. Its further requests are
    rejected at once, before they have run; the limit also covers a pool whose rejected requests are retried at once.

    Limitation: load is counted in requests, so a pool with few expensive requests is not detected.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        total = sum(weights.values()) or 1.0
        self._fraction = {name: weight / total for name, weight in weights.items()}
        self._admitted = dict.fromkeys(weights, 0)  # in this window
        self._limits: dict[
            str, int
        ] = {}  # requests in this window, for the pools that are limited to their share

    def admit(self, pool: str) -> bool:
        """Return whether the pool may admit one more request, and count the request if so."""
        limit = self._limits.get(pool)
        if limit is not None and self._admitted[pool] >= limit:
            return False
        self._admitted[pool] = self._admitted.get(pool, 0) + 1
        return True

    def end_window(self, used: float) -> None:
        """End a window, and compute the limits of the next; `used` is the processor utilization, from 0 to 1."""
        total = sum(self._admitted.values())
        limits: dict[str, int] = {}
        if used >= SATURATED_UTILIZATION and len(self._fraction) > 1:
            # The pools over their share divide what the pools under their share leave unused.
            over_share = {
                name
                for name, admitted in self._admitted.items()
                if admitted >= self._fraction.get(name, 0) * total and name in self._fraction
            }
            remaining = total - sum(
                admitted for name, admitted in self._admitted.items() if name not in over_share
            )
            fractions = sum(self._fraction[name] for name in over_share)
            # If the other pools got no requests, a limit would help none of them.
            if remaining < total:
                limits = {
                    name: max(1, int(remaining * self._fraction[name] / fractions)) for name in over_share
                }
        self._limits = limits
        self._admitted = dict.fromkeys(self._fraction, 0)
