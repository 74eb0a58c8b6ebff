"""The protocol between the old and the new process of a hot restart.

The old process listens at a Unix stream socket next to the administrative one (`offer_path`). The new one connects:

    old → new   one line of JSON (`Offer`), with descriptors (SCM_RIGHTS): the listening sockets and, last, an
                in-memory file that holds the snapshot
    new → old   `store`      request to release the store; only if the offer says that there is one
    old → new   `released`   the store is closed, and the new process may open it
    new → old   `serving`    the new process accepts connections
    old → new   `yours`      the old process ends once its open requests are answered
    new → old   lines of JSON (`daemon/admin_notifications.py`): overrides that operators set after the handover

If the connection ends before `serving`, for whatever reason, the handover is cancelled: the old process keeps serving,
and reopens the store. Both processes accept connections in the meantime, so no client is refused. There is one handover
at a time: a second connection gets a line of JSON with the key `error`.
"""

from __future__ import annotations

import json
import os
import socket
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Iterator

#: Version of the offer; a process that expects another version does not take over.
VERSION = 2
#: Largest number of descriptors in one offer.
MAX_SOCKETS = 64
#: Largest size of an offer's line.
MAX_OFFER_BYTES = 1 << 16
#: Largest part of a snapshot that is read.
MAX_SNAPSHOT_BYTES = 8 << 20
#: Largest size of one of the messages below.
MAX_MESSAGE_BYTES = 64

SERVING = b"serving\n"
HANDED_OVER = b"yours\n"
STORE_REQUEST = b"store\n"
STORE_RELEASED = b"released\n"

#: Prefix of the host of a datagram socket, which distinguishes it from a listening socket with the same address.
DATAGRAM_PREFIX = "udp:"

Address = tuple[str, int]


class HotRestartError(Exception):
    """The takeover failed; the message gives the reason."""


def offer_path(management: Path) -> Path:
    """Return the path of the Unix socket at which a daemon offers its state, next to its administrative socket."""
    return management.with_name(management.name + ".take")


def address_of(sock: socket.socket) -> Address:
    """Return the address by which both processes identify a socket that is passed."""
    name = sock.getsockname()
    if isinstance(name, str):
        return f"unix:{name}", 0
    prefix = DATAGRAM_PREFIX if sock.type == socket.SOCK_DGRAM else ""
    return prefix + name[0], name[1]


@dataclass(frozen=True, slots=True)
class Offer:
    """The line that is sent with the descriptors.

    Attributes:
        pid: Process id of the old process.
        listeners: Addresses of the sockets, in the order of the descriptors.
        has_store: Whether the old process has a store to release.
    """

    pid: int
    listeners: list[str]
    has_store: bool

    def encode(self) -> bytes:
        """Return the line as it is sent."""
        fields = {
            "version": VERSION,
            "pid": self.pid,
            "listeners": self.listeners,
            "store": self.has_store,
        }
        return json.dumps(fields).encode() + b"\n"

    @classmethod
    def decode(cls, line: bytes, descriptors: int) -> Offer:
        """Decode a line that was received with this number of descriptors.

        Raises:
            HotRestartError: The line is a refusal, of another version, or does not match the number of descriptors.
            ValueError, KeyError: The line is not an offer.
        """
        fields = json.loads(line)
        if "error" in fields:
            raise HotRestartError(str(fields["error"]))
        if fields["version"] != VERSION or len(fields["listeners"]) + 1 != descriptors:
            raise HotRestartError(
                f"found version {fields['version']!r}, expected version {VERSION} and a descriptor for each listener"
            )
        return cls(int(fields["pid"]), list(fields["listeners"]), bool(fields["store"]))


def encode_refusal(reason: str) -> bytes:
    """Return the line for a process that gets no offer."""
    return json.dumps({"error": reason}).encode() + b"\n"


def send_offer(
    connection: socket.socket, sockets: list[socket.socket], snapshot: bytes, has_store: bool
) -> None:
    """Send the offer of this process with its descriptors; raises OSError if that fails."""
    addresses = [f"{host}:{port}" if port else host for host, port in map(address_of, sockets)]
    offer = Offer(os.getpid(), addresses, has_store)
    descriptors = [sock.fileno() for sock in sockets]
    with _in_memory_file(snapshot) as snapshot_descriptor:
        socket.send_fds(connection, [offer.encode()], [*descriptors, snapshot_descriptor])


@contextmanager
def _in_memory_file(data: bytes) -> Iterator[int]:
    """Yield the descriptor of an in-memory file, which unlike a line can be sent with the sockets at any length."""
    descriptor = os.memfd_create("learnt", os.MFD_CLOEXEC)
    try:
        with os.fdopen(os.dup(descriptor), "wb") as file:
            file.write(data)
        yield descriptor
    finally:
        os.close(descriptor)


def read_snapshot(descriptor: int) -> bytes:
    """Read the in-memory file of a snapshot, and close it."""
    with os.fdopen(descriptor, "rb") as file:
        file.seek(0)
        return file.read(MAX_SNAPSHOT_BYTES)
