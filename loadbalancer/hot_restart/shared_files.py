"""Files that the processes of one proxy share: the overrides, and one file for each running process.

A process holds a lock on its file while it runs. The kernel releases the lock however the process ends, so a file that
can be locked belongs to a process that has ended. The file contains the number of descriptors that its process claims.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import time
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Callable, Iterator, Mapping, NamedTuple

from loadbalancer.discovery.errors import OverridesError
from loadbalancer.discovery.platform_overrides import decode, encode
from loadbalancer.hot_restart.startup_pacing import PROCESS_FILE_PREFIX
from loadbalancer.resource_limits import RateLimitedLogger

OVERRIDES_FILE = "micastand-marks"
LOCK_FILE = "micastand-marks.lock"
#: All tries take some 2 s: the lock is held while a busy disk renames a file. They block the writer's thread only.
MAX_LOCK_TRIES = 400
LOCK_RETRY_INTERVAL_S = 0.005
#: Maximum bytes that are read of the file of overrides.
MAX_OVERRIDES_BYTES = 4 << 20


class _FileStamp(NamedTuple):
    """Identifies one state of a file, to detect changes."""

    modified_ns: int
    size: int
    inode: int

    @classmethod
    def of(cls, status: os.stat_result) -> _FileStamp:
        return cls(status.st_mtime_ns, status.st_size, status.st_ino)


class OverridesFile:
    """Stores the overrides for the next process, by writing a new file and renaming it over the old one.

    Attributes:
        path: Path of the file.
    """

    def __init__(self, folder: Path, logger: RateLimitedLogger) -> None:
        """Use the file in a folder, without opening it yet."""
        self.path = folder / OVERRIDES_FILE
        self._lock_path = folder / LOCK_FILE
        self._logger = logger
        self._stamp: _FileStamp | None = None  # state of the file when it was last read or written

    def read(self) -> dict[str, float] | None:
        """Return the overrides; None if there is no file, or if it can't be used, which is logged."""
        try:
            with open(self.path, "rb") as file:
                status = os.fstat(file.fileno())
                data = file.read(MAX_OVERRIDES_BYTES)
        except FileNotFoundError:
            return None
        except OSError as problem:
            self._logger("marks not read", problem)
            return None
        self._stamp = _FileStamp.of(status)
        try:
            return decode(data)
        except OverridesError as problem:
            self._logger("marks not believed", f"{self.path}: {problem}")
            return None

    def changed(self) -> dict[str, float] | None:
        """Return the overrides if another process has written them since the last read or write, else None."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return None if _FileStamp.of(status) == self._stamp else self.read()

    def save(self, change: Callable[[dict[str, float]], None]) -> Mapping[str, float]:
        """Change the overrides in the file and return them; OSError if that fails, and then the file is unchanged."""
        with self._locked():
            overrides = self.read() or {}
            change(overrides)
            self._replace(encode(overrides))
            return overrides

    def _replace(self, data: bytes) -> None:
        new_path = self.path.with_name(f"{OVERRIDES_FILE}.{os.getpid()}")
        try:
            with open(new_path, "wb") as file:
                file.write(data)
                file.flush()
                status = os.fstat(file.fileno())
            os.replace(new_path, self.path)
        except OSError:
            with suppress(OSError):
                os.unlink(new_path)
            raise
        self._stamp = _FileStamp.of(status)

    @contextmanager
    def _locked(self) -> Iterator[None]:
        descriptor = os.open(self._lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            for tries_left in reversed(range(MAX_LOCK_TRIES)):
                try:
                    fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if not tries_left:
                        raise OSError(f"{self._lock_path} is held by another process") from None
                    time.sleep(LOCK_RETRY_INTERVAL_S)
            yield
        finally:
            os.close(descriptor)


class ProcessFile:
    """Holds the file of this process among those of the same proxy. Owns the file and its lock until `close`.

    Attributes:
        path: Path of the file.
    """

    def __init__(self, folder: Path) -> None:
        """Create the file; OSError if that fails."""
        self._folder = folder
        self.path = folder / f"{PROCESS_FILE_PREFIX}{os.getpid()}-{secrets.token_hex(4)}"
        self._claimed = -1
        # Locked before it gets its name, so that no process takes it for the file of one that has ended.
        unnamed = self.path.with_name("." + self.path.name)
        self._descriptor = os.open(unnamed, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._descriptor, fcntl.LOCK_EX)
        os.rename(unnamed, self.path)

    def claim(self, sockets: int) -> None:
        """Write how many descriptors this process may come to use."""
        if sockets != self._claimed:
            self._claimed = sockets
            os.pwrite(self._descriptor, b"%-8d" % sockets, 0)

    def others(self) -> dict[str, int]:
        """Return the descriptors that each other running process claims, by file name; remove files of ended ones."""
        claims = {}
        for name in os.listdir(self._folder):
            path = self._folder / name
            if not name.startswith(PROCESS_FILE_PREFIX) or path == self.path:
                continue
            with suppress(FileNotFoundError):
                claim = _read_claim(path)
                if claim is not None:
                    claims[name] = claim
        return claims

    def close(self) -> None:
        """Remove the file: the process no longer counts as running."""
        with suppress(OSError):
            os.unlink(self.path)
        os.close(self._descriptor)


def _read_claim(path: Path) -> int | None:
    """Return the descriptors that a process claims; if it has ended, remove its file and return None."""
    descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        text = os.pread(descriptor, 16, 0).strip()
        return int(text) if text.isdigit() else 0
    else:
        os.unlink(path)
        return None
    finally:
        os.close(descriptor)
