"""Listening sockets, of TCP and Unix: bound, and released."""

from __future__ import annotations

import os
import socket
import stat
import struct
from contextlib import suppress

#: Connections that the kernel may hold for us; a burst past it would be left hanging.
BACKLOG = 1024
#: An address that begins so is the path of a Unix socket.
UNIX = "unix:"
#: Peer of a connection that came by one.
LOCAL = "local"
#: Socket option of Linux that attaches a packet filter (`asm/socket.h`).
SO_ATTACH_FILTER = 26
#: A filter of one instruction, `BPF_RET` with 0 bytes (`struct sock_filter`): nothing passes.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)


def bind(address: tuple[str, int]) -> socket.socket:
    """A socket that listens; OSError where the address can't be had. `unix:` and a path is a Unix socket."""
    path = address[0].removeprefix(UNIX) if address[0].startswith(UNIX) else None
    sock = socket.socket(socket.AF_INET if path is None else socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        if path is None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        else:
            _clear(path)
        sock.bind(address if path is None else path)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def _clear(path: str) -> None:
    """Remove the socket that a process left when it died; one on which somebody listens stays, and so does whatever
    is no socket: bind then says so."""
    with suppress(OSError):
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            return
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            try:
                probe.connect(path)
            except ConnectionRefusedError:
                os.unlink(path)


def block_new_connections(sock: socket.socket) -> None:
    """Have the system drop what arrives for a listening TCP socket; connections that wait to be accepted stay.

    What connects between the last accept and the close would be reset after it has sent its request. Whoever connects
    in that moment tries again after a second, and is refused then. Where the system can't, all is as without it.
    """
    if sock.family != socket.AF_INET:
        return
    import ctypes  # only where a listener ends

    instructions = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
    program = struct.pack("HP", 1, ctypes.addressof(instructions))
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def release(sock: socket.socket, *, is_shared: bool = False) -> None:
    """Close a listening socket, and remove the file of a Unix one.

    Args:
        sock: The socket.
        is_shared: Whether another process listens on it too, which has the file then.
    """
    name = sock.getsockname()
    if isinstance(name, str) and not is_shared:
        with suppress(OSError):  # removed while it listens: nobody else can have bound the name yet
            os.unlink(name)
    sock.close()
