"""The daemon's store as a component, with the idempotency ledger in it; lent to a successor at a hot restart."""

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

#: For so long open keyed requests may still end before the store is lent to another daemon.
LEND_TIMEOUT_S = 2.0
#: For so long the daemon tries to open a store again that it had lent.
REOPEN_TIMEOUT_S = 10.0
#: Between two tries of both.
POLL_INTERVAL_S = 0.02


class Storage(Component):
    """One open store. The daemon owns it; `end` writes what waits, and releases it.

    Attributes:
        table: The configuration's `[store]`.
        store: The open store; another one after it was lent and opened again.
        ledger: Keys of requests and their answers.
    """

    def __init__(
        self, table: StoreTable, engine: Engine, open_again: Callable[[], Engine], logger: RateLimitedLogger
    ) -> None:
        """Make the component.

        Args:
            table: The configuration's `[store]`.
            engine: The store's engine, which is open.
            open_again: Makes an engine of the same store, which is not open.
            logger: Gets what goes wrong with the store.
        """
        self.table = table
        self.store = Store(engine, logger)
        self.ledger = IdempotencyLedger(self.store, logger)
        self._logger = logger
        self._make_engine = open_again
        self._loop = asyncio.get_running_loop()
        self._lend_timer: asyncio.TimerHandle | None = None  # until open keyed requests have ended
        self._reopening: asyncio.Task[None] | None = None

    @property
    def lent(self) -> bool:
        """Whether another daemon has the store, or is about to: nothing can be kept here."""
        return self.ledger.lent

    @classmethod
    def open(
        cls,
        table: StoreTable,
        path: Path,
        logger: RateLimitedLogger,
        borrow: Callable[[], None] | None = None,
    ) -> Storage:
        """Open the store of a configuration.

        Args:
            table: The configuration's `[store]`.
            path: Of the configuration's file, beside which the store's folder stands.
            logger: Gets what was found wrong with the store.
            borrow: Has the daemon before this one let go of the store; OSError where it does not.

        Raises:
            ConfigError: The store can't be opened. To go on without it would forget what it holds.
        """

        def make_engine() -> Engine:
            files = DiskFiles(path.parent / table.folder)
            return Engine(files, time.time, StoreBounds(max_bytes=table.size, max_keys=table.keys))

        engine = make_engine()
        try:
            if borrow is not None:
                borrow()
            report = engine.open()
        except (StoreError, OSError) as problem:
            raise ConfigError([Problem(str(path), "store.folder", f"{table.folder}: {problem}")]) from None
        for words in report.lines():
            logger(f"store: {words.partition(':')[0]}" if ":" in words else "store", words)
        return cls(table, engine, make_engine, logger)

    def figures(self) -> Mapping[str, Any]:
        """Whether the store takes changes, or why not."""
        return {"store": self.store.read_only or "takes changes"}

    def lend(self, done: Callable[[], None]) -> None:
        """Close the store for a successor; `done` is called once that is so.

        Keyed requests that come from now on are rejected, and open ones have LEND_TIMEOUT_S to end. One that takes
        longer stands in the store as begun, which is safe: a repeat of it does not run.
        """
        self.ledger.lent = True
        deadline = time.monotonic() + LEND_TIMEOUT_S

        def close_when_idle() -> None:
            if self.ledger.open and time.monotonic() < deadline:
                self._lend_timer = self._loop.call_later(POLL_INTERVAL_S, close_when_idle)
                return
            self._lend_timer = None
            self.store.close()
            done()

        close_when_idle()

    def take_back(self) -> None:
        """Use the store again, since the successor has come to nothing."""
        if self._lend_timer is not None:  # it was not closed yet
            self._stop_lend_timer()
            self.ledger.lent = False
        elif self.lent and self._reopening is None:
            self._reopening = self._loop.create_task(self._reopen())

    def _stop_lend_timer(self) -> None:
        if self._lend_timer is not None:
            self._lend_timer.cancel()
            self._lend_timer = None

    async def _reopen(self) -> None:
        """Open the store off the event loop, once the successor has let go of it."""
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
        self.ledger.lent = False
        self._reopening = None

    def remembers(self, plan: Plan, route: RoutePlan) -> IdempotencyRecording | None:
        """How a route's keyed requests are recorded, if they are."""
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
        """Write what waits, and close the store unless it is lent."""
        self._stop_lend_timer()
        if self._reopening is not None:
            self._reopening.cancel()
        elif not self.lent or not self.store.closed:
            self.store.close()
