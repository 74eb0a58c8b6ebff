"""Files that two processes of one proxy share: the marks, and one file for the life of each process.

All I/O of the handover is here. A process's life file is locked for as long as it lives: the kernel lets go of the lock
however it ends, so what a killed process left is told from a living one by trying the lock. The file says how many
descriptors its owner may come to hold.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import time
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Callable, Iterator, Mapping

from loadbalancer.discovery.errors import OverridesError
from loadbalancer.discovery.platform_overrides import decode, encode
from loadbalancer.hot_restart.startup_pacing import LIFE
from loadbalancer.resource_limits import RateLimitedLogger

MARKS, LOCK = "micastand-marks", "micastand-marks.lock"
#: Who changes the marks holds the lock for as long as a busy disk takes over a rename; one that is stopped in the
#: middle would hold it on. Waited for on the keeper's thread.
LOCK_TRIES, LOCK_WAIT_S = 400, 0.005
#: Largest file of marks that is read, in bytes.
MARKS_MOST = 4 << 20


class OverridesFile:
    """The marks, where the next process finds them: written beside the old file and renamed over it."""

    def __init__(self, folder: Path, logger: RateLimitedLogger) -> None:
        self.path, self._lock, self.logger = folder / MARKS, folder / LOCK, logger
        self._stamp: tuple[int, int, int] | None = None

    def read(self) -> dict[str, float] | None:
        """None where there is no file, or none to be believed, which is reported."""
        try:
            with open(self.path, "rb") as file:
                status = os.fstat(file.fileno())
                data = file.read(MARKS_MOST)
        except FileNotFoundError:
            return None
        except OSError as problem:
            self.logger("marks not read", problem)
            return None
        self._stamp = status.st_mtime_ns, status.st_size, status.st_ino
        try:
            return decode(data)
        except OverridesError as problem:
            self.logger("marks not believed", f"{self.path}: {problem}")
            return None

    def changed(self) -> dict[str, float] | None:
        """The marks if another process has written them since, else None."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        if (status.st_mtime_ns, status.st_size, status.st_ino) == self._stamp:
            return None
        return self.read()

    def save(self, change: Callable[[dict[str, float]], None]) -> Mapping[str, float]:
        """Change what the file holds and return it; OSError where that fails, and then nothing has changed."""
        with self._locked():
            marks = self.read() or {}
            change(marks)
            beside = self.path.with_name(f"{MARKS}.{os.getpid()}")
            try:
                with open(beside, "wb") as file:
                    file.write(encode(marks))
                    file.flush()
                    status = os.fstat(file.fileno())
                os.replace(beside, self.path)
            except OSError:
                with suppress(OSError):
                    os.unlink(beside)
                raise
            self._stamp = status.st_mtime_ns, status.st_size, status.st_ino
            return marks

    @contextmanager
    def _locked(self) -> Iterator[None]:
        descriptor = os.open(self._lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            for left in reversed(range(LOCK_TRIES)):
                try:
                    fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if not left:
                        raise OSError(f"{self._lock} is held by another process") from None
                    time.sleep(LOCK_WAIT_S)
            yield
        finally:
            os.close(descriptor)


class ProcessFile:
    """This process among those of the same proxy."""

    def __init__(self, folder: Path) -> None:
        """OSError where the folder takes no file."""
        self.folder = folder
        self.path = folder / f"{LIFE}{os.getpid()}-{secrets.token_hex(4)}"
        self._claimed = -1
        # Locked before it has its name: nobody can take it for the trace of a dead process.
        beside = self.path.with_name("." + self.path.name)
        self._held = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._held, fcntl.LOCK_EX)
        os.rename(beside, self.path)

    def claim(self, sockets: int) -> None:
        """Say how many descriptors this process may come to hold."""
        if sockets != self._claimed:
            self._claimed = sockets
            os.pwrite(self._held, b"%-8d" % sockets, 0)

    def others(self) -> dict[str, int]:
        """What each other living process claims, in descriptors, by its name; what dead ones left is removed."""
        claims = {}
        for name in os.listdir(self.folder):
            path = self.folder / name
            if not name.startswith(LIFE) or path == self.path:
                continue
            with suppress(FileNotFoundError):
                claim = _look(path)
                if claim is not None:
                    claims[name] = claim
        return claims

    def close(self) -> None:
        """The process is no longer one of them."""
        with suppress(OSError):
            os.unlink(self.path)
        os.close(self._held)


def _look(path: Path) -> int | None:
    """What the owner claims, or None if it is dead; then its file goes."""
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
