"""State transfer at one daemon: fetches what this instance lacks, and sends others what they lack."""

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

#: Bytes a second of a snapshot that each receiver gets.
SNAPSHOT_BYTES_PER_S = 4 << 20


class StateTransferDriver:
    """Owns the task that fetches from one other instance at a time; `close` cancels it."""

    def __init__(
        self,
        replica: PaxosReplica,
        peers: FleetPeers,
        deliver: Callable[[CommandsReceived | SnapshotReceived], None],
        on_ended: Callable[[], None],
        on_failed: Callable[[str], None],
    ) -> None:
        """Hand in what a transfer is made between.

        Args:
            replica: whose state is sent.
            peers: the other instances.
            deliver: gives the replica what has come.
            on_ended: called when an attempt has ended, whatever came of it.
            on_failed: called with whom it was fetched from and the reason, where the connection has failed.
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
        """Begin to fetch from an instance, unless a transfer is under way."""
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
        """Ask for what is lacking; the receiver keeps what has come, for a further attempt."""
        request = self._receiver.next_request(self._replica.state.version)
        async for message in self._peers.ask_member(member, request):
            if not isinstance(message, (LogEntries, SnapshotChunk)):
                raise ValueError("neither changes nor a state")  # noqa: TRY004
            received, is_last = self._receiver.receive(message)
            if received is not None:
                self._deliver(received)
            if is_last:
                return

    def answer(self, request: StateRequest) -> StreamedAnswer:
        """Return what another instance lacks, at a bounded rate."""
        for message in self._sender.answer(request):
            size = len(message.data) if isinstance(message, SnapshotChunk) else 0
            yield StreamedMessage(message, size / SNAPSHOT_BYTES_PER_S)
