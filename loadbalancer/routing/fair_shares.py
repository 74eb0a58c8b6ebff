"""How pools and listeners divide what one process has: descriptors, buffered bytes, time on the processor.

Pure: no I/O, and no clock but the one that is handed in with each call.
"""

from __future__ import annotations

from typing import Mapping, NamedTuple

#: What each pool and each listener gets in any case, however many there are.
BACKEND_SOCKETS_LEAST = 4
CLIENT_SOCKETS_LEAST = 8
OVERFLOW_LEAST = 2
BUFFERED_LEAST = 256 << 10  # bytes
#: Part of a listener's connections that one pool may hold at most, where others share the listener. Less than all,
#: so that clients of the others are still heard when one pool hangs.
LISTENER_SHARE_MOST = 0.75

#: Length of the windows over which the use of the processor is measured, in seconds.
WINDOW_S = 0.25
#: A processor that is used more than this is full: what is over its share then waits no longer in line.
FULL = 0.92


class PoolAllocation(NamedTuple):
    """What one pool may hold."""

    buffered: int  # bytes
    backend_sockets: int
    max_open_requests: int  # requests


class ListenerSlots(NamedTuple):
    """What one listener may hold."""

    connections: int
    overflow: int  # more of them, held to be turned away


def divide(whole: int, weights: Mapping[str, float], least: int) -> dict[str, int]:
    """Parts of `whole` by weight. Where the least parts alone come to more than the whole, each gets its least."""
    total = sum(weights.values()) or 1.0
    spare = max(0, whole - least * len(weights))
    return {name: least + int(spare * weight / total) for name, weight in weights.items()}


def divide_listeners(
    connections: int, overflow: int, weights: Mapping[str, float]
) -> dict[str, ListenerSlots]:
    held = divide(connections, weights, CLIENT_SOCKETS_LEAST)
    over = divide(overflow, weights, OVERFLOW_LEAST)
    return {name: ListenerSlots(held[name], over[name]) for name in weights}


def divide_pools(
    buffered: int,
    sockets: int,
    weights: Mapping[str, float],
    slots: Mapping[str, ListenerSlots],
    reached_by: Mapping[str, set[str]],
) -> dict[str, PoolAllocation]:
    """Each pool's part. `reached_by`: the listeners from which requests come to it.

    The bound on its open requests is against the listener with the fewest connections: a pool that hangs holds a
    connection for each of them, and may not hold all that another pool's clients need."""
    bytes_ = divide(buffered, weights, BUFFERED_LEAST)
    backend = divide(sockets, weights, BACKEND_SOCKETS_LEAST)
    total = sum(weights.values()) or 1.0
    shares = {}
    for name, weight in weights.items():
        room = min((slots[listener].connections for listener in reached_by.get(name, ())), default=0)
        part = 1.0 if len(weights) == 1 else min(LISTENER_SHARE_MOST, weight / total)
        shares[name] = PoolAllocation(bytes_[name], backend[name], max(1, int(room * part)))
    return shares


class WeightedTurns:
    """Which pool may take one more request while the processor is full.

    Guards against a pool whose flood takes all the time of the process, so that the requests of the others come
    late though their members are well. While the processor is full, a pool that takes more than its share of the
    requests is held to that share of what the process has shown that it can do; the rest is turned away at once,
    before it has run. It should also catch a pool whose requests are turned away and come again at once. Harm: work
    is counted by requests, so a pool of few costly ones is not found out."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        total = sum(weights.values()) or 1.0
        self._part = {name: weight / total for name, weight in weights.items()}
        self._taken = dict.fromkeys(weights, 0)  # in this window
        self._room: dict[str, int] = {}  # for the pools that are held to their share, in this window

    def admit(self, pool: str) -> bool:
        room = self._room.get(pool)
        if room is not None and self._taken[pool] >= room:
            return False
        self._taken[pool] = self._taken.get(pool, 0) + 1
        return True

    def window(self, used: float) -> None:
        """A window has ended, in which the processor was used for this share of the time."""
        total = sum(self._taken.values())
        room: dict[str, int] = {}
        if used >= FULL and len(self._part) > 1:
            # What pools under their share leave is the others' to divide.
            over = {
                n
                for n, taken in self._taken.items()
                if taken >= self._part.get(n, 0) * total and n in self._part
            }
            left = total - sum(taken for name, taken in self._taken.items() if name not in over)
            parts = sum(self._part[name] for name in over)
            # Where no other pool asks for anything, holding one back would spare nobody.
            if left < total:
                room = {name: max(1, int(left * self._part[name] / parts)) for name in over}
        self._room = room
        self._taken = dict.fromkeys(self._part, 0)
