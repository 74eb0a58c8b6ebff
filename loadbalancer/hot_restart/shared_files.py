"""Files that the processes of one proxy share: the overrides, and one file for each living process.

A process holds a lock on its file for as long as it lives. The kernel releases the lock however the process ends, so a
file that can be locked is of a dead one. The file says how many descriptors its process may come to hold.
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
#: Together some 2 s: the lock is held while a busy disk renames a file. Waited for on the writer's thread.
MAX_LOCK_TRIES = 400
LOCK_RETRY_INTERVAL_S = 0.005
#: Of the file of overrides that is read.
MAX_OVERRIDES_BYTES = 4 << 20


class _FileStamp(NamedTuple):
    """By which a change of a file shows."""

    modified_ns: int
    size: int
    inode: int

    @classmethod
    def of(cls, status: os.stat_result) -> _FileStamp:
        return cls(status.st_mtime_ns, status.st_size, status.st_ino)


class OverridesFile:
    """The overrides, where the next process finds them: written to a new file that is renamed over the old one.

    Attributes:
        path: Of the file.
    """

    def __init__(self, folder: Path, logger: RateLimitedLogger) -> None:
        """Use the file of a folder; nothing is opened yet."""
        self.path = folder / OVERRIDES_FILE
        self._lock_path = folder / LOCK_FILE
        self._logger = logger
        self._stamp: _FileStamp | None = None  # of the file as it was last read or written

    def read(self) -> dict[str, float] | None:
        """The overrides; None where there is no file, or none that can be used, which is logged."""
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
        """The overrides if another process has written them since, else None."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return None if _FileStamp.of(status) == self._stamp else self.read()

    def save(self, change: Callable[[dict[str, float]], None]) -> Mapping[str, float]:
        """Change what the file holds and return it; OSError where that fails, and then nothing has changed."""
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
    """This process's file among those of the same proxy. It owns the file and its lock until `close`.

    Attributes:
        path: Of the file.
    """

    def __init__(self, folder: Path) -> None:
        """Make the file; OSError where the folder takes none."""
        self._folder = folder
        self.path = folder / f"{PROCESS_FILE_PREFIX}{os.getpid()}-{secrets.token_hex(4)}"
        self._claimed = -1
        # Locked before it has its name: nobody can take it for the file of a dead process.
        unnamed = self.path.with_name("." + self.path.name)
        self._descriptor = os.open(unnamed, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._descriptor, fcntl.LOCK_EX)
        os.rename(unnamed, self.path)

    def claim(self, sockets: int) -> None:
        """Say how many descriptors this process may come to hold."""
        if sockets != self._claimed:
            self._claimed = sockets
            os.pwrite(self._descriptor, b"%-8d" % sockets, 0)

    def others(self) -> dict[str, int]:
        """Descriptors that each other living process claims, by its file's name; files of dead ones are removed."""
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
        """Remove the file: the process is no longer one of them."""
        with suppress(OSError):
            os.unlink(self.path)
        os.close(self._descriptor)


def _read_claim(path: Path) -> int | None:
    """What a process claims; None, and the file is removed, if it is dead."""
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
