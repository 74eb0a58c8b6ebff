"""State transfer, by which an instance that is behind catches up.

It receives the commands after its version if the sender still retains them, else a snapshot in chunks, which is
verified by its digest. An interrupted snapshot transfer resumes where it stopped.
"""

from __future__ import annotations

from typing import Iterator, NamedTuple, Union

from blake3 import blake3

from loadbalancer.fleet.replication.commands import Command
from loadbalancer.fleet.replication.errors import TransferError
from loadbalancer.fleet.replication.events import CommandsReceived, SnapshotReceived
from loadbalancer.fleet.replication.messages import LogEntries, SnapshotChunk, StateRequest
from loadbalancer.fleet.replication.replica import PaxosReplica

#: Target size of the commands, or of the part of a snapshot, in one message, in bytes.
CHUNK_BYTES = 12 << 10
#: Estimated upper bound of the encoded size of a command without its body, in bytes.
COMMAND_OVERHEAD_BYTES = 120
#: Maximum size of a snapshot that is received, in bytes.
MAX_SNAPSHOT_BYTES = 128 << 20


class EncodedSnapshot(NamedTuple):
    """The encoded state of one version, cached for the next request."""

    version: int
    data: bytes
    digest: str


class StateSender:
    """Serves state requests of instances that are behind; a state is encoded once for each version."""

    def __init__(self, replica: PaxosReplica) -> None:
        self._replica = replica
        self._snapshot = EncodedSnapshot(-1, b"", "")

    def answer(self, request: StateRequest) -> Iterator[LogEntries | SnapshotChunk]:
        """Yield the messages that answer a request, in order; the caller may stop after any of them."""
        log = self._replica.command_log
        version = self._replica.state.version
        if request.version >= version:
            yield LogEntries(request.version + 1, (), True)
        elif request.version + 1 in log and not request.offset:
            yield from self._entries(request.version + 1, version)
        else:
            yield from self._chunks(request)

    def _entries(self, first: int, last: int) -> Iterator[LogEntries]:
        commands: list[Command] = []
        size = 0
        for version in range(first, last + 1):
            command = self._replica.command_log[version]
            commands.append(command)
            size += len(command.body) + COMMAND_OVERHEAD_BYTES
            if size >= CHUNK_BYTES or version == last:
                yield LogEntries(version - len(commands) + 1, tuple(commands), version == last)
                commands = []
                size = 0

    def _chunks(self, request: StateRequest) -> Iterator[SnapshotChunk]:
        state = self._replica.state
        if self._snapshot.version != state.version:
            data = state.encode()
            self._snapshot = EncodedSnapshot(state.version, data, blake3(data).hexdigest(16))
        version, data, digest = self._snapshot
        offset = request.offset if request.digest == digest else 0
        for start in range(offset, len(data), CHUNK_BYTES):
            yield SnapshotChunk(version, digest, start, len(data), data[start : start + CHUNK_BYTES])


class TransferStep(NamedTuple):
    """The result of receiving one message of a transfer.

    Attributes:
        event: The event for the replica; None while a snapshot is incomplete.
        is_last: Whether the transfer ends with this message.
    """

    event: Union[CommandsReceived, SnapshotReceived, None]
    is_last: bool


class StateReceiver:
    """Collects the chunks of a snapshot; received chunks are kept when a connection is interrupted."""

    def __init__(self) -> None:
        self._digest = ""
        self._size = 0
        self._data = bytearray()

    def next_request(self, version: int) -> StateRequest:
        """Return the request of an instance that acts on `version`; it resumes a snapshot that was received in part."""
        return StateRequest(version, self._digest, len(self._data))

    def receive(self, message: LogEntries | SnapshotChunk) -> TransferStep:
        """Receive one message of the answer.

        Raises:
            TransferError: It does not continue the data received so far, or the snapshot does not match its digest. The
                part of the snapshot that was received is dropped.
        """
        if isinstance(message, LogEntries):
            self._reset()
            return TransferStep(CommandsReceived(message.first_version, message.commands), message.is_last)
        if message.digest != self._digest:
            self._reset()
            self._digest = message.digest
            self._size = message.size
        self._append(message)
        if len(self._data) < self._size:
            return TransferStep(None, False)
        return TransferStep(SnapshotReceived(self._complete()), True)

    def _append(self, chunk: SnapshotChunk) -> None:
        received = len(self._data)
        if chunk.offset != received or chunk.size != self._size or chunk.size > MAX_SNAPSHOT_BYTES:
            self._reset()
            raise TransferError(
                f"a chunk at {chunk.offset} of {chunk.size} bytes does not follow the {received} bytes before"
            )
        self._data += chunk.data

    def _complete(self) -> bytes:
        """Return the snapshot after verifying its size and digest."""
        data = bytes(self._data)
        size, digest = self._size, self._digest
        self._reset()
        if len(data) != size or blake3(data).hexdigest(16) != digest:
            raise TransferError(f"a snapshot of {len(data)} bytes does not have its digest {digest}")
        return data

    def _reset(self) -> None:
        self._digest = ""
        self._size = 0
        self._data.clear()
