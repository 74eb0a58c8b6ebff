"""FastCGI on client connections (from a web server): several requests at once, each with its own answer.

The protocol is in fastcgi/application.py, and the reader interprets requests as for HTTP. This module moves the bytes,
and sends exactly one END_REQUEST for each request that has begun.
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
from loadbalancer.streaming.streams import Stream


def is_address(text: str) -> bool:
    """Return whether the text is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


class FcgiRequest:
    """One request of a connection; its pool answers it through the same interface as an HTTP connection."""

    __slots__ = (
        "connection",
        "number",
        "since",
        "head",
        "body",
        "length",
        "open_request",
        "bodiless",
        "ended",
        "stream",
    )

    def __init__(self, connection: FastCgiFront, number: int, head: Head, length: int | None) -> None:
        self.connection, self.number, self.head, self.length = connection, number, head, length
        self.since = time.monotonic()  # when its params were complete
        self.body: bytearray | None = None
        self.open_request: OpenRequest | None = None  # set once a pool has it
        self.bodiless = head.method == b"HEAD"
        self.ended = False
        self.stream: Stream | None = None  # the answer that is being streamed

    def has_left(self) -> bool:
        """Return whether the client has closed its side; if so, cancel its requests."""
        return self.connection.has_left()

    def begin_answer(
        self, status: int, lines: list[bytes], length: int | None, reason: bytes, stream: Stream
    ) -> None:
        """Write the head of a streamed answer."""
        self.stream = stream
        length_lines = [b"Content-Length: %d\r\n" % length] if length is not None else []
        reason_phrase = reason or REASONS.get(status, b"No Reason")
        self.receive_data(
            b"Status: %d %b\r\n%b\r\n" % (status, reason_phrase, b"".join([*lines, *length_lines]))
        )

    def receive_data(self, data: bytes) -> None:
        """Write a part of the streamed answer."""
        if not self.ended:
            self.connection.side.output += encode_stream(Type.STDOUT, self.number, data)
            self.connection.flush()

    def is_full(self) -> bool:
        """Return whether bytes wait on the connection that the web server has made no room for."""
        return bool(self.connection.blocked_since)

    def receive_end(self) -> None:
        """Write the end of the streamed answer."""
        self._end_stream(True)

    def abort_body(self) -> None:
        """End this request as failed by its application; the other requests on the connection go on."""
        self._end_stream(False)

    def _end_stream(self, is_complete: bool) -> None:
        self.open_request = self.stream = None
        self.connection.end_request(is_complete and not self.connection.blocked_since)
        self.connection.end_streamed(self, 0 if is_complete else 1)

    def answer(
        self,
        status: int,
        lines: list[bytes],
        body: bytes,
        close: bool = False,  # noqa: ARG002
        length: int | None = None,
        reason: bytes = b"",
    ) -> None:
        """Write a whole answer. `close` is ignored: each request has its own records, so the connection goes on."""
        self.open_request = None
        self.connection.end_request(status < 500 and not self.connection.blocked_since)
        self.connection.write_response(
            self, status, reason or REASONS.get(status, b"No Reason"), lines, body, length
        )

    def release_body(self) -> None:
        """Release the buffered body."""
        if self.body is not None and self.head.destination is not None:
            self.head.destination.budget.release(len(self.body))
        self.body = None


class FastCgiFront(FrontConnection):
    """One connection of a FastCGI client (a web server)."""

    def __init__(
        self, listener: Listener, sock: socket.socket, overflow: bool, peer: str, requests_most: int
    ) -> None:
        """Create the connection.

        More than `requests_most` requests at once are ended as OVERLOADED, which says that they never ran.
        """
        self.listener, self.sock, self.overflow, self.peer = listener, sock, overflow, peer
        self.transport: asyncio.Transport | None = None
        self.side = ApplicationSide(requests_most)
        self.requests: dict[int, FcgiRequest] = {}  # begun and not answered
        self.since = time.monotonic()
        self.phase = Phase.IDLE
        self.paused = False
        self.charged_input = 0  # bytes of records, params and heads that are charged to the memory account

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to its listener."""
        self.register(transport)

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Decode records, and handle the requests that they begin, continue and complete."""
        data = self.unwrap(data)
        if not data:
            return
        if self.phase == Phase.LINGER:
            return
        if self.phase == Phase.IDLE:
            self.mark_active()
            self.phase = Phase.HEAD
            if self.request_count:
                self.since = time.monotonic()
        was_malformed = bool(self.side.protocol_violation)
        for event in self.side.feed(data):
            self._handle_event(event)
        if self.side.protocol_violation and not was_malformed:
            self.record_malformed()
        self.flush()
        self._charge_input()
        self._finish_answer()

    def _charge_input(self) -> None:
        """Charge what the connection holds of requests, beside the bodies, which their destinations charge."""
        held_bytes = self.side.held_bytes() + sum(
            request.head.held_bytes() for request in self.requests.values()
        )
        if held_bytes != self.charged_input:
            added, self.charged_input = held_bytes - self.charged_input, held_bytes
            self.listener.account.charge(added)

    def reclaimable_bytes(self) -> int:
        """Return how many charged bytes `evict_for_memory` would free now."""
        is_open = any(request.open_request is not None for request in self.requests.values())
        return 0 if is_open and not self.blocked_since else self.charged_input + super().reclaimable_bytes()

    def evict_for_memory(self) -> str:
        """End the connection, on which no request is complete, or whose answers are not read."""
        reason = "answers that are not read" if self.blocked_since else "requests that are not complete"
        self.cancel_all_requests()
        super().evict_for_memory()
        return reason

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, ParamsReceived):
            self._begin_request(event)
            return
        request = self.requests.get(event.request)
        if request is None or request.ended:
            return
        if isinstance(event, BodyData):
            self._receive_body(request, event.data)
        elif isinstance(event, BodyReceived):
            self._complete_request(request)
        elif isinstance(event, Aborted):
            self._abort_request(request)

    def _begin_request(self, event: ParamsReceived) -> None:
        reader = self.listener.reader
        client = event.params.get(b"REMOTE_ADDR", b"").decode("latin-1")
        # A trusted web server reports the address of its client.
        head = reader.new_head(
            client if client and reader.trusts(self.peer) and is_address(client) else self.peer
        )
        request = self.requests[event.request] = FcgiRequest(self, event.request, head, None)
        try:
            cgi_request = from_params(event.params)
            head.url, head.method, request.length = cgi_request.target, cgi_request.method, cgi_request.length
            request.bodiless = cgi_request.method == b"HEAD"
            for name, value in cgi_request.headers:
                head.size += len(name) + len(value)
                head.field_count += 1
                head.add(name, value)
            if cgi_request.length is not None:
                head.inspected[b"content-length"] = b"%d" % cgi_request.length
            destination = head.destination = head.reader.find_destination(head)
            if (cgi_request.length or 0) > destination.body_most:
                raise RejectError(413, "body too large")
        except CgiError as problem:
            self._reject(request, 400, str(problem))
        except RejectError as problem:
            self._reject(request, problem.status, problem.message)

    def _receive_body(self, request: FcgiRequest, data: bytes) -> None:
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

    def _complete_request(self, request: FcgiRequest) -> None:
        if len(request.body or b"") != (request.length or 0):
            self._reject(request, 400, "less on STDIN than CONTENT_LENGTH states")
            return
        self.record_request()
        try:
            item = request.head.reader.read(request.head, request.body, request)
        except RejectError as problem:
            self._reject(request, problem.status, problem.message)
            return
        if isinstance(item, Reply):
            self._reject(request, item.status, item.message)
        else:
            request.body = None  # now owned by the open request
            self._submit(request, item)

    def _submit(self, request: FcgiRequest, item: RoutedRequest) -> None:
        proxy = item.proxy
        if self.overflow:
            status, message = 503, "too many connections"
        elif proxy.is_known(item.request, item.cls):
            status, message = 409, "this X-Txn has been used"
        elif proxy.lacks_lease():
            status, message = 503, "this proxy is not of its fleet now"
        elif not proxy.can_remember(item.request, item.cls):
            status, message = 503, "too many requests that must not run twice"
        elif not proxy.has_room():
            status, message = 503, "this pool has all it can hold"
        elif not self.try_begin_request():
            status, message = 503, "too many requests at once from this address"
        else:
            request.open_request = item.request
            item.submit()
            return
        proxy.count_rejected(item.request, item.cls, status)
        self._reject(request, status, message)

    def _reject(self, request: FcgiRequest, status: int, message: str) -> None:
        """Answer a request without a pool; its remaining input is discarded until its STDIN ends."""
        request.release_body()
        lines = frontend_proxy_status(status) if self.listener.reader.adds_proxy_status else []
        self.write_response(
            request, status, REASONS.get(status, b"No Reason"), lines, message.encode() + b"\n", None
        )

    def _abort_request(self, request: FcgiRequest) -> None:
        """Cancel a request whose client has left, so that its id can be used again."""
        open_request, request.open_request = request.open_request, None
        if open_request is not None:
            self.end_request(False)
            open_request.owner.cancel_by_client(open_request)
        request.release_body()
        self._end_request(request, b"")

    # Answering.

    def write_response(
        self,
        request: FcgiRequest,
        status: int,
        reason: bytes,
        lines: list[bytes],
        body: bytes,
        length: int | None,
    ) -> None:
        """Write the answer of a request, and end the request."""
        if request.bodiless or status in BODILESS:
            length_lines = (
                [b"Content-Length: %d\r\n" % length] if length is not None and status != 204 else []
            )
            out = b"Status: %d %b\r\n%b\r\n" % (status, reason, b"".join([*lines, *length_lines]))
        else:
            out = write_answer(status, reason, lines, body)
        self._end_request(request, out)
        self.flush()
        self._finish_answer()

    def end_streamed(self, request: FcgiRequest, status: int) -> None:
        """End a request whose answer was streamed; `status` is the application status."""
        if not request.ended:
            self.side.output += encode(Type.STDOUT, request.number)
            self._end_request(request, b"", status)
            self.flush()
            self._finish_answer()

    def _end_request(self, request: FcgiRequest, out: bytes, status: int = 0) -> None:
        """Queue the output and END_REQUEST; nothing of this request is written after them."""
        request.ended = True
        del self.requests[request.number]
        if out:
            self.side.output += encode_stream(Type.STDOUT, request.number, out) + encode(
                Type.STDOUT, request.number
            )
        self.side.output += self.side.end(request.number, Status.REQUEST_COMPLETE, status)
        if self.listener.draining or self.ends_after_answer():
            self.side.closing = True

    def flush(self) -> None:
        """Write the records that are queued."""
        if self.side.output and self.transport is not None and not self.transport.is_closing():
            data = bytes(self.side.output)
            self.side.output.clear()
            self.write(data)

    def _finish_answer(self) -> None:
        """Close the connection, or wait for the next request."""
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
            self.mark_idle()
        elif self.phase == Phase.HEAD and not self.side.is_within_record():
            self.phase = Phase.IDLE

    # Flow control, close and timeouts.

    def pause_writing(self) -> None:
        """Charge unread output, and stop reading requests and streams until the client reads again."""
        self.begin_blocked()
        self._set_reading(False)
        self._set_streams_full(True)

    def resume_writing(self) -> None:
        """Go on: the client has read all output."""
        self.end_blocked()
        self._set_reading(True)
        self._set_streams_full(False)

    def _set_streams_full(self, on: bool) -> None:
        for request in list(self.requests.values()):
            if request.stream is not None:
                request.stream.set_full(on)

    def _set_reading(self, on: bool) -> None:
        if on == self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused = not on
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def eof_received(self) -> None:
        """Cancel the requests of a client that has closed its side; the transport then closes."""
        self.cancel_all_requests()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancel all requests and release the connection."""
        self.cancel_all_requests()
        self.end_blocked()
        self.listener.account.release(self.charged_input)
        self.charged_input = 0
        self.listener.remove(self)

    def cancel_all_requests(self) -> None:
        """Cancel all open requests; the client no longer waits for their answers."""
        for request in list(self.requests.values()):
            open_request, request.open_request = request.open_request, None
            request.ended, request.stream = True, None
            if open_request is not None:
                open_request.owner.cancel_by_client(open_request)
            request.release_body()
        self.requests.clear()

    def close_if_idle(self) -> bool:
        """Close the connection if no request is open on it; return whether it was closed."""
        return not self.requests and super().close_if_idle()

    def sweep(self, now: float) -> None:
        """Enforce timeouts."""
        if self.blocked_since and now - self.blocked_since > READ_STALL_S:
            self.record_malformed()
            self.abort()
        elif self.phase == Phase.LINGER:
            if now - self.since > LINGER_S and not self.blocked_since:
                self.abort()
        elif self.phase == Phase.IDLE:
            self.record_unused(now)
            if now - self.since > self.idle_timeout_s() and self.close_if_idle() and not self.request_count:
                self.record_silence()
        else:
            self._sweep_requests(now)

    def _sweep_requests(self, now: float) -> None:
        """Guard against requests that are never completed, and against records and params that never end."""
        for request in list(self.requests.values()):
            if request.open_request is None and now - request.since > REQUEST_S:
                self.record_silence()
                self._reject(request, 408, "the request did not come to its end")
        if self.phase == Phase.HEAD and now - self.since > REQUEST_S:
            self.record_silence()
            self.abort()

    def refuse(self, response: bytes) -> None:  # noqa: ARG002
        """Close the connection after reading what still arrives; no request has been read, so none can be answered."""
        assert self.transport is not None
        self.phase = Phase.LINGER
        self.since = time.monotonic()
        self.listener.evictable.remove(self)
        self.listener.evictable.lingering[self] = None
        self.end_writing()

    def is_busy(self) -> bool:
        """Return whether the connection still has an answer to give or to write."""
        return self.phase != Phase.LINGER or bool(self.blocked_since)
