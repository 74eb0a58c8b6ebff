"""Clients that send requests to several proxies continuously, one per connection, and count the results by proxy.

`python -m standins.askers SECONDS PORT ...` runs them in a process of their own and prints the counts as JSON.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter
from typing import Sequence


class PollingClients:
    """Runs one client for each port and counts its results.

    A result is a status, "closed" if the connection failed, or "lost" if a request was sent and not answered.
    """

    def __init__(self, ports: Sequence[int], pause: float = 0.01) -> None:
        self.ports, self.pause = ports, pause
        self.results: dict[int, Counter[str]] = {port: Counter() for port in ports}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self._tasks = [asyncio.ensure_future(self._poll(port)) for port in self.ports]

    async def stop(self) -> Counter[str]:
        """Wait for requests in flight, then return the counts of all ports together."""
        tasks, self._tasks = self._tasks, []
        self.pause = -1.0
        await asyncio.gather(*tasks)
        return sum(self.results.values(), Counter())

    async def _poll(self, port: int) -> None:
        while self.pause >= 0:
            self.results[port][await ask(port)] += 1
            await asyncio.sleep(max(0.0, self.pause))


async def ask(port: int, method: str = "GET", path: str = "/", *lines: str) -> str:
    """Send one request and return its result, as `PollingClients` counts them."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return "closed"
    try:
        head = "".join(f"{line}\r\n" for line in ("Host: h", "Connection: close", *lines))
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode())
        response_head = await reader.readuntil(b"\r\n\r\n")
        length = response_head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
        await reader.readexactly(int(length or 0))
        return response_head[9:12].decode()
    except (OSError, asyncio.IncompleteReadError):
        return "lost"
    finally:
        writer.close()


async def _main(seconds: float, ports: Sequence[int]) -> None:
    clients = PollingClients(ports, pause=0.0)
    clients.start()
    await asyncio.sleep(seconds)
    print(json.dumps(await clients.stop()))


if __name__ == "__main__":
    asyncio.run(_main(float(sys.argv[1]), [int(port) for port in sys.argv[2:]]))
