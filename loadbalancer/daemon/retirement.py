"""Drains the pools and listeners that a reload removed, and closes them once they have no open requests."""

from __future__ import annotations

import time
from dataclasses import dataclass

from loadbalancer.daemon.pools import RunningPool
from loadbalancer.frontends.connection import REQUEST_S
from loadbalancer.frontends.listener import ACCEPT_LEAST, Listener
from loadbalancer.frontends.sockets import BACKLOG

#: Seconds that a retired pool stays open at least: a request whose head began to arrive before the reload is read with
#: the old routes, and may still be routed to this pool.
MIN_RETIREMENT_S = REQUEST_S + 0.5


@dataclass(frozen=True, slots=True)
class RetiredPool:
    """A pool that receives no new requests except those whose heads began to arrive before its retirement."""

    pool: RunningPool
    retired_at: float  # on the monotonic clock


class Retirement:
    """Owns pools and listeners from their retirement until they are closed.

    Attributes:
        pools: Retired pools that are not closed yet.
        listeners: Retired listeners that still have busy connections; their listening sockets are closed.
    """

    def __init__(self) -> None:
        self.pools: list[RetiredPool] = []
        self.listeners: list[Listener] = []

    def __len__(self) -> int:
        return len(self.pools) + len(self.listeners)

    def retire_pool(self, pool: RunningPool) -> None:
        """Take ownership of a pool and drain it; `close_idle` closes it once it has no open requests."""
        pool.retire()
        self.pools.append(RetiredPool(pool, time.monotonic()))

    def retire_listener(self, listener: Listener) -> None:
        """Close a listener's socket immediately; its connections end after their current responses."""
        listener.begin_draining()
        listener.block()
        for _ in range(
            BACKLOG // ACCEPT_LEAST + 1
        ):  # serve the connections that are in the kernel's accept queue
            if not listener.accept():
                break
        listener.close()
        self.listeners.append(listener)

    def close_idle(self) -> None:
        """Close the listeners that are idle and have nothing to flush, and the pools that have no open request.

        Called a few times a second.
        """
        busy = []
        for listener in self.listeners:
            if listener.is_busy() or listener.is_flushing():
                busy.append(listener)
            else:
                listener.stop()
        self.listeners = busy
        latest = time.monotonic() - MIN_RETIREMENT_S
        remaining = []
        for retired in self.pools:
            if retired.retired_at > latest or retired.pool.proxy.open:
                remaining.append(retired)
            else:
                retired.pool.close()
        self.pools = remaining
