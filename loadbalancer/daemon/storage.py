"""What outlasts the daemon: its store, the ledger of keys, and how a plan's routes use them."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any, Callable, Mapping

from loadbalancer.config.plan import Plan, RoutePlan
from loadbalancer.config.reader import ConfigError, Problem
from loadbalancer.config.types import StoreTable
from loadbalancer.daemon.components import Component
from loadbalancer.frontends.routed_http import RecordsKeys
from loadbalancer.policy.settings import (
    DeduplicationScope,
)
from loadbalancer.proxy.idempotent_requests import IdempotencyLedger, KeyTerms
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.store.engine import Engine, StoreBounds
from loadbalancer.store.errors import StoreError
from loadbalancer.store.files import DiskFiles
from loadbalancer.store.keeper import Store

#: Seconds that keyed requests which are open get to end before the store passes to another daemon.
LEND_S = 2.0
#: Seconds for which a store is tried to be taken back from one that has died.
BACK_S = 10.0
LOOK_S = 0.02


class Storage(Component):
    """One open store. The daemon owns it; `end` writes what waits, and releases it."""

    def __init__(self, table: StoreTable, store: Store, logger: RateLimitedLogger) -> None:
        self.table, self.store, self.logger = table, store, logger
        self.ledger = IdempotencyLedger(store, logger)
        self._reopen: Callable[[], Engine] = lambda: store.engine
        self._loop = asyncio.get_running_loop()
        self._waits: asyncio.TimerHandle | None = None  # until what is open here has ended
        self._lending: asyncio.Task[None] | None = None  # taking it back

    @property
    def lent(self) -> bool:
        """Another daemon has it, or is about to: nothing can be kept here."""
        return self.ledger.lent

    @classmethod
    def open(
        cls,
        table: StoreTable,
        path: Path,
        logger: RateLimitedLogger,
        borrow: Callable[[], None] | None = None,
    ) -> Storage:
        """ConfigError where the store can't be opened: what it holds must not be forgotten by going on without it.
        `borrow` has the daemon before this one let go of it."""

        def make() -> Engine:
            folder = DiskFiles(path.parent / table.folder)
            return Engine(folder, time.time, StoreBounds(max_bytes=table.size, max_keys=table.keys))

        engine = make()
        try:
            if borrow is not None:
                borrow()
            found = engine.open()
        except (StoreError, OSError) as problem:
            raise ConfigError([Problem(str(path), "store.folder", f"{table.folder}: {problem}")]) from None
        for words in found.lines():
            logger(f"store: {words.partition(':')[0]}" if ":" in words else "store", words)
        made = cls(table, Store(engine, logger), logger)
        made._reopen = make
        return made

    def figures(self) -> Mapping[str, Any]:
        return {"store": self.store.read_only or "takes changes"}

    def lend(self, done: Callable[[], None]) -> None:
        """Let go of the store for a successor; `done` hears once that is so. Keyed work that comes from now on is told
        to come back, and what is open here has LEND_S to end: what ends later stands as begun, which is safe."""
        self.ledger.lent = True
        ends = time.monotonic() + LEND_S

        def look() -> None:
            if self.ledger.open and time.monotonic() < ends:
                self._waits = self._loop.call_later(LOOK_S, look)
                return
            self._waits = None
            self.store.close()
            done()

        look()

    def take_back(self) -> None:
        """The successor has come to nothing: open it again, off the loop, once that one has let go."""
        if self._waits is not None:  # it was not closed yet
            self._waits.cancel()
            self._waits = None
            self.ledger.lent = False
        elif self.lent and self._lending is None:
            self._lending = self._loop.create_task(self._take_back())

    async def _take_back(self) -> None:
        ends = time.monotonic() + BACK_S
        while True:
            engine = self._reopen()
            try:
                await self._loop.run_in_executor(None, engine.open)
                break
            except (StoreError, OSError) as problem:
                if time.monotonic() > ends:
                    self.logger("the store takes nothing: it could not be taken back", problem)
                    self._lending = None
                    return
            await asyncio.sleep(LOOK_S)
        self.store = self.ledger.store = Store(engine, self.logger)
        self.ledger.lent, self._lending = False, None

    def remembers(self, plan: Plan, route: RoutePlan) -> RecordsKeys | None:
        """By what a route's keys are remembered, if they are."""
        table = route.remember
        if table is None:
            return None
        cls, again = route.classes.write, route.classes.write_unkeyed
        made = plan.classes[cls]
        terms = KeyTerms(
            cls,
            again,
            made.deduplication_window,
            made.deduplication_scope == DeduplicationScope.ALL,
            float(table.remember),
            table.remember_answer,
        )
        tenant = plan.file.tenant[route.tenant].name if plan.file.tenant else ""
        return RecordsKeys(self.ledger, terms, tenant)

    def end(self) -> None:
        if self._waits is not None:
            self._waits.cancel()
            self._waits = None
        if self._lending is not None:
            self._lending.cancel()
        elif not self.lent or not self.store.closed:
            self.store.close()
