"""Clients of a soak whose answers come along random curves: late bodies, rests, answers that never end."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random
from typing import Callable

from benchmarks.soak_peers import Address, Journal
from standins.paces import Heard, draw_exchange, find_broken_safety_rule, play

CLIENTS = 3
"""Exchanges that are open at the same time."""
RETRY_S = 0.05
"""Seconds after which a client whose connection failed connects again."""


class SoakPaces:
    """The clients of one process.

    Whether an answer has to come whole is not judged here, as members hang and processes end beside it; see
    `benchmarks.paces`.
    """

    def __init__(
        self, seed: int, address: Address, journal: Journal, count_effects: Callable[[str], int]
    ) -> None:
        """Create the clients; `count_effects` returns how often a request has come whole to a member."""
        self._source = Random(seed)
        self._address = address
        self._journal = journal
        self._count_effects = count_effects
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to send."""
        self._tasks = [asyncio.ensure_future(self._run()) for _ in range(CLIENTS)]

    async def stop(self) -> None:
        """Send no more, and drop what is open."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            exchange = replace(draw_exchange(self._source), upload=())
            try:
                txn, heard = await play(self._address, exchange)
            except OSError:
                await asyncio.sleep(RETRY_S)
                continue
            self._judge(txn, exchange.target, find_broken_safety_rule(exchange, self._complete(txn, heard)))

    def _complete(self, txn: str, heard: Heard) -> Heard:
        return replace(heard, effects=self._count_effects(txn))

    def _judge(self, txn: str, target: str, broken_rule: str | None) -> None:
        if broken_rule is not None:
            self._journal.record_violation(broken_rule, f"{txn} {target}")
