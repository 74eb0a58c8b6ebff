"""State transfer at one daemon: fetches missing commands or a snapshot, and sends them to other instances."""

from __future__ import annotations

import asyncio
from typing import Callable

from loadbalancer.daemon.fleet_interfaces import StreamedAnswer, StreamedMessage
from loadbalancer.daemon.fleet_peers import FleetPeers
from loadbalancer.fleet.member_state import MemberState
from loadbalancer.fleet.replication.events import CommandsReceived, SnapshotReceived
from loadbalancer.fleet.replication.messages import LogEntries, SnapshotChunk, StateRequest
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.state_transfer import StateReceiver, StateSender

#: Rate limit of a snapshot for each receiver, in bytes per second.
SNAPSHOT_BYTES_PER_S = 4 << 20


class StateTransferDriver:
    """Fetches state from one instance at a time, and sends state to others.

    It owns the fetching task, which `close` cancels.
    """

    def __init__(
        self,
        replica: PaxosReplica,
        peers: FleetPeers,
        deliver: Callable[[CommandsReceived | SnapshotReceived], None],
        on_ended: Callable[[], None],
        on_failed: Callable[[str], None],
    ) -> None:
        """Create the driver without a transfer.

        Args:
            replica: The replica whose state is sent.
            peers: The other instances.
            deliver: Passes received commands or a received snapshot to the replica.
            on_ended: Called when an attempt has ended, successfully or not.
            on_failed: Called with the name of the source and the reason if an attempt fails.
        """
        self._replica = replica
        self._peers = peers
        self._deliver = deliver
        self._on_ended = on_ended
        self._on_failed = on_failed
        self._sender = StateSender(replica)
        self._receiver = StateReceiver()
        self._task: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Cancel the transfer."""
        if self._task is not None:
            self._task.cancel()

    def fetch(self, source: str) -> None:
        """Start to fetch from an instance, unless a transfer is in progress."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._fetch(source))

    async def _fetch(self, source: str) -> None:
        member = self._peers.find(source)
        if member is None:
            return
        try:
            await self._receive(member)
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError) as problem:
            self._on_failed(f"{source}: {problem}")
        self._on_ended()

    async def _receive(self, member: MemberState) -> None:
        """Fetch the missing state; the receiver keeps the part of a snapshot that has arrived for the next attempt."""
        request = self._receiver.next_request(self._replica.state.version)
        async for message in self._peers.request_member(member, request):
            if not isinstance(message, (LogEntries, SnapshotChunk)):
                raise ValueError(f"expected LogEntries or SnapshotChunk, got {type(message).__name__}")  # noqa: TRY004
            received, is_last = self._receiver.receive(message)
            if received is not None:
                self._deliver(received)
            if is_last:
                return

    def answer(self, request: StateRequest) -> StreamedAnswer:
        """Yield the state that another instance is missing, at a limited rate."""
        for message in self._sender.answer(request):
            size = len(message.data) if isinstance(message, SnapshotChunk) else 0
            yield StreamedMessage(message, size / SNAPSHOT_BYTES_PER_S)
