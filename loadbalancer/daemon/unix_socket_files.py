"""Files of Unix sockets, which a successor's socket can replace without an interval in which nothing listens."""

from __future__ import annotations

import os
import socket
import stat
from contextlib import suppress
from pathlib import Path
from typing import Callable

#: Binds and listens at an address; raises OSError if that fails.
Listen = Callable[[tuple[str, int]], object]


class UnixSocketFile:
    """Owns the file of one listening Unix socket until `remove`, or until a successor's file replaces it.

    The socket is bound at a temporary path. `publish` renames that over the file of the previous process, which does
    not remove the file once it was told that it is replaced; so only one of the two processes may remove the file.
    """

    def __init__(self, path: Path, mode: int) -> None:
        """Prepare the file; `mode` is its mode from its creation on, so that it is never more accessible than that."""
        self._path = path
        self._mode = mode
        self._unpublished_path = path.with_name(f".{path.name}.{os.getpid()}")
        self._inode = 0
        self._is_published = False

    def bind(self, listen: Listen) -> None:
        """Listen at a temporary path, where clients don't look for the socket before `publish`.

        Raises:
            OSError: The socket can't be bound.
        """
        umask = os.umask(0o777 & ~self._mode)
        try:
            listen((f"unix:{self._unpublished_path}", 0))
        finally:
            os.umask(umask)
        self._inode = os.stat(self._unpublished_path).st_ino

    def publish(self, *, replaces: bool) -> None:
        """Move the socket's file to its final path.

        Args:
            replaces: Whether this process takes over from the one that listens there.

        Raises:
            OSError: Another process listens there.
        """
        if not replaces:
            _check_unused(self._path)
        os.replace(self._unpublished_path, self._path)
        self._is_published = True

    def remove(self) -> None:
        """Remove the file. Must be called while the socket still listens, so that no other process can replace it."""
        if self._is_published:
            remove_if_same_inode(self._path, self._inode)
        else:
            with suppress(OSError):
                os.unlink(self._unpublished_path)


def _check_unused(path: Path) -> None:
    if not path.exists() or not stat.S_ISSOCK(path.stat().st_mode):
        return
    with socket.socket(socket.AF_UNIX) as probe, suppress(ConnectionRefusedError):
        probe.connect(str(path))
        raise OSError(f"{path}: another daemon listens there")


def remove_if_same_inode(path: Path, inode: int) -> None:
    """Remove a socket's file if it has this inode.

    A successor could replace the file between the check and the removal, so a process that has a successor must not
    call this.
    """
    with suppress(OSError):
        if os.stat(path).st_ino == inode:
            path.unlink()
