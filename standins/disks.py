"""Disks in memory for the store's tests, with power failures, damage and I/O errors.

After a power failure, the disk keeps what real disks guarantee: bytes and names that were synced are there; of the
rest, any part may be there, in any order (torn, reordered or dropped writes; a rename before its data). A seeded
random generator decides which.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field


class CutError(Exception):
    """Raised when the power fails in the middle of a call."""


@dataclass
class _FileContent:
    """Holds a file's data, and the part of it that is guaranteed after a power failure."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class MemoryFile:
    def __init__(self, disk: MemoryDisk, content: _FileContent) -> None:
        self.disk, self.content = disk, content

    def write(self, data: bytes) -> None:
        disk = self.disk
        disk.step()
        room = disk.room - disk.used()
        if len(data) > room:
            self.content.data += data[: max(0, room)]
            raise OSError(errno.ENOSPC, "No space left on device")
        self.content.data += data

    def sync(self) -> None:
        self.disk.step()
        if self.disk.sync_fails > 0:
            self.disk.sync_fails -= 1
            raise OSError(errno.EIO, "Input/output error")
        self.content.synced = bytes(self.content.data)

    def truncate(self, size: int) -> None:
        self.disk.step()
        if self.disk.truncate_fails:
            raise OSError(errno.EIO, "Input/output error")
        del self.content.data[size:]

    def read_at(self, at: int, size: int) -> bytes:
        return bytes(self.content.data[at : at + size])

    def close(self) -> None:
        self.disk.open_files -= 1


class MemoryDisk:
    """A folder on a disk. `calls` counts the calls that modify it; the power fails at call number `cut_at`."""

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.files: dict[str, _FileContent] = {}  # files by name, as the program sees them
        self.synced_files: dict[str, _FileContent] = {}  # files by name, as of the last sync of the directory
        self.locked = False
        self.calls, self.cut_at = 0, -1
        self.room = 1 << 40
        self.sync_fails = 0
        self.truncate_fails = False
        self.unreadable: set[str] = set()
        self.open_files = 0

    def step(self) -> None:
        self.calls += 1
        if self.calls == self.cut_at:
            raise CutError

    def used(self) -> int:
        return sum(len(content.data) for content in self.files.values())

    def list_names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        if name in self.unreadable:
            raise OSError(errno.EIO, "Input/output error")
        return bytes(self.files[name].data)

    def create(self, name: str) -> MemoryFile:
        self.step()
        if name in self.files:
            raise FileExistsError(errno.EEXIST, "File exists")
        content = self.files[name] = _FileContent()
        self.open_files += 1
        return MemoryFile(self, content)

    def open(self, name: str) -> MemoryFile:
        self.open_files += 1
        return MemoryFile(self, self.files[name])

    def replace(self, old: str, new: str) -> None:
        self.step()
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        self.step()
        del self.files[name]

    def sync_directory(self) -> None:
        self.step()
        self.synced_files = dict(self.files)

    def lock(self) -> None:
        if self.locked:
            raise BlockingIOError(errno.EAGAIN, "locked")
        self.locked = True

    def unlock(self) -> None:
        self.locked = False

    def after_cut(self) -> MemoryDisk:
        """Return the disk as the next process finds it after a power failure."""
        remaining = MemoryDisk(self.random.getrandbits(32))
        remaining_files = dict(self.synced_files)
        # Each unsynced creation, rename or removal is kept or lost.
        for name in sorted(self.files.keys() | self.synced_files.keys()):
            if self.random.random() < 0.5:
                if name in self.files:
                    remaining_files[name] = self.files[name]
                else:
                    remaining_files.pop(name, None)
        for name, content in remaining_files.items():
            data = self._survives(content)
            remaining.files[name] = remaining.synced_files[name] = _FileContent(bytearray(data), data)
        return remaining

    def _survives(self, content: _FileContent) -> bytes:
        """Return the synced data and a random part of the unsynced data: cut at any byte, with some pages zeroed."""
        data, synced = bytes(content.data), content.synced
        # An unsynced truncation is kept or lost.
        if self.random.random() < 0.3 or len(data) < len(synced):
            return synced if self.random.random() < 0.5 or not data.startswith(synced) else data
        unsynced = bytearray(data[len(synced) :])
        del unsynced[self.random.randint(0, len(unsynced)) :]
        page = self.random.choice((1, 7, 64, 512))
        for at in range(0, len(unsynced), page):
            if self.random.random() < 0.3:
                unsynced[at : at + page] = bytes(len(unsynced[at : at + page]))
        return synced + bytes(unsynced)

    def copy(self) -> MemoryDisk:
        """Return a copy that later changes of this disk don't affect."""
        copied = MemoryDisk(1)
        for name, content in self.files.items():
            copied.files[name] = copied.synced_files[name] = _FileContent(
                bytearray(content.data), bytes(content.data)
            )
        return copied
