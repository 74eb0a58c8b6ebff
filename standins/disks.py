"""Disks for the store's tests: in memory, with cuts of power, damage, and errors of each kind.

What a cut leaves follows what disks promise: bytes and names that were synced are there; of the rest any part may be,
in any order (torn, reordered, dropped writes; a rename before its data). A seed draws which.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field


class CutError(Exception):
    """The power is gone in the middle of a call."""


@dataclass
class _Node:
    """What a file holds, and what of it would be there after a cut."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class MemoryFile:
    def __init__(self, disk: MemoryDisk, node: _Node) -> None:
        self.disk, self.node = disk, node

    def write(self, data: bytes) -> None:
        disk = self.disk
        disk.step()
        room = disk.room - disk.used()
        if len(data) > room:
            self.node.data += data[: max(0, room)]
            raise OSError(errno.ENOSPC, "No space left on device")
        self.node.data += data

    def sync(self) -> None:
        self.disk.step()
        if self.disk.sync_fails > 0:
            self.disk.sync_fails -= 1
            raise OSError(errno.EIO, "Input/output error")
        self.node.synced = bytes(self.node.data)

    def truncate(self, size: int) -> None:
        self.disk.step()
        if self.disk.cut_fails:
            raise OSError(errno.EIO, "Input/output error")
        del self.node.data[size:]

    def read_at(self, at: int, size: int) -> bytes:
        return bytes(self.node.data[at : at + size])

    def close(self) -> None:
        self.disk.open_files -= 1


class MemoryDisk:
    """One folder. `calls` counts every call that changes anything; at call `cut_at` the power goes."""

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.now: dict[str, _Node] = {}  # names as the program sees them
        self.kept: dict[str, _Node] = {}  # names as they were last synced
        self.locked = False
        self.calls, self.cut_at = 0, -1
        self.room = 1 << 40
        self.sync_fails = 0
        self.cut_fails = False
        self.unreadable: set[str] = set()
        self.open_files = 0

    def step(self) -> None:
        self.calls += 1
        if self.calls == self.cut_at:
            raise CutError

    def used(self) -> int:
        return sum(len(node.data) for node in self.now.values())

    def list_names(self) -> list[str]:
        return sorted(self.now)

    def read(self, name: str) -> bytes:
        if name in self.unreadable:
            raise OSError(errno.EIO, "Input/output error")
        return bytes(self.now[name].data)

    def create(self, name: str) -> MemoryFile:
        self.step()
        if name in self.now:
            raise FileExistsError(errno.EEXIST, "File exists")
        node = self.now[name] = _Node()
        self.open_files += 1
        return MemoryFile(self, node)

    def open(self, name: str) -> MemoryFile:
        self.open_files += 1
        return MemoryFile(self, self.now[name])

    def replace(self, old: str, new: str) -> None:
        self.step()
        self.now[new] = self.now.pop(old)

    def remove(self, name: str) -> None:
        self.step()
        del self.now[name]

    def sync_directory(self) -> None:
        self.step()
        self.kept = dict(self.now)

    def lock(self) -> None:
        if self.locked:
            raise BlockingIOError(errno.EAGAIN, "locked")
        self.locked = True

    def unlock(self) -> None:
        self.locked = False

    def after_cut(self) -> MemoryDisk:
        """The disk as the next process finds it."""
        left = MemoryDisk(self.random.getrandbits(32))
        names = dict(self.kept)
        for name in sorted(self.now.keys() | self.kept.keys()):  # each change of a name is there or is not
            if self.random.random() < 0.5:
                if name in self.now:
                    names[name] = self.now[name]
                else:
                    names.pop(name, None)
        for name, node in names.items():
            data = self._survives(node)
            left.now[name] = left.kept[name] = _Node(bytearray(data), data)
        return left

    def _survives(self, node: _Node) -> bytes:
        """What was synced, and of the rest each page or not, cut anywhere."""
        whole, synced = bytes(node.data), node.synced
        if self.random.random() < 0.3 or len(whole) < len(
            synced
        ):  # a file cut short is as it was, or as it is
            return synced if self.random.random() < 0.5 or not whole.startswith(synced) else whole
        rest = bytearray(whole[len(synced) :])
        del rest[self.random.randint(0, len(rest)) :]
        page = self.random.choice((1, 7, 64, 512))
        for at in range(0, len(rest), page):
            if self.random.random() < 0.3:
                rest[at : at + page] = bytes(len(rest[at : at + page]))
        return synced + bytes(rest)

    def copy(self) -> MemoryDisk:
        """The same, untouched by what happens to this one."""
        made = MemoryDisk(1)
        for name, node in self.now.items():
            made.now[name] = made.kept[name] = _Node(bytearray(node.data), bytes(node.data))
        return made
