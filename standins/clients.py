"""Stand-in clients for benchmarks: each connection sends its next request once answered, at once or after a pause."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from collections import Counter
from typing import Callable, cast

import httptools
import uvloop

from loadbalancer.fastcgi.records import Decoder, Type
from loadbalancer.fastcgi.webserver import encode_request


class ClientConnection(asyncio.Protocol):
    """A client connection that sends one request at a time."""

    def __init__(self, request: Callable[[], bytes], clients: Clients) -> None:
        self.request, self.clients = request, clients
        self.transport: asyncio.Transport | None = None
        self.began = 0.0
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.send_request()

    def send_request(self) -> None:
        self.began = time.perf_counter()
        assert self.transport is not None
        self.transport.write(self.request())

    def on_message_complete(self) -> None:
        self.record_response(self.parser.get_status_code())

    def record_response(self, status: int) -> None:
        clients = self.clients
        clients.statuses[status] += 1
        clients.latencies.append(time.perf_counter() - self.began)
        if clients.stopped:
            return
        if clients.pause:
            asyncio.get_running_loop().call_later(clients.pause, self._send_next)
        else:
            asyncio.get_running_loop().call_soon(self._send_next)

    def _send_next(self) -> None:
        if self.transport is not None and not self.transport.is_closing() and not self.clients.stopped:
            self.send_request()

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.clients.lost += not self.clients.stopped


class SingleRequestConnection(ClientConnection):
    """Opens a new connection for each request."""

    def _send_next(self) -> None:
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        if not self.clients.stopped:
            self.clients.open(self.request)

    def connection_lost(self, exc: Exception | None) -> None:
        self.clients.lost += self.transport is not None and not self.clients.stopped


class FcgiClientConnection(ClientConnection):
    """A web server's FastCGI connection that sends one request at a time and reads answers record by record."""

    def __init__(self, request: Callable[[], bytes], clients: Clients) -> None:
        super().__init__(request, clients)
        self.decoder = Decoder()
        self.stdout = b""

    def data_received(self, data: bytes) -> None:
        for record in self.decoder.feed(data):
            if record.type == Type.STDOUT:
                self.stdout += record.content
            elif record.type == Type.END_REQUEST:
                status = int(self.stdout[8:11]) if self.stdout.startswith(b"Status: ") else 0
                self.stdout = b""
                self.record_response(status)


class Clients:
    """Runs several connections and measures their answers.

    `pause` is the time in seconds between an answer and the connection's next request.
    """

    def __init__(
        self, pause: float = 0.0, connection_type: type[ClientConnection] = ClientConnection
    ) -> None:
        self.pause, self.connection_type = pause, connection_type
        self.statuses: Counter[int] = Counter()
        self.latencies: list[float] = []
        self.lost = 0
        self.stopped = False
        self.address = ("", 0)
        self.connecting: set[asyncio.Task[object]] = set()

    def open(self, request: Callable[[], bytes]) -> None:
        """Open one more connection."""
        made = asyncio.get_running_loop().create_connection(
            lambda: self.connection_type(request, self), *self.address
        )
        task: asyncio.Task[object] = asyncio.get_running_loop().create_task(made)
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def run(
        self, address: tuple[str, int], requests: list[Callable[[], bytes]], seconds: float, warm: float
    ) -> dict[str, object]:
        """Send requests for `warm` seconds that are not counted, then measure for `seconds`."""
        self.address = address
        for request in requests:
            self.open(request)
        await asyncio.sleep(warm)
        self.statuses.clear()
        self.latencies.clear()
        print("warm", flush=True)
        began = time.perf_counter()
        await asyncio.sleep(seconds)
        took = time.perf_counter() - began
        self.stopped = True
        latencies = sorted(self.latencies)

        def percentile(share: float) -> float:
            return latencies[min(len(latencies) - 1, int(share * len(latencies)))] if latencies else 0.0

        return {
            "per_s": len(latencies) / took,
            "count": len(latencies),
            "p50": percentile(0.5),
            "p99": percentile(0.99),
            "lost": self.lost,
            "statuses": {str(status): count for status, count in self.statuses.items()},
        }


def platform_request(number: int) -> Callable[[], bytes]:
    """Return a function that makes requests of class `track` in the platform's dialect, each with a new id."""
    count = 0

    def make() -> bytes:
        nonlocal count
        count += 1
        return (
            b"GET /api?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: t%d-%d\r\nX-Lane: track\r\nX-Remaining: 4000m\r\n\r\n"
            % (number, count)
        )

    return make


def plain_request(path: str, method: str = "GET") -> Callable[[], bytes]:
    data = f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\nAccept: */*\r\nUser-Agent: stand-in\r\n".encode()
    data += b"Content-Length: 0\r\n\r\n" if method == "POST" else b"\r\n"
    return lambda: data


def with_proxy_header(request: Callable[[], bytes]) -> Callable[[], bytes]:
    """Prepend a PROXY protocol header, as a front-end proxy does; only for connections that carry a single request."""
    return lambda: b"PROXY TCP4 203.0.113.9 127.0.0.1 40000 80\r\n" + request()


def fastcgi_request(path: str, method: str = "GET") -> Callable[[], bytes]:
    pairs = [
        (b"REQUEST_METHOD", method.encode()),
        (b"REQUEST_URI", path.encode()),
        (b"HTTP_HOST", b"app.svc"),
        (b"HTTP_ACCEPT", b"*/*"),
        (b"HTTP_USER_AGENT", b"stand-in"),
        (b"CONTENT_LENGTH", b""),
    ]
    data = encode_request(1, pairs, b"", True)[0]
    return lambda: data


def main() -> None:
    parser = argparse.ArgumentParser(prog="standins.clients", description=__doc__)
    parser.add_argument("address")
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--warm", type=float, default=0.7)
    parser.add_argument("--pause", type=float, default=0.0)
    parser.add_argument("--platform", action="store_true")
    parser.add_argument("--fastcgi", action="store_true")
    parser.add_argument("--fresh", action="store_true", help="open a new connection for each request")
    parser.add_argument(
        "--proxy-header", action="store_true", help="send a PROXY protocol header before each request"
    )
    parser.add_argument("--path", default="/api?x=1")
    parser.add_argument("--method", default="GET")
    options = parser.parse_args()
    host, _, port = options.address.rpartition(":")
    make_request = fastcgi_request if options.fastcgi else plain_request
    requests = [
        platform_request(n) if options.platform else make_request(options.path, options.method)
        for n in range(options.connections)
    ]
    if options.proxy_header:
        requests = [with_proxy_header(request) for request in requests]
    clients = Clients(
        options.pause,
        FcgiClientConnection
        if options.fastcgi
        else SingleRequestConnection
        if options.fresh
        else ClientConnection,
    )
    print(json.dumps(uvloop.run(clients.run((host, int(port)), requests, options.seconds, options.warm))))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
