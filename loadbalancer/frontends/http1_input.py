"""Reads the requests of one HTTP/1.1 client connection: parsing in shares, limits of heads and bodies, memory.

What is done with complete requests, and how they are answered, is in http1.py.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from typing import Union

import httptools

from loadbalancer.frontends.connection import FrontConnection, Phase
from loadbalancer.frontends.dialect import RejectError, Reply, RoutedRequest
from loadbalancer.frontends.linger import SHARE_BYTES
from loadbalancer.frontends.listener import Listener
from loadbalancer.http_grammar import VERSIONS, MessageError, ends_chunked, is_chunked_alone
from loadbalancer.input_turns import MAX_PARTS, SLICE_BYTES
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.request_parser import RequestParser
from loadbalancer.streaming.tunnels import Tunnel
from loadbalancer.streaming.uploads import Upload

#: Largest head of a request; guards against endless headers.
HEAD_MOST = 16 << 10
#: Header fields of a request, with its trailers, at most.
MAX_FIELDS = 256
#: Bytes of input that a connection holds without a charge to the memory account: they count in the process's base.
FREE_INPUT_BYTES = 4 << 10
#: A head of so many bytes and fields at most is free, without a look at what it costs.
SMALL_HEAD_BYTES, SMALL_HEAD_FIELDS = 1 << 10, 40
#: Requests that may wait on one connection behind the one being served; guards against pipelining floods.
PIPELINE_MOST = 16


class Http1Input(FrontConnection):
    """The receiving side of a client connection. `ClientConnection` serves what it queues in `waiting`."""

    def __init__(self, listener: Listener, sock: socket.socket, overflow: bool, peer: str) -> None:
        self.listener, self.sock, self.overflow, self.peer = listener, sock, overflow, peer
        self.transport: asyncio.Transport | None = None
        self.parser: RequestParser | None = RequestParser(self)
        self.request: OpenRequest | None = None  # being served
        self.waiting: deque[Union[RoutedRequest, Reply]] = deque()
        self.since = time.monotonic()  # time at which the phase began
        self.phase: Phase = Phase.IDLE
        self.body_received_at = self.since  # when data of a body last arrived
        self.closing = False  # no further request is read
        self.paused = False  # reading is paused
        self.upload: Upload | None = None  # the body that is being streamed
        self.reading_upload = False  # the parser is inside the streamed body
        self.upload_parts: list[bytes] = []  # of the streamed body, parsed and not passed on yet
        self.upload_paused = False  # the member applies backpressure to the streamed body
        self.unparsed = b""  # input that waits for its turn, or until the requests before it are served
        self.is_queued = False  # for a turn
        self.charged_input = 0  # bytes of heads and unparsed input that are charged to the memory account
        self.unreported_bytes = 0  # of the head, since the parser's last report
        self.part_count = 0  # parts of bodies that were parsed in this turn
        self.discarded = 0  # bytes read after the last answer
        self.discarded_share = 0  # of them, since it was its turn to read on
        self.discarded_at = self.since  # when some were last read
        self.tunnel: Tunnel | None = None  # set once both sides have switched to another protocol
        self.early_bytes = b""  # bytes after a request to switch protocols, received before its answer
        self._begin_request()

    # Implemented by the sending side.

    def _forward_body(self) -> None:
        """Pass on the parsed part of a body that is streamed, or has to be."""
        raise NotImplementedError

    def _read_request(self) -> Union[RoutedRequest, Reply]:
        """Interpret the request whose body is complete; this connection is the client that gets its answer."""
        raise NotImplementedError

    def _serve_waiting(self) -> None:
        """Serve the waiting requests in order, until one has been submitted to its pool."""
        raise NotImplementedError

    def _reject(self, status: int, message: str) -> None:
        """Queue an error answer behind the earlier requests; nothing more is read from the connection."""
        raise NotImplementedError

    def _begin_request(self) -> None:
        self.head = self.listener.reader.new_head(self.peer)
        self.head.secure, self.head.certificate_names = self.secure, self.certificate_names
        self.body: bytearray | None = None
        self.body_received = 0  # bytes
        self.length: int | None = None  # stated length of the body
        self.is_too_long_to_buffer = False  # the body must be streamed

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request; called by the parser, as the others are that begin with on_."""
        self._begin_request()
        if self.phase == Phase.IDLE:
            self.mark_active()
            if self.request_count:
                self.since = time.monotonic()
        self.phase = Phase.HEAD

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        head = self.head
        head.url += url
        head.size += len(url)
        if head.size > HEAD_MOST:
            raise RejectError(431, "head too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are ignored."""
        head = self.head
        head.field_count += 1
        head.size += len(name) + len(value)
        if head.size > HEAD_MOST or head.field_count > MAX_FIELDS:
            raise RejectError(431, "head too large")
        if self.phase is Phase.HEAD:
            head.add(name, value)

    def on_headers_complete(self) -> None:
        """Choose the destination, and check the announced length against its limits."""
        head = self.head
        assert self.parser is not None
        head.method = self.parser.get_method()
        version = self.parser.get_http_version()
        head.is_http10 = version == "1.0"
        _check_version_and_coding(version, head.inspected.get(b"transfer-encoding"))
        head.close = head.is_http10 or head.method == b"CONNECT" or not self.parser.should_keep_alive()
        head.may_switch_protocol = not head.is_http10 and self.parser.may_switch_protocol()
        destination = head.destination = head.reader.find_destination(head)
        self.length = int(head.inspected[b"content-length"]) if b"content-length" in head.inspected else None
        if (self.length or 0) > max(destination.body_most, destination.upload_most):
            raise RejectError(413, "body too large")
        self.is_too_long_to_buffer = (self.length or 0) > destination.body_most
        self.phase = Phase.BODY
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
            self.listener.logger("refused for memory", f"a body after {len(self.body)} bytes, of {self.peer}")
            raise RejectError(503, "too much is being uploaded")
        self.body += data

    def on_message_complete(self) -> None:
        """Interpret the request, and queue it behind the earlier ones."""
        if self.reading_upload:
            self.reading_upload = False
            self.phase = Phase.WHOLE
            self.record_request()
            return
        if len(self.waiting) >= PIPELINE_MOST:
            raise RejectError(503, "too many requests at once")
        head = self.head
        if head.method == b"CONNECT":
            self.closing = True  # what follows is not HTTP
        item = self._read_request()
        if isinstance(item, RoutedRequest):
            self.body = None  # now owned by the request
        else:
            self._release_body()
        self.waiting.append(item)
        self.phase = Phase.WHOLE
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
        if self.phase == Phase.BODY:
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
        if self.charged_input or self._may_need_charge():
            self._charge_input()
        if self.listener.account.is_overdrawn and self._is_incomplete():
            self._refuse_for_memory()
        self._serve_waiting()

    # Memory.

    def _may_need_charge(self) -> bool:
        """Return whether more may be held than is free; cheap, since each request pays for it."""
        head = self.head
        if head.size > SMALL_HEAD_BYTES or head.field_count > SMALL_HEAD_FIELDS:
            return True
        return bool(self.unparsed or self.early_bytes) or len(self.waiting) > 1

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
        return (
            self.phase in (Phase.HEAD, Phase.BODY)
            and self.request is None
            and not self.waiting
            and not self.closing
        )

    def _refuse_for_memory(self) -> None:
        self.listener.logger("refused for memory", f"a request that is not complete, of {self.peer}")
        self._reject(503, "too much memory is in use")

    def reclaimable_bytes(self) -> int:
        """Return how many charged bytes `evict_for_memory` would free now."""
        if self.blocked_since or self._is_incomplete():
            return self.charged_input + len(self.body or b"") + super().reclaimable_bytes()
        return 0

    def idle_for_s(self, now: float) -> float:
        """Return for how many seconds the client has neither sent nor read; a head counts from its beginning."""
        if self.phase == Phase.BODY and not self.blocked_since:
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

    # Parsing.

    def _parse(self, data: bytes) -> bytes:
        """Parse requests, up to one that may switch to another protocol: what follows may be in that protocol.

        Returns:
            The rest of the input, if it has to wait: for a turn of its own, or for the requests before it.
        """
        self.part_count, size = 0, SLICE_BYTES
        if len(data) <= size:
            data = self._feed(data)
            if data and self._awaits_switch():
                self._buffer_early_bytes(data)
                return b""
        while data and not self.closing:
            behind_request = self._feed(data[:size])
            data = behind_request + data[size:]
            if data and self._awaits_switch():
                self._buffer_early_bytes(data)
                return b""
            if data and (self.part_count > MAX_PARTS or self.waiting) and not self.closing:
                return data
            if self.phase == Phase.BODY:
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
        if self.phase == Phase.HEAD:
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
            self._discard(data)
        elif self._awaits_switch():
            self._buffer_early_bytes(data)
        else:
            return False
        return True

    def _discard(self, data: bytes) -> None:
        """Discard what the client sends after its last answer, which a reset could take from it; in shares."""
        self.discarded += len(data)
        self.discarded_share += len(data)
        self.discarded_at = time.monotonic()
        if self.awaits_turn_to_discard():
            self._set_reading(False)
            self.listener.linger_pacer.add(self)

    def awaits_turn_to_discard(self) -> bool:
        """Return whether the connection has discarded its share, and waits for its turn to read on."""
        return self.discarded_share > SHARE_BYTES

    def read_on(self) -> None:
        """Discard one more share; the listener's pacer calls this once the connection's turn has come."""
        self.discarded_share = 0
        self.discarded_at = time.monotonic()
        self._set_reading(True)

    def _handle_parser_error(self, problem: httptools.HttpParserError) -> None:
        cause = problem.__context__
        if isinstance(cause, RejectError):
            self._reject(cause.status, cause.message)
        elif isinstance(cause, MessageError):
            self._reject(400, str(cause))
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

    def _release_input(self) -> None:
        """Release the body and the head of a request that is over."""
        self._release_body()
        self._begin_request()
        self._charge_input()

    def _release_body(self) -> None:
        if self.body is not None and self.head.destination is not None:
            self.head.destination.budget.release(len(self.body))
        self.body = None

    def has_unparsed_input(self) -> bool:
        """Return whether input waits to be parsed."""
        return bool(self.unparsed)

    def has_waiting_requests(self) -> bool:
        """Return whether a complete request waits behind the one being served."""
        return bool(self.waiting)


def _check_version_and_coding(version: str, transfer_encoding: bytes | None) -> None:
    if version not in VERSIONS:
        raise RejectError(505, "HTTP/1.1 and HTTP/1.0 are served")
    if transfer_encoding is None:
        return
    if version == "1.0":
        raise RejectError(400, "Transfer-Encoding in HTTP/1.0")
    if not ends_chunked(transfer_encoding):
        raise RejectError(400, "a body whose end can't be told")
    if not is_chunked_alone(transfer_encoding):
        raise RejectError(501, "no transfer coding but chunked is understood")
