"""The client of the platform's discovery service: keeps one watch on the list of endpoints."""

from __future__ import annotations

import asyncio
import math
import random

from loadbalancer.deployment import Deployment
from loadbalancer.discovery.endpoint_source import Address, EndpointListener
from loadbalancer.discovery.errors import ListError
from loadbalancer.discovery.list_decoding import read_list
from loadbalancer.discovery.watch_connection import WatchConnection
from loadbalancer.resource_limits import RateLimitedLogger

CONNECT_S = 1.0
"""Seconds after which a connect to discovery fails.

With the policy's wait before the next call, a list is known within 6 s of when it can be had (docs/standing-test.md).
"""
REOPEN_DELAY_S = 0.1
"""Seconds, times a random factor up to 1, after which a failed watch is opened anew where lists are pushed."""
ADDRESS_CHANGE_SPREAD_S = 1.8
"""Seconds over which all proxies call another service that they are told of at the same time.

What they wait in line there comes on top, and the list has to be known 4 s after the move.
"""


class DiscoveryClient:
    """Keeps one watch, where it is wanted; owns its connection and timers until `close`."""

    def __init__(
        self,
        proxy: EndpointListener,
        deployment: Deployment,
        address: Address,
        logger: RateLimitedLogger,
    ) -> None:
        """Begin without a watch; see `start`.

        Args:
            proxy: Is notified of lists and failures.
            deployment: Numbers of zones and kinds, and whether lists are pushed.
            address: Where the service listens.
            logger: Gets events.
        """
        self.proxy = proxy
        self.deployment = deployment
        self.address = address
        self.logger = logger
        self.pushed = not deployment.settings.list_on_request
        self.version: int | None = None  # of the list that is held
        self.current: WatchConnection | None = None
        self.wanted = False
        self.heard_at = -math.inf  # when the service last sent a list, in seconds of the loop
        self._held: asyncio.TimerHandle | None = None  # delays the first watch
        self._loop = asyncio.get_running_loop()
        self._opening: asyncio.Task[None] | None = None

    def start(self, known: object, held: float = 0.0) -> None:
        """Begin with the list from before.

        Args:
            known: That list, as the service has written it.
            held: Seconds that the first watch waits for `release`, at most; it begins here where lists are pushed, and
                is otherwise asked for by the policy.
        """
        try:
            update = read_list(known, self.deployment, self.logger)
        except ListError as problem:
            self.logger("no list from before", problem)
            self.proxy.take_list([], whole=True, stale=True)
        else:
            self.version = update.version
            self.proxy.take_list(update.entries, whole=True, stale=True)
        if self.pushed and held:
            self._held = self._loop.call_later(held, self.release)
        elif self.pushed:
            self.watch(True)

    def release(self, after: float = 0.0) -> None:
        """Let the first watch begin, now or so many seconds later."""
        if self._held is None:
            return
        self._held.cancel()
        self._held = None
        if after > 0:
            self._held = self._loop.call_later(after, self.release)
        else:
            self.watch(True)

    def age(self) -> float:
        """Seconds since the service was last heard; 0 while a watch stands."""
        if self.current is not None and self.heard_at > 0:
            return 0.0
        return self._loop.time() - self.heard_at

    def watch(self, on: bool) -> None:
        """Open a watch, or close it; one that stands or is being opened is kept."""
        self.wanted = on
        if not on:
            self.close()
        elif self.current is None and self._opening is None:
            self._opening = self._loop.create_task(self._open())

    def move(self, address: Address) -> None:
        """Use another service from now on.

        Its whole list is asked for, since versions are of one service. The old watch ends at once, so that no drain is
        missed; what it had listed stands until the new service has sent its list.
        """
        if address == self.address:
            return
        self.address = address
        self.version = None
        self.close()
        self.wanted = True
        if self.pushed:
            self.watch(True)
        else:
            wait = ADDRESS_CHANGE_SPREAD_S * self.deployment.settings.other_instances_share * random.random()
            self._loop.call_later(wait, self._reopen)

    def close(self) -> None:
        """Close the watch, or stop opening it."""
        if self._held is not None:
            self._held.cancel()
            self._held = None
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        if self.current is not None:
            watch = self.current
            self.current = None
            watch.close()

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                _, watch = await self._loop.create_connection(lambda: WatchConnection(self), *self.address)
        except (OSError, TimeoutError) as problem:
            self._opening = None
            self.watch_failed(None, f"no connection: {problem}")
        else:
            self._opening = None
            self.current = watch

    def _reopen(self) -> None:
        if self.wanted and self.current is None and self._opening is None:
            self.watch(True)

    # Called by the watch.

    def watch_opened(self, watch: WatchConnection) -> None:
        """The connection is up; values may come before `create_connection` returns."""
        self.current = watch

    def watch_failed(self, watch: WatchConnection | None, reason: object, busy: bool = False) -> None:
        """The watch has ended, whatever the reason; the list that is held stands."""
        if watch is not self.current or not self.wanted:
            return
        self.logger("watch failed", reason)
        self.close()
        if self.pushed:
            self._loop.call_later(REOPEN_DELAY_S * random.random(), self._reopen)
        else:
            self.proxy.list_failed(busy)

    def watch_missed(self, watch: WatchConnection, reason: str) -> None:
        """What it sent cannot be taken, so the whole list is asked for."""
        if watch is self.current:
            self.version = None
            self.watch_failed(watch, reason)

    def take_value(self, watch: WatchConnection, value: object) -> None:
        """A list, or a change to one, has come."""
        if watch is not self.current:
            return
        try:
            update = read_list(value, self.deployment, self.logger)
        except ListError as problem:
            self.watch_missed(watch, f"unreadable list: {problem}")
            return
        if not update.full and self.version is not None and update.version < self.version:
            self.watch_missed(watch, f"version {update.version} after a newer one")
            return
        self.version = update.version
        self.heard_at = self._loop.time()
        self.proxy.take_list(update.entries, update.full)
