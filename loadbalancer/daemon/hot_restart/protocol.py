"""What the old and the new process of a hot restart say to each other.

The old process listens at a Unix stream socket beside the administrative one (`offer_path`). The new one connects:

    old → new   one line of JSON (`Offer`), with the listening sockets and, last, a file in memory that holds the
                snapshot, as descriptors (SCM_RIGHTS)
    new → old   `store`      only where the offer says that there is one: let go of the store
    old → new   `released`   the store is closed, and the new process may open it
    new → old   `serving`    the new process accepts connections
    old → new   `yours`      the old process ends once it has answered what it holds
    new → old   lines of JSON (`daemon/admin_notifications.py`): overrides that operators set from here on

Until `serving`, the end of the connection, whatever its reason, means that nothing has happened: the old process goes
on, and opens the store again. Both accept connections in between, so no client is refused. One restart at a time: a
second connection gets a line of JSON with the key `error`.
"""

from __future__ import annotations

import json
import os
import socket
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Iterator

#: Form of the offer; a process that does not know it takes nothing over.
VERSION = 2
#: Listening sockets in one offer.
MAX_SOCKETS = 64
#: Bytes of an offer's line that are read.
MAX_OFFER_BYTES = 1 << 16
#: Bytes of a snapshot that are read.
MAX_SNAPSHOT_BYTES = 8 << 20
#: Bytes of one message of those below.
MAX_MESSAGE_BYTES = 64

SERVING = b"serving\n"
YOURS = b"yours\n"
STORE = b"store\n"
RELEASED = b"released\n"

#: Before the host of a datagram socket, so that one with the address of a listening socket is told from it.
DATAGRAM_PREFIX = "udp:"

Address = tuple[str, int]


class HotRestartError(Exception):
    """The sockets can't be taken over; says why."""


def offer_path(management: Path) -> Path:
    """Where a daemon offers its sockets, beside its administrative socket."""
    return management.with_name(management.name + ".take")


def address_of(sock: socket.socket) -> Address:
    """The address by which both processes know a socket that is passed."""
    name = sock.getsockname()
    if isinstance(name, str):
        return f"unix:{name}", 0
    prefix = DATAGRAM_PREFIX if sock.type == socket.SOCK_DGRAM else ""
    return prefix + name[0], name[1]


@dataclass(frozen=True, slots=True)
class Offer:
    """The line that comes with the descriptors.

    Attributes:
        pid: Of the old process.
        listeners: Addresses of the sockets, in the order of the descriptors.
        has_store: Whether the old process has a store to let go of.
    """

    pid: int
    listeners: list[str]
    has_store: bool

    def encode(self) -> bytes:
        """The line as it is sent."""
        fields = {
            "version": VERSION,
            "pid": self.pid,
            "listeners": self.listeners,
            "store": self.has_store,
        }
        return json.dumps(fields).encode() + b"\n"

    @classmethod
    def decode(cls, line: bytes, descriptors: int) -> Offer:
        """Read a line that came with so many descriptors.

        Raises:
            HotRestartError: It is a refusal, of another version, or does not fit the descriptors.
            ValueError, KeyError: It is no offer.
        """
        fields = json.loads(line)
        if "error" in fields:
            raise HotRestartError(str(fields["error"]))
        if fields["version"] != VERSION or len(fields["listeners"]) + 1 != descriptors:
            raise HotRestartError(f"version {fields['version']!r}; this program knows {VERSION}")
        return cls(int(fields["pid"]), list(fields["listeners"]), bool(fields["store"]))


def encode_refusal(reason: str) -> bytes:
    """The line for a process that gets no offer."""
    return json.dumps({"error": reason}).encode() + b"\n"


def send_offer(
    connection: socket.socket, sockets: list[socket.socket], snapshot: bytes, has_store: bool
) -> None:
    """Send the offer of this process with its descriptors; OSError where that fails."""
    addresses = [f"{host}:{port}" if port else host for host, port in map(address_of, sockets)]
    offer = Offer(os.getpid(), addresses, has_store)
    descriptors = [sock.fileno() for sock in sockets]
    with _file_in_memory(snapshot) as snapshot_descriptor:
        socket.send_fds(connection, [offer.encode()], [*descriptors, snapshot_descriptor])


@contextmanager
def _file_in_memory(data: bytes) -> Iterator[int]:
    """A descriptor of a file in memory: unlike a line, it passes with the sockets at any length."""
    descriptor = os.memfd_create("learnt", os.MFD_CLOEXEC)
    try:
        with os.fdopen(os.dup(descriptor), "wb") as file:
            file.write(data)
        yield descriptor
    finally:
        os.close(descriptor)


def read_snapshot(descriptor: int) -> bytes:
    """Read the file in memory, and close it."""
    with os.fdopen(descriptor, "rb") as file:
        file.seek(0)
        return file.read(MAX_SNAPSHOT_BYTES)
