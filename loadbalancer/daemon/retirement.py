"""Pools and listeners that a reload has taken out: they end what they hold, and are closed once nothing is open."""

from __future__ import annotations

import time
from dataclasses import dataclass

from loadbalancer.daemon.pools import RunningPool
from loadbalancer.frontends.connection import REQUEST_S
from loadbalancer.frontends.listener import ACCEPT_LEAST, Listener
from loadbalancer.frontends.sockets import BACKLOG

#: Seconds that a retired pool stays open at least: a request whose head was begun before the reload is read to its end
#: by the reader of that time, and may ask this pool until then.
MIN_RETIREMENT_S = REQUEST_S + 0.5


@dataclass(frozen=True, slots=True)
class RetiredPool:
    """A pool that gets no new requests but those whose heads were begun before."""

    pool: RunningPool
    retired_at: float  # on the monotonic clock


class Retirement:
    """Owns pools and listeners from their retirement to their close.

    Attributes:
        pools: those that are not closed yet.
        listeners: those of which a connection is still busy; their sockets are closed.
    """

    def __init__(self) -> None:
        self.pools: list[RetiredPool] = []
        self.listeners: list[Listener] = []

    def __len__(self) -> int:
        return len(self.pools) + len(self.listeners)

    def retire_pool(self, pool: RunningPool) -> None:
        """Take a pool over; it is closed by `close_idle` or `close`."""
        pool.retire()
        self.pools.append(RetiredPool(pool, time.monotonic()))

    def retire_listener(self, listener: Listener) -> None:
        """Close a listener's socket at once; its connections end after the answer that they wait for."""
        listener.begin_draining()
        listener.block()
        for _ in range(BACKLOG // ACCEPT_LEAST + 1):  # connections that the kernel has accepted are served
            if not listener.accept():
                break
        listener.close()
        self.listeners.append(listener)

    def close_idle(self) -> None:
        """Close what holds nothing any more; called a few times a second."""
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
