"""The daemon's store as a component, with its idempotency ledger; released to a successor at a hot restart."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any, Callable, Mapping

from loadbalancer.config.plan import Plan, RoutePlan
from loadbalancer.config.reader import ConfigError, Problem
from loadbalancer.config.types import StoreTable
from loadbalancer.daemon.components import Component
from loadbalancer.frontends.routed_http import IdempotencyRecording
from loadbalancer.policy.settings import DeduplicationScope
from loadbalancer.proxy.idempotent_requests import IdempotencyLedger, KeyTerms
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.store.engine import Engine, StoreBounds
from loadbalancer.store.errors import StoreError
from loadbalancer.store.files import DiskFiles
from loadbalancer.store.keeper import Store

#: Time that open keyed requests have to end before the store is released to another daemon.
RELEASE_TIMEOUT_S = 2.0
#: Time for which the daemon tries to reopen a store that it had released.
REOPEN_TIMEOUT_S = 10.0
#: Interval between two checks for open keyed requests, and between two attempts to reopen the store.
POLL_INTERVAL_S = 0.02


class Storage(Component):
    """Owns the open store of a daemon; `end` writes pending changes and closes it.

    Attributes:
        table: The configuration's `[store]`.
        store: The open store; replaced when the store is reopened after a release.
        ledger: Holds the idempotency keys of requests and their responses.
    """

    def __init__(
        self, table: StoreTable, engine: Engine, make_engine: Callable[[], Engine], logger: RateLimitedLogger
    ) -> None:
        """Create the component.

        Args:
            table: The configuration's `[store]`.
            engine: The store's engine, which is open.
            make_engine: Creates another engine for the same store, which is not open.
            logger: Receives the store's errors.
        """
        self.table = table
        self.store = Store(engine, logger)
        self.ledger = IdempotencyLedger(self.store, logger)
        self._logger = logger
        self._make_engine = make_engine
        self._loop = asyncio.get_running_loop()
        self._release_timer: asyncio.TimerHandle | None = None  # set while a release waits for keyed requests
        self._reopening: asyncio.Task[None] | None = None

    @property
    def is_released(self) -> bool:
        """Return whether another daemon has the store or is about to get it: nothing can be written here."""
        return self.ledger.is_handed_over

    @classmethod
    def open(
        cls,
        table: StoreTable,
        path: Path,
        logger: RateLimitedLogger,
        request_release: Callable[[], None] | None = None,
    ) -> Storage:
        """Open the store of a configuration.

        Args:
            table: The configuration's `[store]`.
            path: Path of the configuration file, to which the store's folder is relative.
            logger: Receives the findings about the store's files.
            request_release: Makes the previous daemon release the store; raises OSError if it does not.

        Raises:
            ConfigError: The store can't be opened. A daemon without it would ignore the keys and overrides in it.
        """

        def make_engine() -> Engine:
            files = DiskFiles(path.parent / table.folder)
            return Engine(files, time.time, StoreBounds(max_bytes=table.size, max_keys=table.keys))

        engine = make_engine()
        try:
            if request_release is not None:
                request_release()
            report = engine.open()
        except (StoreError, OSError) as problem:
            raise ConfigError([Problem(str(path), "store.folder", f"{table.folder}: {problem}")]) from None
        for line in report.lines():
            logger(f"store: {line.partition(':')[0]}" if ":" in line else "store", line)
        return cls(table, engine, make_engine, logger)

    def status_fields(self) -> Mapping[str, Any]:
        """Return the status entry that says whether the store accepts changes, or why not."""
        return {"store": self.store.read_only or "takes changes"}

    def release(self, on_closed: Callable[[], None]) -> None:
        """Close the store so that a successor can open it, and call `on_closed` after that.

        Keyed requests that arrive from now on are rejected, and open ones have RELEASE_TIMEOUT_S to end. The store
        records one that takes longer as started, which is safe: a repeat of it is not executed.
        """
        self.ledger.is_handed_over = True
        deadline = time.monotonic() + RELEASE_TIMEOUT_S

        def close_when_idle() -> None:
            if self.ledger.open and time.monotonic() < deadline:
                self._release_timer = self._loop.call_later(POLL_INTERVAL_S, close_when_idle)
                return
            self._release_timer = None
            self.store.close()
            on_closed()

        close_when_idle()

    def reclaim(self) -> None:
        """Use the store again, since the successor has failed."""
        if self._release_timer is not None:  # the store is still open
            self._stop_release_timer()
            self.ledger.is_handed_over = False
        elif self.is_released and self._reopening is None:
            self._reopening = self._loop.create_task(self._reopen())

    def _stop_release_timer(self) -> None:
        if self._release_timer is not None:
            self._release_timer.cancel()
            self._release_timer = None

    async def _reopen(self) -> None:
        """Open the store off the event loop, retrying until the successor has closed it."""
        deadline = time.monotonic() + REOPEN_TIMEOUT_S
        while True:
            engine = self._make_engine()
            try:
                await self._loop.run_in_executor(None, engine.open)
                break
            except (StoreError, OSError) as problem:
                if time.monotonic() > deadline:
                    self._logger("the store takes nothing: it could not be taken back", problem)
                    self._reopening = None
                    return
            await asyncio.sleep(POLL_INTERVAL_S)
        self.store = Store(engine, self._logger)
        self.ledger.store = self.store
        self.ledger.is_handed_over = False
        self._reopening = None

    def key_recording(self, plan: Plan, route: RoutePlan) -> IdempotencyRecording | None:
        """Return how a route's keyed requests are recorded; None if they are not."""
        table = route.remember
        if table is None:
            return None
        request_class = route.classes.write
        settings = plan.classes[request_class]
        terms = KeyTerms(
            request_class,
            route.classes.write_unkeyed,
            settings.deduplication_window,
            settings.deduplication_scope == DeduplicationScope.ALL,
            float(table.remember),
            table.remember_answer,
        )
        tenant = plan.file.tenant[route.tenant].name if plan.file.tenant else ""
        return IdempotencyRecording(self.ledger, terms, tenant)

    def end(self) -> None:
        """Write pending changes and close the store, unless it was closed for a successor."""
        self._stop_release_timer()
        if self._reopening is not None:
            self._reopening.cancel()
        elif not self.is_released or not self.store.closed:
            self.store.close()
