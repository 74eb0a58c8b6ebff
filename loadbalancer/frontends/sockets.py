"""Binds and releases listening sockets (TCP and Unix)."""

from __future__ import annotations

import os
import socket
import stat
import struct
from contextlib import suppress

#: Connections that the kernel may queue before they are accepted; in a larger burst the others would hang.
BACKLOG = 1024
#: Prefix of an address that is the path of a Unix socket.
UNIX = "unix:"
#: Peer address of connections over a Unix socket.
LOCAL = "local"
#: Socket option of Linux that attaches a packet filter (`asm/socket.h`).
SO_ATTACH_FILTER = 26
#: Operation codes of packet filters (`linux/bpf_common.h`): load a byte, jump if any bit is set, return a constant.
BPF_LOAD_BYTE, BPF_JUMP_IF_SET, BPF_RETURN = 0x30, 0x45, 0x06
#: Offset of the flags in a TCP segment, in bytes, and the flag that opens a connection (RFC 9293, 3.1).
TCP_FLAGS_OFFSET, TCP_SYN = 13, 0x02
#: Return values of a filter: drop the packet, or accept all of it.
BPF_DROP, BPF_PASS = 0, 0xFFFFFFFF
#: Size of an instruction in bytes (`struct sock_filter`).
BPF_INSTRUCTION_BYTES = 8


def bind(address: tuple[str, int]) -> socket.socket:
    """Return a listening socket.

    Args:
        address: Host and port; or `unix:` with the path of a Unix socket, and any port.

    Raises:
        OSError: The address is not available.
    """
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
    """Remove the socket file that a dead process left behind.

    A socket on which a process listens stays, and so does a file that is not a socket; `bind` then fails.
    """
    with suppress(OSError):
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            return
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            try:
                probe.connect(path)
            except ConnectionRefusedError:
                os.unlink(path)


def _instruction(code: int, constant: int, skip_if_true: int = 0, skip_if_false: int = 0) -> bytes:
    """Encode one instruction of a packet filter (`struct sock_filter`)."""
    return struct.pack("HBBI", code, skip_if_true, skip_if_false, constant)


#: Filter that drops the segments that open a connection. All other segments must pass, because a connection whose
#: handshake ends while the filter is attached inherits it.
DROP_SYN = b"".join(
    (
        _instruction(BPF_LOAD_BYTE, TCP_FLAGS_OFFSET),
        _instruction(BPF_JUMP_IF_SET, TCP_SYN, skip_if_false=1),
        _instruction(BPF_RETURN, BPF_DROP),
        _instruction(BPF_RETURN, BPF_PASS),
    )
)


def block_new_connections(sock: socket.socket) -> None:
    """Make the kernel drop new connections to a listening TCP socket; handshakes that have begun still complete.

    A client that connects between the last accept and the close would be reset after it has sent its request. With the
    filter its kernel retries after a second and is refused then. If the system does not support the filter, nothing
    changes.
    """
    if sock.family != socket.AF_INET:
        return
    import ctypes  # imported only when a listener closes

    instructions = ctypes.create_string_buffer(DROP_SYN, len(DROP_SYN))
    count = len(DROP_SYN) // BPF_INSTRUCTION_BYTES
    program = struct.pack("HP", count, ctypes.addressof(instructions))
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def release(sock: socket.socket, *, is_shared: bool = False) -> None:
    """Close a listening socket, and remove the file of a Unix one.

    Args:
        sock: The socket.
        is_shared: Whether another process listens on it too and still needs the file.
    """
    name = sock.getsockname()
    if isinstance(name, str) and not is_shared:
        with suppress(OSError):  # removed before the close, so no other process can have bound the path yet
            os.unlink(name)
    sock.close()
