"""A keyed request with a long body takes effect twice: its second copy is completed after the window for repeats.

Of four servers two hang. The first one hangs in the middle of its work, once it has read a whole `book`. The proxy
sends a second copy, inside the window. The server that gets it hangs too, for as long, before it has read all of it,
and so most of the body stays in the proxy. When the two go on, the window is over.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig  # noqa: E402

SERVERS = 4
ROUNDS = 3
WINDOW_S = 1.0
"""For how long all servers remember a key, from when the first attempt was sent."""
SLACK_S = 0.15 + 0.05
"""What the pages grant: a hold-up between reading the clock and writing, and the slack of a time limit on sockets."""
HANG_S = 2.5
"""For how long the first server hangs."""
RESUME_S = 1.3
"""When the second one goes on, from when the first one began to hang."""
WORK_S = 0.08
BODY = bytes(1 << 20)
RECEIVE_BYTES = 64 << 10


class Group:
    """The servers of the deployment: they drop repeats of a key together, for as long as the settings say."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.begun: dict[str, float] = {}  # by key: when its first attempt came whole
        self.effects: dict[str, list[tuple[str, float]]] = {}
        self.hung: dict[str, float] = {}  # until when a server hangs, by name
        self.first: str | None = None  # the key whose request the first server hangs on
        self.trouble: str | None = None  # the key of the request in whose work trouble begins


class Server:
    """One server: it begins a request when its last byte has come, and reads nothing while it hangs."""

    def __init__(self, name: str, group: Group) -> None:
        self.name, self.group = name, group
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        _, self.port = await rig.listen(self._serve, RECEIVE_BYTES)

    async def _not_hung(self) -> None:
        while self.group.record.now() < self.group.hung.get(self.name, 0.0):
            await asyncio.sleep(0.002)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        group = self.group
        while True:
            _, fields = await rig.read_head(reader)
            await self._not_hung()
            key = fields.get("idempotency-key", "")
            if (
                key
                and key == group.trouble
                and group.hung
                and self.name not in group.hung
                and len(group.hung) < SERVERS // 2
            ):
                group.hung[self.name] = max(group.hung.values()) - HANG_S + RESUME_S
                group.record(f"{self.name}: hangs before it has read all of {key}")
                await self._not_hung()
            await rig.read_body(reader, fields)
            if key:
                self._begin(key)
            await asyncio.sleep(WORK_S)
            await self._not_hung()
            writer.write(rig.answer(200, fields["x-txn"].encode()))
            await writer.drain()

    def _begin(self, key: str) -> None:
        group, now = self.group, self.group.record.now()
        began = group.begun.setdefault(key, now)
        is_repeat = began < now < began + WINDOW_S + SLACK_S
        group.record(
            f"{self.name}: last byte of {key} has come{', dropped as a repeat' if is_repeat else ', it runs'}"
        )
        if not is_repeat:
            group.effects.setdefault(key, []).append((self.name, now))
        if rig.TROUBLE and key == group.trouble and not group.hung:
            group.hung[self.name] = now + HANG_S
            group.record(f"{self.name}: hangs for {HANG_S} s in the middle of the work for {key}")


async def track(address: str, number: str) -> None:
    """Send a `track`, so that the proxy knows its servers."""
    await rig.call(address, rig.head("track", number, 1500, 0), 2.0)


async def play(record: rig.Record, folder: pathlib.Path, proxies: list[rig.ProxyProcess]) -> list[str]:
    """Send a `book` in each round, and count how often each took effect."""
    group, agent = Group(record), rig.Agent(record)
    await agent.start()
    for number in range(SERVERS):
        server = Server(f"s-{number}", group)
        await server.start()
        agent.entries[server.name] = agent.entry(server.name, server.port)
    box = rig.settings()
    box["classes"][1]["dedup-window-s"] = WINDOW_S
    address = f"{rig.HOST}:{rig.free_port()}"
    proxy = rig.ProxyProcess(folder, "proxy", rig.configuration(agent, address, box), {})
    proxies.append(proxy)
    await proxy.start()
    await rig.wait_ready(address)
    for number in range(ROUNDS):
        for warm in range(40):
            await track(address, f"warm-{number}-{warm}")
        key = f"key-{number}"
        group.hung.clear()
        group.trouble = key
        record(f"client: sends book {key}, {len(BODY)} bytes")
        request = rig.head("book", f"book-{number}", 5000, len(BODY), key) + BODY
        status, body = await rig.call(address, request, 8.0)
        record(f"client: book {key} answered {status} {body!r}")
        await asyncio.sleep(HANG_S)
    if not proxy.is_running():
        raise rig.NotRunError("the proxy ended")
    if len(group.begun) < ROUNDS:
        record("not each book reached a server")
    return [
        f"{key} took effect {len(runs)} times: {runs}" for key, runs in group.effects.items() if len(runs) > 1
    ]


if __name__ == "__main__":
    rig.run_case(__file__, play)
