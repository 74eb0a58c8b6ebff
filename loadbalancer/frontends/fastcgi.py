"""FastCGI on a client's connection (a web server that asks us): several requests at once, each with its own answer.

The protocol is fastcgi/application.py; what a request means is the reader's, as for HTTP. Here the bytes are
moved, and here each request that has begun gets its one END_REQUEST.
"""

from __future__ import annotations

import asyncio
import ipaddress
import socket
import time

from loadbalancer.fastcgi.application import (
    Aborted,
    ApplicationSide,
    BodyData,
    BodyReceived,
    Event,
    ParamsReceived,
)
from loadbalancer.fastcgi.cgi import CgiError, from_params, write_answer
from loadbalancer.fastcgi.records import Status, Type, encode, encode_stream
from loadbalancer.frontends.connection import REQUEST_S, FrontConnection, Phase
from loadbalancer.frontends.dialect import Head, RejectError, Reply, RoutedRequest
from loadbalancer.frontends.http1 import LINGER_S, READ_STALL_S
from loadbalancer.frontends.http1_answers import BODILESS, REASONS
from loadbalancer.frontends.listener import Listener
from loadbalancer.proxy.final_answers import frontend_proxy_status
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.resource_limits import BufferBudget
from loadbalancer.streaming.streams import Stream


def is_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


class FcgiRequest:
    """One request of a connection; the core answers it as it answers a connection of HTTP."""

    __slots__ = (
        "connection",
        "number",
        "since",
        "head",
        "body",
        "length",
        "open",
        "bodiless",
        "ended",
        "stream",
    )

    def __init__(self, connection: FastCgiFront, number: int, head: Head, length: int | None) -> None:
        self.connection, self.number, self.head, self.length = connection, number, head, length
        self.since = time.monotonic()  # when its params were whole
        self.body: bytearray | None = None
        self.open: OpenRequest | None = None  # taken by a pool
        self.bodiless = head.method == b"HEAD"
        self.ended = False
        self.stream: Stream | None = None  # its answer goes out

    def has_left(self) -> bool:
        return self.connection.has_left()

    def begin_answer(
        self, status: int, lines: list[bytes], length: int | None, reason: bytes, stream: Stream
    ) -> None:
        self.stream = stream
        stated = [b"Content-Length: %d\r\n" % length] if length is not None else []
        said = reason or REASONS.get(status, b"No Reason")
        self.receive_data(b"Status: %d %b\r\n%b\r\n" % (status, said, b"".join([*lines, *stated])))

    def receive_data(self, data: bytes) -> None:
        if not self.ended:
            self.connection.side.output += encode_stream(Type.STDOUT, self.number, data)
            self.connection.flush()

    def receive_end(self) -> None:
        self._stream_over(True)

    def abort_body(self) -> None:
        """The other requests on the connection go on; this one ends as one whose application has failed."""
        self._stream_over(False)

    def _stream_over(self, good: bool) -> None:
        self.open = self.stream = None
        self.connection.request_over(good and not self.connection.blocked)
        self.connection.ended(self, 0 if good else 1)

    def answer(
        self,
        status: int,
        lines: list[bytes],
        body: bytes,
        close: bool = False,
        length: int | None = None,
        reason: bytes = b"",
    ) -> None:
        """`close` is of connections that can carry nothing after; here each request has its own records."""
        self.open = None
        self.connection.request_over(status < 500 and not self.connection.blocked)
        self.connection.answered(
            self, status, reason or REASONS.get(status, b"No Reason"), lines, body, length
        )

    def release_body(self) -> None:
        if self.body is not None and self.head.destination is not None:
            self.head.destination.budget.release(len(self.body))
        self.body = None


class FastCgiFront(FrontConnection):
    """One connection of a FastCGI client."""

    def __init__(
        self, listener: Listener, sock: socket.socket, overflow: bool, peer: str, requests_most: int
    ) -> None:
        """`requests_most`: requests at once; more are ended as OVERLOADED, which says that they never ran."""
        self.listener, self.sock, self.overflow, self.peer = listener, sock, overflow, peer
        self.transport: asyncio.Transport | None = None
        self.side = ApplicationSide(requests_most)
        self.requests: dict[int, FcgiRequest] = {}  # begun and not answered
        self.since = time.monotonic()
        self.phase = Phase.IDLE
        self.budget: BufferBudget | None = None  # of the pool that the last request went to
        self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.joined(transport)

    # Receiving.

    def data_received(self, data: bytes) -> None:
        data = self.unwrap(data)
        if not data:
            return
        if self.phase == Phase.LINGER:
            return
        if self.phase == Phase.IDLE:
            self.wake()
            self.phase = Phase.HEAD
            if self.asked:
                self.since = time.monotonic()
        garbled = bool(self.side.protocol_violation)
        for event in self.side.feed(data):
            self._react(event)
        if self.side.protocol_violation and not garbled:
            self.note_garbage()
        self.flush()
        self._after()

    def _react(self, event: Event) -> None:
        if isinstance(event, ParamsReceived):
            self._begin(event)
            return
        request = self.requests.get(event.request)
        if request is None or request.ended:
            return
        if isinstance(event, BodyData):
            self._data(request, event.data)
        elif isinstance(event, BodyReceived):
            self._whole(request)
        elif isinstance(event, Aborted):
            self._abort(request)

    def _begin(self, event: ParamsReceived) -> None:
        reader = self.listener.reader
        client = event.params.get(b"REMOTE_ADDR", b"").decode("latin-1")
        # A web server that is trusted speaks for its client.
        head = reader.new_head(
            client if client and reader.believes(self.peer) and is_address(client) else self.peer
        )
        request = self.requests[event.request] = FcgiRequest(self, event.request, head, None)
        try:
            asked = from_params(event.params)
            head.url, head.method, request.length = asked.target, asked.method, asked.length
            request.bodiless = asked.method == b"HEAD"
            for name, value in asked.headers:
                head.add(name, value)
            if asked.length is not None:
                head.noted[b"content-length"] = b"%d" % asked.length
            destination = head.destination = head.reader.place(head)
            self.budget = destination.budget
            if (asked.length or 0) > destination.body_most:
                raise RejectError(413, "body too large")
        except CgiError as problem:
            self._reject(request, 400, str(problem))
        except RejectError as problem:
            self._reject(request, problem.status, problem.why)

    def _data(self, request: FcgiRequest, data: bytes) -> None:
        destination = request.head.destination
        assert destination is not None
        if request.body is None:
            request.body = bytearray()
        if len(request.body) + len(data) > (request.length or 0):
            self._reject(request, 400, "more on STDIN than CONTENT_LENGTH states")
        elif not destination.budget.try_acquire_upload(len(data)):
            self._reject(request, 503, "too much is being uploaded")
        else:
            request.body += data

    def _whole(self, request: FcgiRequest) -> None:
        if len(request.body or b"") != (request.length or 0):
            self._reject(request, 400, "less on STDIN than CONTENT_LENGTH states")
            return
        self.note_request()
        try:
            item = request.head.reader.read(request.head, request.body, request)
        except RejectError as problem:
            self._reject(request, problem.status, problem.why)
            return
        if isinstance(item, Reply):
            self._reject(request, item.status, item.why)
        else:
            request.body = None  # it is the open request's now
            self._take(request, item)

    def _take(self, request: FcgiRequest, item: RoutedRequest) -> None:
        proxy = item.proxy
        if self.overflow:
            status, why = 503, "too many connections"
        elif proxy.is_known(item.request):
            status, why = 409, "this X-Txn has been used"
        elif proxy.is_shut_out():
            status, why = 503, "this proxy is not of its fleet now"
        elif not proxy.has_room():
            status, why = 503, "this pool has all it can hold"
        elif not self.may_ask():
            status, why = 503, "too many requests at once from this address"
        else:
            request.open = item.request
            item.begin()
            return
        proxy.count_rejected(item.request, item.cls, status)
        self._reject(request, status, why)

    def _reject(self, request: FcgiRequest, status: int, why: str) -> None:
        """Answered without the module; what still comes for it is thrown away until its STDIN has ended."""
        request.release_body()
        lines = frontend_proxy_status(status) if self.listener.reader.names_itself else []
        self.answered(request, status, REASONS.get(status, b"No Reason"), lines, why.encode() + b"\n", None)

    def _abort(self, request: FcgiRequest) -> None:
        """The web server's client has gone away: the attempt is given up, and the id is free again."""
        taken, request.open = request.open, None
        if taken is not None:
            self.request_over(False)
            taken.owner.cancel_by_client(taken)
        request.release_body()
        self._end(request, b"")

    # Answering.

    def answered(
        self,
        request: FcgiRequest,
        status: int,
        reason: bytes,
        lines: list[bytes],
        body: bytes,
        length: int | None,
    ) -> None:
        """The one answer of a request."""
        if request.bodiless or status in BODILESS:
            stated = [b"Content-Length: %d\r\n" % length] if length is not None and status != 204 else []
            out = b"Status: %d %b\r\n%b\r\n" % (status, reason, b"".join([*lines, *stated]))
        else:
            out = write_answer(status, reason, lines, body)
        self._end(request, out)
        self.flush()
        self._after()

    def ended(self, request: FcgiRequest, status: int) -> None:
        """Its answer came by a stream, of which that was the end; `status` is the application's."""
        if not request.ended:
            self.side.output += encode(Type.STDOUT, request.number)
            self._end(request, b"", status)
            self.flush()
            self._after()

    def _end(self, request: FcgiRequest, out: bytes, status: int = 0) -> None:
        """STDOUT and END_REQUEST; nothing of this request comes after them."""
        request.ended = True
        del self.requests[request.number]
        if out:
            self.side.output += encode_stream(Type.STDOUT, request.number, out) + encode(
                Type.STDOUT, request.number
            )
        self.side.output += self.side.end(request.number, Status.REQUEST_COMPLETE, status)
        if self.listener.draining or self.is_once():
            self.side.closing = True

    def flush(self) -> None:
        if self.side.output and self.transport is not None and not self.transport.is_closing():
            data = bytes(self.side.output)
            self.side.output.clear()
            self.transport.write(data)

    def _after(self) -> None:
        """Close, or wait for the next request."""
        if self.transport is None or self.transport.is_closing() or self.phase == Phase.LINGER:
            return
        last = self.side.closing or self.side.protocol_violation
        if self.requests or (self.side.open and not self.side.protocol_violation):
            self.phase = Phase.WHOLE if self.requests else Phase.HEAD
        elif last:
            self.phase = Phase.LINGER
            self.since = time.monotonic()
            self.listener.evictable.remove(self)
            self.listener.evictable.lingering[self] = None
            self.end_writing()
        elif self.phase == Phase.WHOLE:
            self.phase = Phase.IDLE
            self.since = time.monotonic()
            self.rest()
        elif self.phase == Phase.HEAD and not self.side.is_within_record():
            self.phase = Phase.IDLE

    # Flow control, and the end.

    def pause_writing(self) -> None:
        """What the client does not take counts as buffered, and it is asked for nothing more."""
        self.charge(self.budget)
        self._read_on(False)
        self._hold(True)

    def resume_writing(self) -> None:
        self.uncharge()
        self._read_on(True)
        self._hold(False)

    def _hold(self, on: bool) -> None:
        for request in list(self.requests.values()):
            if request.stream is not None:
                request.stream.set_full(on)

    def _read_on(self, on: bool) -> None:
        if on == self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused = not on
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def eof_received(self) -> None:
        """The client has gone away; the transport closes."""
        self.withdraw_all()

    def connection_lost(self, exc: Exception | None) -> None:
        self.withdraw_all()
        self.uncharge()
        self.listener.left(self)

    def withdraw_all(self) -> None:
        """Nobody waits for the answers any more."""
        for request in list(self.requests.values()):
            taken, request.open = request.open, None
            request.ended, request.stream = True, None
            if taken is not None:
                taken.owner.cancel_by_client(taken)
            request.release_body()
        self.requests.clear()

    def retire(self) -> bool:
        return not self.requests and super().retire()

    def sweep(self, now: float) -> None:
        """Limits in time."""
        if self.blocked and now - self.blocked > READ_STALL_S:
            self.note_garbage()
            self.abort()
        elif self.phase == Phase.LINGER:
            if now - self.since > LINGER_S and not self.blocked:
                self.abort()
        elif self.phase == Phase.IDLE:
            self.note_quiet(now)
            if now - self.since > self.idle_most() and self.retire() and not self.asked:
                self.note_silence()
        else:
            self._sweep_requests(now)

    def _sweep_requests(self, now: float) -> None:
        """Guards against requests that never come whole, and against records and params that never end."""
        for request in list(self.requests.values()):
            if request.open is None and now - request.since > REQUEST_S:
                self.note_silence()
                self._reject(request, 408, "the request did not come to its end")
        if self.phase == Phase.HEAD and now - self.since > REQUEST_S:
            self.note_silence()
            self.abort()

    def refuse(self, words: bytes) -> None:
        """No request has come, so none can be answered: closed once what comes is read."""
        assert self.transport is not None
        self.phase = Phase.LINGER
        self.since = time.monotonic()
        self.listener.evictable.remove(self)
        self.listener.evictable.lingering[self] = None
        self.end_writing()

    def is_busy(self) -> bool:
        return self.phase != Phase.LINGER or bool(self.blocked)
