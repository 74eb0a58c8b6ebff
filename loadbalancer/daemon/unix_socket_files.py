"""Files of Unix sockets that a successor's replace without a gap."""

from __future__ import annotations

import os
import socket
import stat
from contextlib import suppress
from pathlib import Path
from typing import Callable


def place(path: Path, listen: Callable[[tuple[str, int]], object], mode: int, replaces: bool) -> int:
    """Bind a Unix socket under a name of its own, then rename it, so that it replaces another one at once.

    Args:
        path: Where the socket's file stands in the end.
        listen: Binds and listens at an address; OSError where it can't.
        mode: Of the file, which is never accessible to more than that.
        replaces: Whether this process follows the one that listens at the path.

    Returns:
        The file's inode, by which `remove_own` knows it.

    Raises:
        OSError: Another daemon listens there, or the socket can't be bound.
    """
    if not replaces:
        _check_unused(path)
    new = path.with_name(f".{path.name}.{os.getpid()}")
    umask = os.umask(0o777 & ~mode)
    try:
        listen((f"unix:{new}", 0))
    finally:
        os.umask(umask)
    os.replace(new, path)
    return os.stat(path).st_ino


def _check_unused(path: Path) -> None:
    if not path.exists() or not stat.S_ISSOCK(path.stat().st_mode):
        return
    with socket.socket(socket.AF_UNIX) as probe, suppress(ConnectionRefusedError):
        probe.connect(str(path))
        raise OSError(f"{path}: another daemon listens there")


def remove_own(path: Path, inode: int) -> None:
    """Remove a socket's file unless another one, a successor's, has replaced it."""
    with suppress(OSError):
        if os.stat(path).st_ino == inode:
            path.unlink()
