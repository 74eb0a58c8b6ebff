"""The store's interface to files, and its implementation on a real disk; tests use one in memory."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """An append-only file."""

    def write(self, data: bytes) -> None:
        """Append all of the data.

        Raises:
            OSError: Not all of it could be written; a part may have been.
        """

    def sync(self) -> None:
        """Return once all written data is on disk.

        Raises:
            OSError: The data may not be on disk. A retry does not help, since the error is final for the file.
        """

    def truncate(self, size: int) -> None:
        """Truncate the file to a size in bytes."""

    def read_at(self, at: int, size: int) -> bytes:
        """Read from an offset, without effect on where data is appended."""

    def close(self) -> None:
        """Release the descriptor."""


class Files(Protocol):
    """A directory of files, which are addressed by name."""

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    def create(self, name: str) -> File:
        """Create a file.

        Raises:
            FileExistsError: A file of this name exists.
        """

    def open(self, name: str) -> File:
        """Open an existing file for appending."""

    def replace(self, old: str, new: str) -> None:
        """Rename a file over another one."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_directory(self) -> None:
        """Return once the creation, renaming and removal of files are on disk."""

    def lock(self) -> None:
        """Take the directory's lock, which is held until `unlock` or the end of the process.

        Raises:
            BlockingIOError: Another process holds it.
        """

    def unlock(self) -> None:
        """Release the lock, if it is held."""


class DiskFile:
    """An append-only file on disk; the caller that created or opened it closes it."""

    def __init__(self, path: str, flags: int) -> None:
        self.descriptor = os.open(path, flags | os.O_RDWR | os.O_CLOEXEC, 0o600)

    def write(self, data: bytes) -> None:
        """Append all of the data."""
        view = memoryview(data)
        while view:
            view = view[os.write(self.descriptor, view) :]

    def sync(self) -> None:
        """Return once all written data is on disk."""
        os.fdatasync(self.descriptor)

    def truncate(self, size: int) -> None:
        """Truncate the file to a size in bytes."""
        os.ftruncate(self.descriptor, size)

    def read_at(self, at: int, size: int) -> bytes:
        """Read from an offset."""
        return os.pread(self.descriptor, size, at)

    def close(self) -> None:
        """Release the descriptor."""
        os.close(self.descriptor)


class DiskFiles:
    """A directory on disk; `lock` creates it, accessible to its owner only, if it does not exist."""

    LOCK_NAME = "lock"

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock: int | None = None

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        with open(self._path(name), "rb") as file:
            return file.read()

    def create(self, name: str) -> DiskFile:
        """Create a file that must not exist yet."""
        return DiskFile(self._path(name), os.O_CREAT | os.O_EXCL | os.O_APPEND)

    def open(self, name: str) -> DiskFile:
        """Open an existing file for appending."""
        return DiskFile(self._path(name), os.O_APPEND)

    def replace(self, old: str, new: str) -> None:
        """Rename a file over another one."""
        os.replace(self._path(old), self._path(new))

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self._path(name))

    def sync_directory(self) -> None:
        """Return once the creation, renaming and removal of files are on disk."""
        _sync_path(self.folder)

    def lock(self) -> None:
        """Create the directory if needed, and take its lock; raise BlockingIOError where another process holds it."""
        if not self.folder.is_dir():
            self.folder.mkdir(parents=True, mode=0o700)
            _sync_path(self.folder.parent)
        self._lock = os.open(self._path(self.LOCK_NAME), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.unlock()
            raise

    def unlock(self) -> None:
        """Release the lock, if it is held."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None


def _sync_path(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
