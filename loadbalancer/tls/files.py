"""The files that keys, chains, roots and lists of revoked certificates come from: read once, whole, and watched."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Iterable

from loadbalancer.tls.pairs import FILE_MOST, PairError

#: What tells one state of a file from another: when it was written, its size, and which file it is. None: not there.
Stamp = tuple[int, int, int] | None
#: Bits of a key's file that nobody else may have: to write it, and to read it for others than its group.
LOOSE = 0o027


def stamps(paths: Iterable[Path]) -> tuple[Stamp, ...]:
    found: list[Stamp] = []
    for path in paths:
        try:
            status = os.stat(path)
            found.append((status.st_mtime_ns, status.st_size, status.st_ino))
        except OSError:
            found.append(None)
    return tuple(found)


def read(path: Path, private: bool = False) -> bytes:
    """PairError where it can't be read, is too long or, of a key, is open to others."""
    try:
        with open(path, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            if private and mode & LOOSE:
                raise PairError([f"{path} is open to others (mode {mode & 0o777:o}); chmod 600"])
            data = file.read(FILE_MOST + 1)
    except OSError as problem:
        raise PairError([f"{path}: {problem.strerror}"]) from None
    if len(data) > FILE_MOST:
        raise PairError([f"{path}: over {FILE_MOST} bytes"])
    return data


def named(path: Path, error: PairError) -> PairError:
    """The same, with the file that it is about."""
    return PairError(
        [problem if str(path) in problem else f"{path}: {problem}" for problem in error.problems]
    )
