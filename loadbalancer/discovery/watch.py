"""The client of the platform's discovery service, which keeps one watch on the list of endpoints."""

from __future__ import annotations

import asyncio
import math
import random
import time

from loadbalancer.deployment import Deployment
from loadbalancer.discovery.endpoint_source import Address, EndpointListener
from loadbalancer.discovery.errors import ListError
from loadbalancer.discovery.list_copy import ListCopy
from loadbalancer.discovery.list_decoding import read_list
from loadbalancer.discovery.start_times import StartTimes
from loadbalancer.discovery.watch_connection import WatchConnection
from loadbalancer.resource_limits import RateLimitedLogger

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout for the discovery service.

With the policy's delay before the next call, a list is received within 6 s of when the service can provide it
(docs/standing-test.md).
"""
REOPEN_DELAY_S = 0.1
"""Delay, with full jitter, before a failed watch is reopened if lists are pushed."""
ADDRESS_CHANGE_SPREAD_S = 1.8
"""Seconds over which all proxies spread their first calls to a new service, of which they learn at the same time.

The time in that service's queue comes on top, and the list has to be received 4 s after the change of address.
"""


class DiscoveryClient:
    """Keeps one watch open while it is wanted. Owns its connection and timers until `close`."""

    def __init__(
        self,
        proxy: EndpointListener,
        deployment: Deployment,
        address: Address,
        logger: RateLimitedLogger,
    ) -> None:
        """Start without a watch; `start` opens it.

        Args:
            proxy: Is notified of lists and failures.
            deployment: Numbers of zones and kinds, and whether lists are pushed.
            address: Address of the service.
            logger: Receives log events.
        """
        self.proxy = proxy
        self.deployment = deployment
        self.address = address
        self.logger = logger
        self.pushed = not deployment.settings.list_on_request
        self.version: int | None = None  # of the current list
        self.copy: ListCopy | None = None  # set if other processes may want the list
        self.current: WatchConnection | None = None
        self.wanted = False
        self.heard_at = -math.inf  # when the service last sent anything, on the clock of the event loop
        self.last_list_at = -math.inf  # when the service last sent a list, on the clock of the event loop
        self._first_watch_timer: asyncio.TimerHandle | None = (
            None  # while the first watch waits for `release`
        )
        self._loop = asyncio.get_running_loop()
        epoch = time.time() - self._loop.time()
        self._start_times = StartTimes(lambda: epoch + self._loop.time(), logger)
        self._gap_s = 0.0  # for which nothing was heard before the current watch
        self._opening: asyncio.Task[None] | None = None

    def start(self, known: object, held: float = 0.0) -> None:
        """Start with a stored list.

        Args:
            known: The list in the service's format.
            held: Maximum seconds that the first watch waits for `release`. This applies if lists are pushed; otherwise
                the policy requests the watch.
        """
        if not self.adopt(known):
            self.proxy.take_list([], whole=True, stale=True)
        if self.pushed and held:
            self._first_watch_timer = self._loop.call_later(held, self.release)
        elif self.pushed:
            self.watch(True)

    def adopt(self, known: object) -> bool:
        """Use a stored list until the service sends one; return whether it is a list.

        Args:
            known: The list in the service's format.
        """
        try:
            update = read_list(known, self.deployment, self.logger)
        except ListError as problem:
            self.logger("no list from before", problem)
            return False
        self.version = update.version
        self._copy_list(known, update.version, full=True)  # the service may send only the changes to it
        entries = self._start_times.bound(update.entries, True, math.inf)
        self.proxy.take_list(entries, whole=True, stale=True)
        return True

    def release(self, after: float = 0.0) -> None:
        """Open the first watch, now or after this many seconds."""
        if self._first_watch_timer is None:
            return
        self._first_watch_timer.cancel()
        self._first_watch_timer = None
        if after > 0:
            self._first_watch_timer = self._loop.call_later(after, self.release)
        else:
            self.watch(True)

    def age(self) -> float:
        """Return the seconds since the last list of the service; 0 while a watch is open."""
        if self.current is not None and self.last_list_at > 0:
            return 0.0
        return self._loop.time() - self.last_list_at

    def watch(self, on: bool) -> None:
        """Open a watch, or close it; one that is open or being opened is kept."""
        self.wanted = on
        if not on:
            self.close()
        elif self.current is None and self._opening is None:
            self._opening = self._loop.create_task(self._open())

    def move(self, address: Address) -> None:
        """Switch to another service.

        Its whole list is requested, since versions are only valid within one service. The old watch is closed at once,
        so that no drain is missed; its list stays in use until the new service has sent one.
        """
        if address == self.address:
            return
        self.address = address
        self.version = None
        if self.copy is not None:
            self.copy.clear()
        self.close()
        self.wanted = True
        if self.pushed:
            self.watch(True)
        else:
            wait = ADDRESS_CHANGE_SPREAD_S * self.deployment.settings.other_instances_share * random.random()
            self._loop.call_later(wait, self._reopen)

    def close(self) -> None:
        """Close the watch, or cancel opening it."""
        if self._first_watch_timer is not None:
            self._first_watch_timer.cancel()
            self._first_watch_timer = None
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        if self.current is not None:
            watch = self.current
            self.current = None
            watch.close()

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
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
        """Use a watch as soon as it is connected: values may arrive before `create_connection` returns."""
        self.current = watch
        self._gap_s = self._loop.time() - self.heard_at

    def watch_failed(self, watch: WatchConnection | None, reason: object, busy: bool = False) -> None:
        """Handle the end of a watch for any reason; the current list stays in use."""
        if watch is not self.current or not self.wanted:
            return
        self.logger("watch failed", reason)
        self.close()
        if self.pushed:
            self._loop.call_later(REOPEN_DELAY_S * random.random(), self._reopen)
        else:
            self.proxy.list_failed(busy)

    def watch_out_of_sync(self, watch: WatchConnection, reason: str) -> None:
        """Reopen the watch and request the whole list, since a message could not be used."""
        if watch is self.current:
            self.version = None
            self.watch_failed(watch, reason)

    def apply_value(self, watch: WatchConnection, value: object) -> None:
        """Apply a list, or changes to one, that the watch received."""
        if watch is not self.current:
            return
        try:
            update = read_list(value, self.deployment, self.logger)
        except ListError as problem:
            self.watch_out_of_sync(watch, f"unreadable list: {problem}")
            return
        if not update.full and self.version is not None and update.version < self.version:
            self.watch_out_of_sync(watch, f"expected version {self.version} or later, found {update.version}")
            return
        self.version = update.version
        self.last_list_at = self._loop.time()
        self._copy_list(value, update.version, update.full)
        gap_s, self._gap_s = self._gap_s, 0.0
        self.proxy.take_list(self._start_times.bound(update.entries, update.full, gap_s), update.full)

    def _copy_list(self, value: object, version: int, full: bool) -> None:
        if self.copy is not None and isinstance(value, dict):
            self.copy.apply(value, version, full)
