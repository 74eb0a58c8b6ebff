"""Clients that ask several proxies on and on, one request a connection, and count what they hear by proxy.

python -m standins.askers SECONDS PORT ... does so in a process of its own, and writes the counts as JSON.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter
from typing import Sequence


class Askers:
    """One client for each port. What it hears: a status, "closed" where nobody listens, "lost" where a request that was
    taken has no answer."""

    def __init__(self, ports: Sequence[int], pause: float = 0.01) -> None:
        self.ports, self.pause = ports, pause
        self.ends: dict[int, Counter[str]] = {port: Counter() for port in ports}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self._tasks = [asyncio.ensure_future(self._run(port)) for port in self.ports]

    async def stop(self) -> Counter[str]:
        """All that was heard; what is under way is heard first."""
        tasks, self._tasks = self._tasks, []
        self.pause = -1.0
        await asyncio.gather(*tasks)
        return sum(self.ends.values(), Counter())

    async def _run(self, port: int) -> None:
        while self.pause >= 0:
            self.ends[port][await ask(port)] += 1
            await asyncio.sleep(max(0.0, self.pause))


async def ask(port: int, method: str = "GET", path: str = "/", *lines: str) -> str:
    """What one request hears."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return "closed"
    try:
        head = "".join(f"{line}\r\n" for line in ("Host: h", "Connection: close", *lines))
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode())
        found = await reader.readuntil(b"\r\n\r\n")
        length = found.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
        await reader.readexactly(int(length or 0))
        return found[9:12].decode()
    except (OSError, asyncio.IncompleteReadError):
        return "lost"
    finally:
        writer.close()


async def _main(seconds: float, ports: Sequence[int]) -> None:
    askers = Askers(ports, pause=0.0)
    askers.start()
    await asyncio.sleep(seconds)
    print(json.dumps(await askers.stop()))


if __name__ == "__main__":
    asyncio.run(_main(float(sys.argv[1]), [int(port) for port in sys.argv[2:]]))
