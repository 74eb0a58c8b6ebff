"""The narrow way to files that the store has; tests put their own in its place. The one file here that does I/O."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """One file that is written at its end."""

    def write(self, data: bytes) -> None:
        """All of it, OSError where that can't be."""

    def sync(self) -> None:
        """Back once what was written is on disk; OSError is final for the file."""

    def cut(self, size: int) -> None: ...
    def read_at(self, at: int, size: int) -> bytes: ...
    def close(self) -> None: ...


class Files(Protocol):
    """One folder. Names are those of files in it."""

    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def create(self, name: str) -> File:
        """A new file; FileExistsError where there is one."""

    def open(self, name: str) -> File:
        """One that is there, at its end."""

    def replace(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def sync_folder(self) -> None:
        """Back once names that were made, moved and removed are on disk."""

    def lock(self) -> None:
        """BlockingIOError where another writer has it; held until `unlock` or the end of the process."""

    def unlock(self) -> None: ...


class DiskFile:
    """A file by its descriptor."""

    def __init__(self, path: str, flags: int) -> None:
        self.fd = os.open(path, flags | os.O_RDWR | os.O_CLOEXEC, 0o600)

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self.fd, view) :]

    def sync(self) -> None:
        os.fdatasync(self.fd)

    def cut(self, size: int) -> None:
        os.ftruncate(self.fd, size)

    def read_at(self, at: int, size: int) -> bytes:
        return os.pread(self.fd, size, at)

    def close(self) -> None:
        os.close(self.fd)


class DiskFiles:
    """A folder on disk, made if it is not there, for its owner alone."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock: int | None = None

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def names(self) -> list[str]:
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        with open(self._path(name), "rb") as file:
            return file.read()

    def create(self, name: str) -> DiskFile:
        return DiskFile(self._path(name), os.O_CREAT | os.O_EXCL | os.O_APPEND)

    def open(self, name: str) -> DiskFile:
        return DiskFile(self._path(name), os.O_APPEND)

    def replace(self, old: str, new: str) -> None:
        os.replace(self._path(old), self._path(new))

    def remove(self, name: str) -> None:
        os.unlink(self._path(name))

    def sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def lock(self) -> None:
        if not self.folder.is_dir():
            self.folder.mkdir(parents=True, mode=0o700)
            parent = os.open(self.folder.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            try:
                os.fsync(parent)
            finally:
                os.close(parent)
        self._lock = os.open(self._path("lock"), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            self._lock = None
            raise

    def unlock(self) -> None:
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
