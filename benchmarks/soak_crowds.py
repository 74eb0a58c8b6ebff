"""Crowds beside the clients of a soak: which one comes with a seed, and how much memory its process takes meanwhile."""

from __future__ import annotations

import asyncio
import random
from itertools import repeat
from typing import Iterator

from benchmarks.soak_peers import Address, Journal
from standins.crowds import (
    Behaviour,
    Crowd,
    Flood,
    half_body,
    many_fields,
    pipelining,
    request_head,
    slow_reader,
    slow_writer,
)
from standins.platform_run import SAMPLE_INTERVAL_S, resident_mb

#: Number of clients in a crowd: two of them, with the regular clients, are fewer than a process of the soak may hold.
MIN_CLIENTS, MAX_CLIENTS = 15, 42
ONE_BYTE_CHUNKS = b"1\r\nx\r\n" * 5_000


def behaviours(source: random.Random) -> list[Behaviour]:
    """Return one behaviour of each kind, with sizes that the random source chooses."""
    size = source.choice((70_000, 200_000, 1_000_000))
    return [
        many_fields(source.choice((200, 1_500, 6_000))),
        half_body(size),
        slow_writer(size, source.choice((20_000, 64_000))),
        slow_reader(size, source.choice(("length", "chunked", "close"))),
        slow_reader(60_000, requests=source.randrange(1, 5)),
        pipelining(source.randrange(2, 17), source.randrange(60)),
        long_answers(size, source.choice(("chunked", "close")), 1.0 + source.random()),
    ]


def long_answers(size: int, framing: str, seconds: float) -> Behaviour:
    """Return a client that asks again and again for a long answer that its member writes slowly."""

    async def use(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = f"/api?size={size}&framing={framing}&seconds={seconds}"
        writer.write(request_head("safe", target) + b"\r\n")
        while await reader.read(1 << 16):
            pass

    return use


class SoakCrowds:
    """The crowds of one process of a soak, and the sampling of its memory. Owned by the soak until `close`."""

    def __init__(self, seed: int, address: Address, pid: int, memory_mb: int, journal: Journal) -> None:
        """Choose two crowds and perhaps a flood; `memory_mb`: what the process may take, 0 for no limit."""
        source = random.Random(seed)
        chosen = source.sample(behaviours(source), 2)
        self._crowds = [
            Crowd(address, source.randrange(MIN_CLIENTS, MAX_CLIENTS), behaviour) for behaviour in chosen
        ]
        self._flood = Flood(address, _one_byte_chunks) if source.random() < 0.5 else None
        self._pid, self._memory_mb, self._journal = pid, memory_mb, journal
        self._peak_mb = 0.0
        self._sampling = asyncio.ensure_future(self._sample())

    def start(self) -> None:
        """Open the connections."""
        self._journal.record(f"crowds of {[crowd.clients for crowd in self._crowds]}, flood: {self._flood}")
        for crowd in self._crowds:
            crowd.start()
        if self._flood is not None:
            self._flood.start()

    async def close(self) -> None:
        """Close the connections, and check the peak of the memory."""
        self._sampling.cancel()
        if self._flood is not None:
            await self._flood.stop()
        await asyncio.gather(*(crowd.stop() for crowd in self._crowds))
        if self._memory_mb and self._peak_mb > self._memory_mb:
            self._journal.record_violation("memory", f"{self._peak_mb:.1f} MB of {self._memory_mb}")

    async def _sample(self) -> None:
        while True:
            self._peak_mb = max(self._peak_mb, resident_mb(self._pid))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def _one_byte_chunks() -> Iterator[bytes]:
    yield request_head("unsafe", "/api", "Transfer-Encoding: chunked") + b"\r\n"
    yield from repeat(ONE_BYTE_CHUNKS)
