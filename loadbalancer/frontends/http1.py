"""HTTP/1.1 on client connections: reads requests and writes one answer to each (RFC 9112).

The dialect interprets request heads (frontends/dialect.py); the listener accepts and evicts connections.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections import deque
from contextlib import suppress
from typing import Sequence, Union

import httptools

from loadbalancer.admission.rulings import RETRY_AFTER_S
from loadbalancer.frontends.connection import REQUEST_S, FrontConnection, Phase
from loadbalancer.frontends.dialect import RejectError, Reply, RoutedRequest
from loadbalancer.frontends.http1_answers import encode_answer, encode_stream_head, retry_after
from loadbalancer.frontends.listener import Listener
from loadbalancer.input_turns import MAX_PARTS, SLICE_BYTES
from loadbalancer.kernel_buffers import peek_unread
from loadbalancer.proxy.final_answers import frontend_proxy_status
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.request_parser import RequestParser
from loadbalancer.streaming.streams import STALL_S, Stream
from loadbalancer.streaming.tunnels import Tunnel
from loadbalancer.streaming.uploads import Upload

#: Largest head of a request; guards against endless headers.
HEAD_MOST = 16 << 10
#: Header fields of a request, with its trailers, at most.
MAX_FIELDS = 256
#: Bytes of input that a connection holds without a charge to the memory account: they count in the process's base.
FREE_INPUT_BYTES = 4 << 10
#: Requests that may wait on one connection behind the one being served; guards against pipelining floods.
PIPELINE_MOST = 16
#: A body may take longer than REQUEST_S while it keeps arriving: its least rate in bytes a second, and the longest
#: pause in seconds. Clients send at 64 kB a second and more. Guards against clients that send less than they announce,
#: or a byte now and then.
BODY_RATE = 24_000
BODY_STALL_S = 1.0
#: An answer is abandoned once the client has not read any of it for this long.
READ_STALL_S = 5.0
#: After the last answer the sending direction is closed, and the connection is read for this long, so that data still
#: arriving does not reset it before the client has read the answer.
LINGER_S = 1.0
#: Bytes read and discarded on such a connection at most; guards against spending time on the rest of a rejected
#: upload.
LINGER_MOST = 128 << 10

#: Bytes of a body that a client may have written to its connection although they have not arrived.
CLIENT_SEND_BUFFER_BYTES = 1 << 20
#: The end of a body in chunks without trailers, behind its last part.
LAST_CHUNK = b"\r\n0\r\n\r\n"

IDLE, HEAD, BODY, WHOLE, LINGER, TUNNEL = Phase


class ClientConnection(FrontConnection):
    """One HTTP/1.1 client connection, on which one request at a time is served."""

    def __init__(self, listener: Listener, sock: socket.socket, overflow: bool, peer: str) -> None:
        self.listener, self.sock, self.overflow, self.peer = listener, sock, overflow, peer
        self.transport: asyncio.Transport | None = None
        self.parser: RequestParser | None = RequestParser(self)
        self.request: OpenRequest | None = None  # being served
        self.waiting: deque[Union[RoutedRequest, Reply]] = deque()
        self.since = time.monotonic()  # time at which the phase began
        self.phase: Phase = IDLE
        self.body_received_at = self.since  # when data of a body last arrived
        self.closing = False  # no further request is read
        self.bodiless = False  # the answer to the request being served has no body (HEAD)
        self.is_http10 = False  # the request being served came in HTTP/1.0
        self.close_after = False  # the connection is closed after the answer to the request being served
        self.paused = False  # reading is paused
        self.upload: Upload | None = None  # the body that is being streamed
        self.reading_upload = False  # the parser is inside the streamed body
        self.upload_parts: list[bytes] = []  # of the streamed body, parsed and not passed on yet
        self.upload_paused = False  # the member applies backpressure to the streamed body
        self.upload_paused_at = 0.0  # monotonic time of the last change
        self.unparsed = b""  # input that waits for its turn, or until the requests before it are served
        self.is_queued = False  # for a turn
        self.charged_input = 0  # bytes of heads and unparsed input that are charged to the memory account
        self.unreported_bytes = 0  # of the head, since the parser's last report
        self.part_count = 0  # parts of bodies that were parsed in this turn
        self.discarded = 0  # bytes read after the last answer
        self.stream: Stream | None = None  # the answer that is being streamed
        self.chunked = False  # the streamed answer uses chunked encoding
        self.tunnel: Tunnel | None = None  # set once both sides have switched to another protocol
        self.early_bytes = b""  # bytes after a request to switch protocols, received before its answer
        self._begin_request()

    def _begin_request(self) -> None:
        self.head = self.listener.reader.new_head(self.peer)
        self.head.secure, self.head.certificate_names = self.secure, self.certificate_names
        self.body: bytearray | None = None
        self.body_received = 0  # bytes
        self.length: int | None = None  # stated length of the body
        self.is_too_long_to_buffer = False  # the body must be streamed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to its listener."""
        self.register(transport)
        if self.secure:
            self._begin_request()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request; called by the parser, as the others are that begin with on_."""
        self._begin_request()
        if self.phase == IDLE:
            self.mark_active()
            if self.request_count:
                self.since = time.monotonic()
        self.phase = HEAD

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.head.url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are ignored."""
        head = self.head
        head.field_count += 1
        if head.field_count > MAX_FIELDS:
            raise RejectError(431, "too many header fields")
        self._count_head_bytes(len(name) + len(value))
        if self.phase != HEAD:  # trailers
            return
        head.add(name, value)

    def _count_head_bytes(self, size: int) -> None:
        self.head.size += size
        if self.head.size > HEAD_MOST:
            raise RejectError(431, "head too large")

    def on_headers_complete(self) -> None:
        """Choose the destination, and check the announced length against its limits."""
        head = self.head
        assert self.parser is not None
        head.method = self.parser.get_method()
        head.is_http10 = self.parser.get_http_version() != "1.1"
        head.close = head.is_http10 or head.method == b"CONNECT" or not self.parser.should_keep_alive()
        head.may_switch_protocol = not head.is_http10 and self.parser.may_switch_protocol()
        destination = head.destination = head.reader.find_destination(head)
        self.length = int(head.inspected[b"content-length"]) if b"content-length" in head.inspected else None
        if (self.length or 0) > max(destination.body_most, destination.upload_most):
            raise RejectError(413, "body too large")
        self.is_too_long_to_buffer = (self.length or 0) > destination.body_most
        self.phase = BODY
        expects_continue = head.inspected.get(b"expect", b"").lower() == b"100-continue"
        # An HTTP/1.0 client would take it for its answer (RFC 9110, 10.1.1).
        if expects_continue and not head.is_http10 and self.request is None and not self.waiting:
            assert self.transport is not None
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def framing_headers(self) -> bytes:
        """Return the header line that frames the body; empty if none is announced."""
        inspected = self.head.inspected
        if b"transfer-encoding" in inspected:
            return b"Transfer-Encoding: %b\r\n" % inspected[b"transfer-encoding"]
        length = int(inspected.get(b"content-length", b"0"))
        return b"Content-Length: %d\r\n" % length if length else b""

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body, or keep it to be streamed."""
        self.part_count += 1
        self.body_received += len(data)
        destination = self.head.destination
        assert destination is not None
        if self.body_received > max(destination.body_most, destination.upload_most):
            raise RejectError(413, "body too large")
        if self.reading_upload:
            self.upload_parts.append(data)
            return
        if self.body is None:
            self.body = bytearray()
        self.is_too_long_to_buffer = self.is_too_long_to_buffer or self.body_received > destination.body_most
        if not destination.budget.try_acquire_upload(len(data)):
            raise RejectError(503, "too much is being uploaded")
        self.body += data

    def on_message_complete(self) -> None:
        """Interpret the request, and queue it behind the earlier ones."""
        if self.reading_upload:
            self.reading_upload = False
            self.phase = WHOLE
            self.record_request()
            return
        if len(self.waiting) >= PIPELINE_MOST:
            raise RejectError(503, "too many requests at once")
        head = self.head
        if head.method == b"CONNECT":
            self.closing = True  # what follows is not HTTP
        item = head.reader.read(head, self.body, self)
        if isinstance(item, RoutedRequest):
            self.body = None  # now owned by the request
        else:
            self._release_body()
        self.waiting.append(item)
        self.phase = WHOLE
        self.record_request()

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Parse what was received, and serve the requests that are complete."""
        data = self.unwrap(data)
        if not data or self._consume_other_data(data):
            return
        if self.unparsed:
            self.unparsed += data
            return
        self._receive(data)

    def take_turn(self) -> None:
        """Parse one share of the input that waits; the listener calls this once the connection's turn has come."""
        self.is_queued = False
        if not self.unparsed or self._is_closed() or self.waiting or self.upload_paused:
            return
        data, self.unparsed = self.unparsed, b""
        if not self._consume_other_data(data):
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        """Parse one share of the input, and act on it."""
        if self.phase == BODY:
            self.body_received_at = time.monotonic()
        try:
            self.unparsed = self._parse(data)
        except httptools.HttpParserError as problem:
            self._forward_body()  # what came before the error
            self._handle_parser_error(problem)
        else:
            self._forward_body()
        if self.unparsed:
            self._set_reading(False)
        self._charge_input()
        if self.listener.account.is_overdrawn and self._is_incomplete():
            self._refuse_for_memory()
        self._serve_waiting()

    def _charge_input(self) -> None:
        """Charge what the connection holds of requests, beside the bodies, which their destinations charge."""
        held_bytes = self.head.held_bytes() + len(self.unparsed) + len(self.early_bytes)
        for item in self.waiting:
            held_bytes += len(item.request.head) if isinstance(item, RoutedRequest) else 0
        if self.request is not None:
            held_bytes += len(self.request.head)
        if held_bytes <= FREE_INPUT_BYTES:
            held_bytes = 0
        if held_bytes != self.charged_input:
            added, self.charged_input = held_bytes - self.charged_input, held_bytes
            self.listener.account.charge(added)

    def _is_incomplete(self) -> bool:
        """Return whether a request is arriving that no pool knows of."""
        return self.phase in (HEAD, BODY) and self.request is None and not self.waiting and not self.closing

    def _refuse_for_memory(self) -> None:
        self._reject(503, "too much memory is in use")

    def reclaimable_bytes(self) -> int:
        """Return how many charged bytes `evict_for_memory` would free now."""
        if self.blocked_since or self._is_incomplete():
            return self.charged_input + len(self.body or b"") + super().reclaimable_bytes()
        return 0

    def idle_for_s(self, now: float) -> float:
        """Return for how many seconds the client has neither sent nor read; a head counts from its beginning."""
        if self.phase == BODY and not self.blocked_since:
            return now - self.body_received_at
        return super().idle_for_s(now)

    def evict_for_memory(self) -> str:
        """Refuse an incomplete request, or close a connection whose answer is not read."""
        if self.blocked_since:
            self.cancel_all_requests()
            self._release_input()
            return super().evict_for_memory()
        self._refuse_for_memory()
        self._serve_waiting()
        return "a request that is not complete"

    def _parse(self, data: bytes) -> bytes:
        """Parse requests, up to one that may switch to another protocol: what follows may be in that protocol.

        Returns:
            The rest of the input, if it has to wait: for a turn of its own, or for the requests before it.
        """
        self.part_count, size = 0, SLICE_BYTES
        while data and not self.closing:
            behind_request = self._feed(data[:size])
            data = behind_request + data[size:]
            if data and self._awaits_switch():
                self._buffer_early_bytes(data)
                return b""
            if data and (self.part_count > MAX_PARTS or self.waiting) and not self.closing:
                return data
            if self.phase == BODY:
                size *= 2
        return b""

    def _feed(self, data: bytes) -> bytes:
        """Feed the parser, and reject a head with an endless name or value, which it does not report until it ends.

        Returns:
            The bytes behind a request that may switch to another protocol.
        """
        assert self.parser is not None
        head, size_before = self.head, self.head.size
        behind_request = self.parser.feed_data(data)
        if self.phase == HEAD:
            is_reported = self.head is not head or head.size != size_before
            self.unreported_bytes = 0 if is_reported else self.unreported_bytes + len(data)
            if self.head.size + self.unreported_bytes > 2 * HEAD_MOST:
                self._reject(431, "head too large")
        return behind_request

    def _awaits_switch(self) -> bool:
        """Return whether the latest request may switch to another protocol and has no answer yet."""
        if not self.waiting:
            return self.request is not None and bool(self.request.upgrade)
        item = self.waiting[-1]
        return isinstance(item, RoutedRequest) and bool(item.request.upgrade)

    def _consume_other_data(self, data: bytes) -> bool:
        """Consume data that is not part of a request, and return whether it was.

        That is data after the last answer, of another protocol, or sent before the switch to it was answered.
        """
        if self.tunnel is not None:
            self.tunnel.from_client(data)
        elif self.closing:
            self.discarded += len(data)
            if self.discarded > LINGER_MOST:
                self._set_reading(False)
        elif self._awaits_switch():
            self._buffer_early_bytes(data)
        else:
            return False
        return True

    def _forward_body(self) -> None:
        """Pass on the parsed part of the body; not in a parser callback, as the member may end the request."""
        if self.upload is not None:
            self._continue_upload(self.upload)
        elif self.is_too_long_to_buffer and self.phase == BODY and self.body is not None and not self.closing:
            self._begin_upload()

    # Streaming of bodies that are too long to be buffered.

    def _begin_upload(self) -> None:
        """Begin to stream the body, and submit its request now with the part that has arrived."""
        head, destination, body = self.head, self.head.destination, self.body
        assert destination is not None and body is not None
        if self.request is not None or self.waiting:  # another request is open on this connection
            self._reject(413, "body too large behind another request")
            return
        upload = Upload(self, self.length, body, destination.budget, self._upload_lost)
        head.upload, self.upload, self.body = upload, upload, None
        self.reading_upload = True
        try:
            item = head.reader.read(head, None, self)
        except RejectError as problem:
            item = None
            self._reject(problem.status, problem.message)
        if not isinstance(item, RoutedRequest) or not item.proxy.may_upload():
            upload.close()
            self.upload = None
            if item is not None:
                self._reject(503, "too many long bodies at once")
            return
        item.request.upload = upload
        self.waiting.append(item)

    def _continue_upload(self, upload: Upload) -> None:
        upload_parts, self.upload_parts = self.upload_parts, []
        if upload_parts:
            upload.receive(b"".join(upload_parts))
        if self.upload is upload and not self.reading_upload:  # not answered meanwhile, and complete
            self.upload = None
            upload.end()
            if self.request is not None:
                self.request.owner.uploaded(self.request)

    def _upload_lost(self) -> None:
        if self.request is not None:
            self.request.owner.upload_not_replayable(self.request)

    def set_reading_paused(self, on: bool) -> None:
        """Pause or resume reading the body, as the member applies backpressure."""
        if self.tunnel is not None:
            self._set_reading(not on)
            return
        self.upload_paused, self.upload_paused_at = on, time.monotonic()
        if not self.closing:
            self._set_reading(not on and not self.waiting)

    def _handle_parser_error(self, problem: httptools.HttpParserError) -> None:
        cause = problem.__context__
        if isinstance(cause, RejectError):
            self._reject(cause.status, cause.message)
        elif isinstance(problem, httptools.HttpParserCallbackError) and cause is not None:
            raise cause from None  # a defect in this program
        else:
            self._reject(400, "not HTTP/1.1")

    def _buffer_early_bytes(self, data: bytes) -> None:
        """Keep bytes of the other protocol until the request to switch is answered.

        They go to the member if it switches, and are discarded otherwise. They must not be parsed as a request, because
        a third party could have planted one in them (RFC 9110, 7.8).
        """
        self.early_bytes += data
        if len(self.early_bytes) > HEAD_MOST:
            self._set_reading(False)

    # Tunnels after a protocol switch.

    def begin_tunnel(self, lines: list[bytes], reason: bytes, tunnel: Tunnel) -> None:
        """Write the 101, and pass all further bytes through the tunnel."""
        assert self.transport is not None
        self.tunnel, self.request, self.phase = tunnel, None, TUNNEL
        self.end_request(True)
        self.write(b"HTTP/1.1 101 %b\r\n%b\r\n" % (reason or b"Switching Protocols", b"".join(lines)))
        early_bytes, self.early_bytes, self.unparsed = self.early_bytes + self.unparsed, b"", b""
        if early_bytes:
            tunnel.from_client(early_bytes)
        self._set_reading(True)

    def send(self, data: bytes) -> None:
        """Write bytes of the tunnel."""
        if not self._is_closed():
            self.write(data)

    def shut(self) -> None:
        """Close a tunnel once what is buffered has been written."""
        if not self._is_closed():
            assert self.transport is not None
            self.transport.close()
            asyncio.get_running_loop().call_later(READ_STALL_S, self.abort)

    def finish(self) -> None:
        """Close the sending direction of a tunnel."""
        if not self._is_closed():
            assert self.transport is not None
            self.end_writing()

    def _reject(self, status: int, message: str) -> None:
        """Queue an error answer behind the earlier requests; nothing more is read from the connection."""
        self.closing = True
        self.unparsed = b""
        if status in (400, 431, 501):
            self.record_malformed()
        self.listener.evictable.remove(self)
        self._release_body()
        self.waiting.append(Reply(status, message, True))

    def _serve_waiting(self) -> None:
        """Serve the waiting requests in order, until one has been submitted to its pool."""
        while self.request is None and self.waiting and not self.blocked_since and not self._is_closed():
            item = self.waiting.popleft()
            self.close_after = item.close
            if isinstance(item, Reply):
                self._write(
                    item.status, self._proxy_status(item.status), item.message.encode() + b"\n", served=False
                )
                self._finish_answer()
            elif self.overflow:
                self._refuse_request(item, 503, b"too many connections\n")
            elif item.proxy.is_known(item.request):
                self._refuse_request(item, 409, b"this X-Txn has been used\n")
            elif item.proxy.lacks_lease():
                lines = retry_after(item.proxy.retry_after_s)
                self._refuse_request(item, 503, b"this proxy is not of its fleet now\n", False, lines)
            elif not item.proxy.has_room():
                self._refuse_request(item, 503, b"this pool has all it can hold\n", False)
            elif self.listener.account.is_overdrawn:
                lines = retry_after(RETRY_AFTER_S)
                self._refuse_request(item, 503, b"too much memory is in use\n", False, lines)
            elif not self.try_begin_request():
                lines = retry_after(RETRY_AFTER_S)
                self._refuse_request(
                    item, 503, b"too many requests at once from this address\n", False, lines
                )
            else:
                self.request = item.request
                self.bodiless, self.is_http10 = item.request.bodiless, item.is_http10
                item.submit()
        if not self.closing:
            self._set_reading(not self.waiting and not self.upload_paused)

    def _proxy_status(self, status: int) -> list[bytes]:
        """Return the Proxy-Status header that marks an answer as made by the proxy, if the dialect adds it."""
        return frontend_proxy_status(status) if self.listener.reader.adds_proxy_status else []

    def _refuse_request(
        self,
        item: RoutedRequest,
        status: int,
        message: bytes,
        close: bool = True,
        lines: Sequence[bytes] = (),
    ) -> None:
        """Answer a request before it reaches its pool; it has not run."""
        item.proxy.count_rejected(item.request, item.cls, status)
        self.close_after = self.close_after or close or self.upload is not None
        if self.upload is not None:
            self.upload.close()
            self.upload = None
        self.bodiless = item.request.bodiless
        self._write(status, [*lines, *self._proxy_status(status)], message)
        self._finish_answer()

    def _set_reading(self, on: bool) -> None:
        """Resume or pause reading, or queue for a turn if input waits for one.

        Guards against pipelining floods: nothing is read while a complete request waits.
        """
        if on and self.unparsed:
            if not self.is_queued:
                self.is_queued = True
                self.listener.input_turns.add(self)
            return
        if on == self.paused and not self._is_closed():
            assert self.transport is not None
            self.paused = not on
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def _is_closed(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    # Answering.

    def answer(
        self,
        status: int,
        lines: list[bytes],
        body: bytes,
        close: bool = False,
        length: int | None = None,
        reason: bytes = b"",
    ) -> None:
        """Write a whole answer; `length` is stated in the answer to HEAD, or in a 304, without a body."""
        # Close the connection rather than wait for the rest of an upload.
        self.close_after = self.close_after or close or self.upload is not None
        self.upload = None
        self.upload_parts.clear()
        self._write(status, lines, body, length, reason)
        self.request = None
        self.end_request(status < 500 and not self.blocked_since)
        self._finish_answer()

    def begin_answer(
        self, status: int, lines: list[bytes], length: int | None, reason: bytes, stream: Stream
    ) -> None:
        """Write the head of a streamed answer.

        An answer of unknown length is chunked; to an HTTP/1.0 client it ends with the connection.
        """
        assert self.transport is not None
        self.stream = stream
        self.chunked = length is None and not self.is_http10
        self.close_after = self.close_after or (length is None and self.is_http10) or self._is_last(True)
        self.write(
            encode_stream_head(
                status, lines, length, is_last=self.close_after, is_chunked=self.chunked, reason=reason
            )
        )

    def receive_data(self, data: bytes) -> None:
        """Write a part of the streamed answer."""
        if not self._is_closed():
            self.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def receive_end(self) -> None:
        """Write the end of the streamed answer."""
        if self.chunked and not self._is_closed():
            self.write(b"0\r\n\r\n")
        self._end_stream(True)
        self._finish_answer()

    def abort_body(self) -> None:
        """Abort the answer with a reset, so that the client sees that it is incomplete whatever its framing."""
        self._end_stream(False)
        with suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.closing = True
        self.abort()

    def _end_stream(self, is_complete: bool) -> None:
        self.stream = self.request = None
        self.end_request(is_complete and not self.blocked_since)

    def _write(
        self,
        status: int,
        lines: list[bytes],
        body: bytes,
        length: int | None = None,
        reason: bytes = b"",
        served: bool = True,
    ) -> None:
        self.close_after = self.close_after or self._is_last(served)
        self.write(
            encode_answer(
                status,
                lines,
                body,
                is_last=self.close_after,
                is_bodiless=self.bodiless,
                stated_length=length,
                reason=reason,
            )
        )
        self.bodiless = False

    def _is_last(self, served: bool) -> bool:
        """Return whether the connection is closed after this answer.

        It is not while another request waits or is being received: that one must be served, during shutdown too.
        """
        if self.phase != WHOLE or self.waiting or self.unparsed:
            return False
        if self.early_bytes:  # of a protocol that was not switched to
            return True
        if self.listener.draining:
            return not self._peek()
        return self.ends_after_answer() or not self.listener.pressure.keeps_open(self.request_count, served)

    def _finish_answer(self) -> None:
        """Close the connection after an answer, or go on to the next request."""
        assert self.transport is not None
        self.since = time.monotonic()
        if self.close_after:
            self.closing = True
            self.unparsed = b""
            self.phase = LINGER
            self.listener.evictable.lingering[self] = None
            while self.waiting:
                self._drop_waiting(self.waiting.popleft())
            self._release_input()
            self._set_reading(True)
            if not self._is_closed():
                self.end_writing()
        elif self.waiting:
            asyncio.get_running_loop().call_soon(self._serve_waiting)
        elif self.phase == WHOLE:
            self.phase = IDLE
            if self.charged_input:
                self._release_input()
            self.mark_idle()

    def _release_input(self) -> None:
        """Release the body and the head of a request that is over."""
        self._release_body()
        self._begin_request()
        self._charge_input()

    def _drop_waiting(self, item: RoutedRequest | Reply) -> None:
        if isinstance(item, RoutedRequest):
            item.proxy.drop(item.request)

    def _release_body(self) -> None:
        if self.body is not None and self.head.destination is not None:
            self.head.destination.budget.release(len(self.body))
        self.body = None

    # Flow control, close and timeouts.

    def pause_writing(self) -> None:
        """Pause the source of what is written: a tunnel or a streamed answer."""
        if self.tunnel is not None:
            self.tunnel.set_full(False, True)
            return
        self.begin_blocked()
        if self.stream is not None:
            self.stream.set_full(True)

    def resume_writing(self) -> None:
        """Resume the source of what is written."""
        if self.tunnel is not None:
            self.tunnel.set_full(False, False)
            return
        self.end_blocked()
        if self.stream is not None:
            self.stream.set_full(False)
        elif self.waiting or self.unparsed:
            asyncio.get_running_loop().call_soon(self._serve_waiting)

    def eof_received(self) -> bool | None:
        """Cancel the requests of a client that has closed its side; in a tunnel, end only that direction."""
        if self.tunnel is not None:
            self.tunnel.finish(False)
            return True
        self.cancel_all_requests()
        return None

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancel all requests and release the connection."""
        if self.tunnel is not None:
            self.tunnel.lost()
        self.cancel_all_requests()
        self.end_blocked()
        self.listener.account.release(self.charged_input)
        self.charged_input = 0
        self.listener.remove(self)
        if self.parser is not None:
            self.parser.close()
            self.parser = None

    def cancel_all_requests(self) -> None:
        """Cancel all requests of the connection; the client no longer waits for an answer."""
        self.closing = True
        self.unparsed = b""
        request, self.request = self.request, None
        self.stream = self.upload = None
        if request is not None:
            request.owner.cancel_by_client(request)
        while self.waiting:
            self._drop_waiting(self.waiting.popleft())
        self._release_body()

    def sweep(self, now: float) -> None:
        """Enforce timeouts; a tunnel has its own (tunnels.py)."""
        if self.phase != TUNNEL:
            self._sweep_request(now, now - self.since)

    def _sweep_request(self, now: float, waited: float) -> None:
        if self.blocked_since and self.has_write_progress():
            self.blocked_since = now
        if self.blocked_since and now - self.blocked_since > READ_STALL_S:
            self.record_malformed()
            self.abort()
        elif self.phase == LINGER:
            if waited > LINGER_S and not self.blocked_since:
                self.abort()
        elif self.upload is not None:
            self._sweep_upload(now)
        elif self.phase in (HEAD, BODY) and self.request is None:
            if waited > REQUEST_S and not self._is_body_arriving(now, waited):
                self._expire()
        elif self.phase == IDLE:
            self.record_unused(now)
            if waited > self.idle_timeout_s() and self.close_if_idle() and not self.request_count:
                self.record_silence()

    def _sweep_upload(self, now: float) -> None:
        """Enforce the timeouts of a streamed body.

        Guards members against clients that stop half way, and clients against members that read nothing. Time in which
        the member applies backpressure does not count against the client.
        """
        if self.upload_paused and self.request is not None:
            self.since += now - max(self.body_received_at, self.upload_paused_at)
            self.body_received_at = now
            if self._may_have_sent_all():
                self.request.owner.uploaded(self.request)
            if now - self.upload_paused_at > STALL_S:
                self.request.owner.upload_failed(self.request, 503)  # no member has all of it: it has not run
        elif now - self.since > REQUEST_S and not self._is_body_arriving(now, now - self.since):
            self._expire()

    def _may_have_sent_all(self) -> bool:
        """Return whether the client may have written its last byte, although the rest of the body stands unread.

        Its time counts from that byte. While the member applies backpressure, the rest waits in the kernel: here, where
        it can be seen, and in the client's own send buffer, where it can't.
        """
        if self.length is not None:
            return self.body_received + len(self.unparsed) + CLIENT_SEND_BUFFER_BYTES >= self.length
        rest = self.unparsed + (peek_unread(self.sock) if not self.secure else b"")
        return rest.endswith(LAST_CHUNK)

    def _is_body_arriving(self, now: float, waited: float) -> bool:
        """Return whether a body is still arriving, and at the least rate."""
        if self.phase != BODY or now - self.body_received_at > BODY_STALL_S:
            return False
        return self.body_received >= BODY_RATE * (waited - REQUEST_S)

    def refuse(self, response: bytes) -> None:
        """Write these bytes and close the connection, before anything has been read from it."""
        assert self.transport is not None
        self.closing = True
        self.listener.evictable.remove(self)
        self.write(response)
        self.close_after = True
        self._finish_answer()

    def _expire(self) -> None:
        self.record_silence()
        if self.request is not None:
            self.request.owner.upload_failed(self.request, 408)
            return
        self._reject(408, "the request did not come to its end")
        self._serve_waiting()

    def is_busy(self) -> bool:
        """Return whether the connection still has an answer to give or to write."""
        return self.phase != LINGER or bool(self.blocked_since)

    def has_waiting_requests(self) -> bool:
        """Return whether a complete request waits behind the one being served."""
        return bool(self.waiting)

    def has_unparsed_input(self) -> bool:
        """Return whether input waits to be parsed."""
        return bool(self.unparsed)
