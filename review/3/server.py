"""server.py LOG: a server that books what the body of a request says, and notes each request that reaches it.

Clients write the id of a request into its body, so a body without it is not in the form that the client sent. As the
protocol page has it, the server answers 400 to such a request.
"""

from __future__ import annotations

import json
import socket
import sys
import threading
import time

WORK_S = 0.065


class Server:
    """Serves each connection in a thread, one request at a time."""

    def __init__(self, log: str) -> None:
        self._log = open(log, "a", buffering=1)  # noqa: SIM115
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=100)

    def run(self) -> None:
        """Print the port, and serve until the process ends."""
        print(self._socket.getsockname()[1], flush=True)
        while True:
            connection, _ = self._socket.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection, connection.makefile("rb") as stream:
            try:
                while head := self._read_head(stream):
                    fields = dict(line.split(": ", 1) for line in head[1:])
                    fields = {name.lower(): value for name, value in fields.items()}
                    body = stream.read(int(fields.get("content-length", "0")))
                    event = {
                        "at": time.monotonic(),
                        "id": fields["x-txn"],
                        "line": head[0],
                        "body": body.decode(),
                    }
                    event["key"] = fields.get("idempotency-key", "")
                    self._log.write(json.dumps(event) + "\n")
                    if fields["x-txn"] not in body.decode():
                        connection.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                        continue
                    time.sleep(WORK_S)
                    answer = f"booked {body.decode()}".encode()
                    connection.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer)
                    )
            except OSError:
                return

    def _read_head(self, stream: object) -> list[str]:
        """Return the request line and the header lines; empty at the end of the connection."""
        lines = []
        while (line := stream.readline()) not in (b"\r\n", b""):  # type: ignore[attr-defined]
            lines.append(line.decode("latin-1").rstrip("\r\n"))
        return lines


if __name__ == "__main__":
    Server(sys.argv[1]).run()
