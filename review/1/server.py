"""server.py LOG SHARE: a server that runs each request whole, and resets the connection under one run of SHARE.

It writes a line for each request that it has read to the last byte: that request has run. SHARE 0: no resets.
"""

from __future__ import annotations

import itertools
import json
import random
import socket
import struct
import sys
import threading
import time

#: The work of a `book` on the operators' site, in seconds.
WORK_S = (0.065, 0.120)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Server:
    """Serves each connection in a thread, one request at a time."""

    def __init__(self, log: str, share: int) -> None:
        self._log = open(log, "a", buffering=1)  # noqa: SIM115
        self._share = share
        self._numbers = itertools.count(1)
        self._random = random.Random(61)
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=100)

    def run(self) -> None:
        """Print the port, and serve until the process ends."""
        print(self._socket.getsockname()[1], flush=True)
        while True:
            connection, _ = self._socket.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection:
            try:
                while (transaction := self._read(connection)) is not None:
                    if not self._answer(connection, transaction):
                        return
            except OSError:
                return

    def _read(self, connection: socket.socket) -> str | None:
        """Read one request to its last byte; return its id, or None if the connection ends before."""
        data = b""
        while b"\r\n\r\n" not in data:
            piece = connection.recv(65536)
            if not piece:
                return None
            data += piece
        head, _, rest = data.partition(b"\r\n\r\n")
        fields = {
            name.lower(): value.strip() for name, _, value in (x.partition(b":") for x in head.split(b"\r\n"))
        }
        length, read = int(fields.get(b"content-length", b"0")), len(rest)
        while read < length:
            piece = connection.recv(262144)
            if not piece:
                return None
            read += len(piece)
        return fields[b"x-txn"].decode()

    def _answer(self, connection: socket.socket, transaction: str) -> bool:
        """Run a request and answer it, or reset its connection; return whether the connection goes on."""
        resets = self._share > 0 and next(self._numbers) % self._share == 0
        event = {"at": time.monotonic(), "ran": transaction, "then": "reset" if resets else "200"}
        self._log.write(json.dumps(event) + "\n")
        time.sleep(self._random.uniform(*WORK_S))
        if resets:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return False
        body = f"booked by {transaction}".encode()
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        return True


if __name__ == "__main__":
    Server(sys.argv[1], int(sys.argv[2])).run()
