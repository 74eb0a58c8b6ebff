"""What instances tell one another after a restart: what they have learnt of endpoints, and endpoint lists."""

from __future__ import annotations

import asyncio
import time

from loadbalancer.admin.snapshot import (
    PoolSnapshot,
    Snapshot,
    SnapshotError,
    decode,
    encode,
    restore_pool,
    snapshot_pool,
)
from loadbalancer.admin.snapshot_merge import merge_snapshots
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.fleet_interfaces import StreamedAnswer, StreamedMessage
from loadbalancer.daemon.fleet_peers import FleetPeers
from loadbalancer.fleet.replication.messages import QueryRequest, QueryResponse

#: Seconds that another instance has to answer.
ANSWER_TIMEOUT_S = 1.5
#: Seconds for which what was learnt waits for the endpoint lists of its pools.
MAX_WAIT_FOR_LIST_S = 4 * ANSWER_TIMEOUT_S
#: Bytes of an answer in one message, and of a whole answer.
MESSAGE_BYTES = 12 << 10
MAX_ANSWER_BYTES = 8 << 20
#: The questions: for what was learnt, and for the endpoint list of a pool.
SNAPSHOT_QUERY = "learnt"
LIST_QUERY_PREFIX = "list/"


class PeerLearning:
    """Asks other instances, and applies to the pools what they answer.

    Attributes:
        outcomes: by the names of those asked for what they have learnt, what has come of it.
    """

    def __init__(self, daemon: DaemonContext, peers: FleetPeers) -> None:
        self._daemon = daemon
        self._peers = peers
        self._snapshot: Snapshot | None = None  # of pools whose endpoints are not listed yet
        self.outcomes: dict[str, str] = {}

    async def learn(self, names: tuple[str, ...]) -> None:
        """Ask all of `names` for what they have learnt, and the first also for endpoint lists."""
        lists = self.take_lists(names[0])
        found, _ = await asyncio.gather(asyncio.gather(*(self._ask(name) for name in names)), lists)
        snapshots = [snapshot for snapshot in found if snapshot is not None]
        self._snapshot = merge_snapshots(snapshots, time.time())
        self.apply()

    async def _ask(self, name: str) -> Snapshot | None:
        try:
            snapshot = decode(await self._fetch(name, SNAPSHOT_QUERY))
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError, SnapshotError) as problem:
            self.outcomes[name] = f"nothing: {problem}"
            return None
        # The two clocks may differ, so what was told now counts as of now.
        snapshot.at = time.time()
        self.outcomes[name] = f"{sum(len(pool.endpoints) for pool in snapshot.pools)} members"
        return snapshot

    async def _fetch(self, name: str, query: str) -> bytes:
        """Return the whole answer of another instance; ConnectionError where its name is not known."""
        member = self._peers.find(name)
        if member is None:
            raise ConnectionError("not known any more")
        data = b""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            async for message in self._peers.ask_member(member, QueryRequest(query)):
                if not isinstance(message, QueryResponse) or not message.body:
                    break
                data += message.body
                if len(data) > MAX_ANSWER_BYTES:
                    raise ValueError(f"over {MAX_ANSWER_BYTES} bytes")
        return data

    async def take_lists(self, name: str) -> None:
        """Take the endpoint lists that another instance has had of late, for pools that have none yet."""
        for pool_name, pool in list(self._daemon.pools.items()):
            if pool.plan.table.discovery is None or pool.proxy.listed:
                continue
            try:
                count = pool.import_list(await self._fetch(name, f"{LIST_QUERY_PREFIX}{pool_name}"))
                self._daemon.logger(
                    "fleet: endpoint list received", f"{count} members of {pool_name}, by {name}"
                )
            except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError) as problem:
                self._daemon.logger("fleet: endpoint list not received", f"{pool_name}, by {name}: {problem}")

    def apply(self) -> None:
        """Apply what was learnt to the pools whose endpoints are listed by now."""
        snapshot = self._snapshot
        if snapshot is None:
            return
        passed = max(0.0, time.time() - snapshot.at)
        waiting: list[PoolSnapshot] = []
        for note in snapshot.pools:
            pool = self._daemon.pools.get(note.name)
            if pool is not None and not pool.proxy.listed:
                waiting.append(note)
            elif pool is not None:
                restore_pool(note, pool.proxy.balancer, pool.proxy.now(), passed)
        waits = waiting and passed < MAX_WAIT_FOR_LIST_S
        self._snapshot = Snapshot(snapshot.at, waiting) if waits else None

    def answer_list(self, pool_name: str) -> StreamedAnswer:
        """Return the endpoint list of a pool, nothing where there is none to hand on."""
        pool = self._daemon.pools.get(pool_name)
        return _in_messages(pool.export_list() if pool is not None else b"")

    def answer_snapshot(self) -> StreamedAnswer:
        """Return what this instance has learnt of all endpoints."""
        pools = [
            snapshot_pool(name, pool.proxy.balancer, pool.proxy.now(), {}, None)
            for name, pool in self._daemon.pools.items()
        ]
        return _in_messages(encode(Snapshot(time.time(), pools)))


def empty_answer() -> StreamedAnswer:
    """Return the answer of an instance that has nothing to tell."""
    return _in_messages(b"")


def _in_messages(data: bytes) -> StreamedAnswer:
    parts = [data[offset : offset + MESSAGE_BYTES] for offset in range(0, len(data), MESSAGE_BYTES)]
    return iter([StreamedMessage(QueryResponse(part), 0.0) for part in (*parts, b"")])
