"""What a reload took out: it ends what it holds, and is closed once nothing is open on it."""

from __future__ import annotations

import time

from loadbalancer.daemon.pools import RunningPool
from loadbalancer.frontends.connection import REQUEST_S
from loadbalancer.frontends.listener import ACCEPT_LEAST, Listener
from loadbalancer.frontends.sockets import BACKLOG

#: A request whose head was begun before a reload is read to its end by the reader of that time; so long its pool
#: may still be asked.
RETIRE_LEAST_S = REQUEST_S + 0.5


class Retirement:
    """The part of `Daemon` that owns pools and listeners from their retirement to their close."""

    def __init__(self) -> None:
        self.retiring_pools: list[tuple[float, RunningPool]] = []  # with the time they retired
        self.retiring_listeners: list[Listener] = []

    @property
    def retiring(self) -> int:
        return len(self.retiring_pools) + len(self.retiring_listeners)

    def retire_pool(self, pool: RunningPool) -> None:
        pool.retire()
        self.retiring_pools.append((time.monotonic(), pool))

    def retire_listener(self, listener: Listener) -> None:
        """Its socket goes at once; connections end after the answer that they wait for."""
        listener.retire()
        for _ in range(BACKLOG // ACCEPT_LEAST + 1):  # what the kernel holds is ours
            if not listener.accept():
                break
        listener.close()
        self.retiring_listeners.append(listener)

    def close_retired(self) -> None:
        busy = []
        for listener in self.retiring_listeners:
            if listener.is_busy() or listener.is_flushing():
                busy.append(listener)
            else:
                listener.stop()
        self.retiring_listeners = busy
        early = time.monotonic() - RETIRE_LEAST_S
        still = []
        for since, pool in self.retiring_pools:
            if since > early or pool.proxy.open:
                still.append((since, pool))
            else:
                pool.close()
        self.retiring_pools = still
