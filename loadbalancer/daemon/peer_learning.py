"""Exchange of learned endpoint state and endpoint lists between instances after a restart."""

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

#: Timeout in seconds for the whole answer of another instance.
ANSWER_TIMEOUT_S = 1.5
#: Seconds for which learned state waits for the endpoint lists of its pools; it is dropped afterwards.
MAX_WAIT_FOR_LIST_S = 4 * ANSWER_TIMEOUT_S
#: Maximum bytes of an answer in one message, and in total.
MESSAGE_BYTES = 12 << 10
MAX_ANSWER_BYTES = 8 << 20
#: Query paths: for the learned endpoint state, and for the endpoint list of a pool.
SNAPSHOT_QUERY = "learnt"
LIST_QUERY_PREFIX = "list/"


class PeerLearning:
    """Requests learned endpoint state and endpoint lists from other instances and applies them to the pools.

    Attributes:
        outcomes: The result of each request for learned state, by the name of the instance, for operators.
    """

    def __init__(self, daemon: DaemonContext, peers: FleetPeers) -> None:
        self._daemon = daemon
        self._peers = peers
        self._snapshot: Snapshot | None = None  # learned state of pools that have no endpoint list yet
        self.outcomes: dict[str, str] = {}

    async def learn(self, names: tuple[str, ...]) -> None:
        """Request the learned state of all `names`, and endpoint lists from the first of them."""
        lists = self.fetch_lists(names[0])
        answers, _ = await asyncio.gather(
            asyncio.gather(*(self._fetch_snapshot(name) for name in names)), lists
        )
        snapshots = [snapshot for snapshot in answers if snapshot is not None]
        self._snapshot = merge_snapshots(snapshots, time.time())
        self.apply()

    async def _fetch_snapshot(self, name: str) -> Snapshot | None:
        try:
            snapshot = decode(await self._fetch(name, SNAPSHOT_QUERY))
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError, SnapshotError) as problem:
            self.outcomes[name] = f"nothing: {problem}"
            return None
        # The clocks of the two machines may differ, so the snapshot is dated by its arrival.
        snapshot.at = time.time()
        self.outcomes[name] = f"{sum(len(pool.endpoints) for pool in snapshot.pools)} members"
        return snapshot

    async def _fetch(self, name: str, query: str) -> bytes:
        """Return the whole answer of another instance; raises ConnectionError if its name is unknown."""
        member = self._peers.find(name)
        if member is None:
            raise ConnectionError("not known any more")
        data = b""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            async for message in self._peers.request_member(member, QueryRequest(query)):
                if not isinstance(message, QueryResponse) or not message.body:
                    break
                data += message.body
                if len(data) > MAX_ANSWER_BYTES:
                    raise ValueError(f"over {MAX_ANSWER_BYTES} bytes")
        return data

    async def fetch_lists(self, name: str) -> None:
        """Fetch another instance's recent endpoint lists for the discovered pools that have no list yet."""
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
        """Apply the learned state to the pools that have an endpoint list by now."""
        snapshot = self._snapshot
        if snapshot is None:
            return
        age_s = max(0.0, time.time() - snapshot.at)
        waiting: list[PoolSnapshot] = []
        for pool_snapshot in snapshot.pools:
            pool = self._daemon.pools.get(pool_snapshot.name)
            if pool is not None and not pool.proxy.listed:
                waiting.append(pool_snapshot)
            elif pool is not None:
                restore_pool(pool_snapshot, pool.proxy.balancer, pool.proxy.now(), age_s)
        keeps_waiting = waiting and age_s < MAX_WAIT_FOR_LIST_S
        self._snapshot = Snapshot(snapshot.at, waiting) if keeps_waiting else None

    def answer_list(self, pool_name: str) -> StreamedAnswer:
        """Return the endpoint list of a pool; empty if there is no recent list."""
        pool = self._daemon.pools.get(pool_name)
        return _in_messages(pool.export_list() if pool is not None else b"")

    def answer_snapshot(self) -> StreamedAnswer:
        """Return the learned state of all endpoints of this instance."""
        pools = [
            snapshot_pool(name, pool.proxy.balancer, pool.proxy.now(), {}, None)
            for name, pool in self._daemon.pools.items()
        ]
        return _in_messages(encode(Snapshot(time.time(), pools)))


def empty_answer() -> StreamedAnswer:
    """Return an answer without content."""
    return _in_messages(b"")


def _in_messages(data: bytes) -> StreamedAnswer:
    parts = [data[offset : offset + MESSAGE_BYTES] for offset in range(0, len(data), MESSAGE_BYTES)]
    return iter([StreamedMessage(QueryResponse(part), 0.0) for part in (*parts, b"")])
