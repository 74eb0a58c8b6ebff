"""How an instance that is behind gets what it lacks: the changes since its version where they are held, else the whole
state in slices, checked by a digest, resumed after a cut. Pure: messages in and out.
"""

from __future__ import annotations

from typing import Iterator, Union

from blake3 import blake3

from loadbalancer.fleet.replication.messages import LogEntries, SnapshotChunk, StateRequest
from loadbalancer.fleet.replication.replica import CommandsReceived, PaxosReplica, SnapshotReceived
from loadbalancer.fleet.replication.replicated_state import Command

#: Bytes of changes, or of a state, in one message.
PART = 12 << 10
#: Bytes of a state that is taken at most.
WHOLE_MOST = 128 << 20


class StateSender:
    """What one instance gives to those that are behind it. A state is encoded once for a version."""

    def __init__(self, versions: PaxosReplica) -> None:
        self.versions = versions
        self._version, self._data, self._digest = -1, b"", ""

    def answer(self, want: StateRequest) -> Iterator[LogEntries | SnapshotChunk]:
        """In order; whoever sends them may stop at any time."""
        log, now = self.versions.command_log, self.versions.state.version
        if want.version >= now:
            yield LogEntries(want.version + 1, (), True)
        elif want.version + 1 in log and not want.offset:
            yield from self._entries(want.version + 1, now)
        else:
            yield from self._slices(want)

    def _entries(self, first: int, last: int) -> Iterator[LogEntries]:
        part: list[Command] = []
        size = 0
        for version in range(first, last + 1):
            change = self.versions.command_log[version]
            part.append(change)
            size += len(change.body) + 120
            if size >= PART or version == last:
                yield LogEntries(version - len(part) + 1, tuple(part), version == last)
                part, size = [], 0

    def _slices(self, want: StateRequest) -> Iterator[SnapshotChunk]:
        said = self.versions.state
        if self._version != said.version:
            self._version, self._data = said.version, said.encode()
            self._digest = blake3(self._data).hexdigest(16)
        data, digest, version = self._data, self._digest, self._version
        offset = want.offset if want.digest == digest else 0
        for at in range(offset, len(data), PART):
            yield SnapshotChunk(version, digest, at, len(data), data[at : at + PART])


class StateReceiver:
    """What has come to one that is behind. It outlasts a cut: `want` says where it goes on."""

    def __init__(self) -> None:
        self._digest, self._size = "", 0
        self._data = bytearray()

    def want(self, version: int) -> StateRequest:
        return StateRequest(version, self._digest, len(self._data))

    def take(
        self, message: LogEntries | SnapshotChunk
    ) -> tuple[Union[CommandsReceived, SnapshotReceived, None], bool]:
        """What is whole by now, if anything, and whether this was the last. ValueError for what does not fit; what had
        come is thrown away then."""
        if isinstance(message, LogEntries):
            self._forget()
            return CommandsReceived(message.first_version, message.commands), message.is_last
        if message.digest != self._digest:
            self._forget()
            self._digest, self._size = message.digest, message.size
        if message.offset != len(self._data) or message.size != self._size or message.size > WHOLE_MOST:
            self._forget()
            raise ValueError("a slice that does not follow the one before")
        self._data += message.data
        if len(self._data) < self._size:
            return None, False
        data = bytes(self._data)
        whole = len(data) == self._size and blake3(data).hexdigest(16) == message.digest
        self._forget()
        if not whole:
            raise ValueError("a state that does not have its digest")
        return SnapshotReceived(data), True

    def _forget(self) -> None:
        self._digest, self._size = "", 0
        self._data.clear()
