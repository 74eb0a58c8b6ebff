"""Reads the files of keys, chains, trust roots and lists of revoked certificates, and detects their changes."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Iterable

from loadbalancer.tls.pairs import MAX_FILE_BYTES, PairError

#: Identifies one state of a file: modification time in nanoseconds, size and inode. None: the file does not exist.
Stamp = tuple[int, int, int] | None
#: Mode bits that a key's file may not have: group write, and any access for others.
FORBIDDEN_KEY_MODE = 0o027


def stamps(paths: Iterable[Path]) -> tuple[Stamp, ...]:
    """Return the state of each file, to compare with a later one."""
    found: list[Stamp] = []
    for path in paths:
        try:
            status = os.stat(path)
            found.append((status.st_mtime_ns, status.st_size, status.st_ino))
        except OSError:
            found.append(None)
    return tuple(found)


def read(path: Path, private: bool = False) -> bytes:
    """Return the contents of a file.

    Raises PairError if it can't be read, is too long or, with `private`, is accessible to other users.
    """
    try:
        with open(path, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            if private and mode & FORBIDDEN_KEY_MODE:
                raise PairError([f"{path} is open to others (mode {mode & 0o777:o}); chmod 600"])
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as problem:
        raise PairError([f"{path}: {problem.strerror}"]) from None
    if len(data) > MAX_FILE_BYTES:
        raise PairError([f"{path}: more than {MAX_FILE_BYTES} bytes"])
    return data


def with_path(path: Path, error: PairError) -> PairError:
    """Return the error with the path of its file in each message."""
    return PairError(
        [problem if str(path) in problem else f"{path}: {problem}" for problem in error.problems]
    )
