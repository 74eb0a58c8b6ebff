"""HTTP/1.1 on client connections: serves the requests that http1_input.py reads, with one answer to each (RFC 9112).

The dialect interprets request heads (frontends/dialect.py); the listener accepts and evicts connections.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import NamedTuple, Sequence, Union

from loadbalancer.admission.rulings import RETRY_AFTER_S
from loadbalancer.frontends.connection import REQUEST_S, Phase
from loadbalancer.frontends.dialect import RejectError, Reply, RoutedRequest
from loadbalancer.frontends.http1_answers import encode_answer, encode_stream_head, retry_after
from loadbalancer.frontends.http1_input import Http1Input
from loadbalancer.frontends.last_byte_estimate import LastByteEstimate
from loadbalancer.frontends.listener import Listener
from loadbalancer.kernel_buffers import peek_unread
from loadbalancer.proxy.final_answers import frontend_proxy_status
from loadbalancer.streaming.streams import STALL_S, Stream
from loadbalancer.streaming.tunnels import Tunnel
from loadbalancer.streaming.uploads import Upload

#: A body may take longer than REQUEST_S while it keeps arriving: its least rate in bytes a second, and the longest
#: pause in seconds. Clients send at 64 kB a second and more. Guards against clients that send less than they announce,
#: or a byte now and then.
BODY_RATE = 24_000
BODY_STALL_S = 1.0
#: An answer is abandoned once the client has not read any of it for this long.
READ_STALL_S = 5.0
#: After the last answer the sending direction is closed, and the connection is read until nothing has come for this
#: long, so that data still arriving does not reset it before the client has read the answer.
LINGER_S = 1.0
#: Longest time for which it is read, whatever comes.
MAX_LINGER_S = 10.0

#: Bytes of a body that a client has usually written when the rest of it stands unread.
CLIENT_SEND_BUFFER_BYTES = 1 << 20
#: Seconds without progress after which the member of a streamed body in chunks counts as one that hangs.
MEMBER_HANG_S = 1.0
#: The end of a body in chunks without trailers, behind its last part.
LAST_CHUNK = b"\r\n0\r\n\r\n"

IDLE, HEAD, BODY, WHOLE, LINGER, TUNNEL = Phase


class Refusal(NamedTuple):
    """The answer to a request that does not reach its pool."""

    status: int
    message: bytes
    close: bool = True
    """Whether the connection ends with it."""
    lines: Sequence[bytes] = ()
    """Header lines."""


class ClientConnection(Http1Input):
    """One HTTP/1.1 client connection, on which one request at a time is served."""

    def __init__(self, listener: Listener, sock: socket.socket, overflow: bool, peer: str) -> None:
        super().__init__(listener, sock, overflow, peer)
        self.bodiless = False  # the answer to the request being served has no body (HEAD)
        self.is_http10 = False  # the request being served came in HTTP/1.0
        self.close_after = False  # the connection is closed after the answer to the request being served
        self.upload_paused_at = 0.0  # monotonic time at which `upload_paused` last changed
        self.last_byte: LastByteEstimate | None = None  # of a streamed body
        self.stream: Stream | None = None  # the answer that is being streamed
        self.chunked = False  # the streamed answer uses chunked encoding

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to its listener."""
        self.register(transport)
        if self.secure:
            self._begin_request()

    def _forward_body(self) -> None:
        """Pass on the parsed part of the body; not in a parser callback, as the member may end the request."""
        if self.upload is not None:
            self._continue_upload(self.upload)
        elif self.is_too_long_to_buffer and self.phase == BODY and self.body is not None and not self.closing:
            self._begin_upload()

    def _read_request(self) -> Union[RoutedRequest, Reply]:
        """Interpret the request whose body is complete."""
        return self.head.reader.read(self.head, self.body, self)

    # Streaming of bodies that are too long to be buffered.

    def _begin_upload(self) -> None:
        """Begin to stream the body, and submit its request now with the part that has arrived."""
        head, destination, body = self.head, self.head.destination, self.body
        assert destination is not None and body is not None
        if self.request is not None or self.waiting:  # another request is open on this connection
            self._reject(413, "body too large behind another request")
            return
        upload = Upload(self, self.length, body, destination.budget, self._upload_lost)
        self.last_byte = LastByteEstimate(self.length, time.monotonic())
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
        if not self.reading_upload and self.has_left():  # its last byte would begin the work for nobody
            return
        if self.last_byte is not None:
            self.last_byte.record(self.body_received, time.monotonic(), self.upload_paused_at)
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

    # Tunnels after a protocol switch.

    def begin_tunnel(self, lines: list[bytes], reason: bytes, tunnel: Tunnel) -> None:
        """Write the 101, and pass all further bytes through the tunnel."""
        assert self.transport is not None
        self.tunnel, self.request, self.phase = tunnel, None, TUNNEL
        self.end_request(True)
        self.write(b"HTTP/1.1 101 %b\r\n%b\r\n" % (reason or b"Switching Protocols", b"".join(lines)))
        early_bytes, self.early_bytes, self.unparsed = self.early_bytes + self.unparsed, b"", b""
        self._set_reading(True)  # before the bytes that may fill the endpoint, and so pause it again
        if early_bytes:
            tunnel.from_client(early_bytes)
        if self.charged_input:
            self._release_input()

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
            elif (refusal := self._find_refusal(item)) is not None:
                self._refuse_request(item, refusal)
            else:
                self.request = item.request
                self.bodiless, self.is_http10 = item.request.bodiless, item.is_http10
                item.submit()
        if not self.closing:
            self._set_reading(not self.waiting and not self.upload_paused)

    def _find_refusal(self, item: RoutedRequest) -> Refusal | None:
        """Return how a request is refused that may not be submitted to its pool now; None if it may."""
        proxy = item.proxy
        if self.overflow:
            return Refusal(503, b"too many connections\n")
        if proxy.is_known(item.request, item.cls):
            return Refusal(409, b"this X-Txn has been used\n")
        if proxy.lacks_lease():
            lines = retry_after(proxy.retry_after_s)
            return Refusal(503, b"this proxy is not of its fleet now\n", False, lines)
        if not proxy.can_remember(item.request, item.cls):
            lines = retry_after(RETRY_AFTER_S)
            return Refusal(503, b"too many requests that must not run twice\n", False, lines)
        if not proxy.has_room():
            return Refusal(503, b"this pool has all it can hold\n", False)
        if self.listener.account.is_overdrawn:
            self.listener.logger("refused for memory", f"a request of {self.peer}")
            return Refusal(503, b"too much memory is in use\n", False, retry_after(RETRY_AFTER_S))
        if not self.try_begin_request():
            lines = retry_after(RETRY_AFTER_S)
            return Refusal(503, b"too many requests at once from this address\n", False, lines)
        return None

    def _proxy_status(self, status: int) -> list[bytes]:
        """Return the Proxy-Status header that marks an answer as made by the proxy, if the dialect adds it."""
        return frontend_proxy_status(status) if self.listener.reader.adds_proxy_status else []

    def _refuse_request(self, item: RoutedRequest, refusal: Refusal) -> None:
        """Answer a request before it reaches its pool; it has not run."""
        item.proxy.count_rejected(item.request, item.cls, refusal.status)
        self.close_after = self.close_after or refusal.close or self.upload is not None
        if self.upload is not None:
            self.upload.close()
            self.upload = None
        self.bodiless = item.request.bodiless
        lines = [*refusal.lines, *self._proxy_status(refusal.status)]
        self._write(refusal.status, lines, refusal.message)
        self._finish_answer()

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
        self.closing = True
        self.reset()

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

    def _drop_waiting(self, item: RoutedRequest | Reply) -> None:
        if isinstance(item, RoutedRequest):
            item.proxy.drop(item.request)

    # Flow control, close and timeouts.

    def pause_writing(self) -> None:
        """Pause the source of what is written: a tunnel or a streamed answer."""
        self.begin_blocked()
        if self.tunnel is not None:
            self.tunnel.set_full(False, True)
        elif self.stream is not None:
            self.stream.set_full(True)

    def is_full(self) -> bool:
        """Return whether bytes wait here that the client has made no room for."""
        return bool(self.blocked_since)

    def resume_writing(self) -> None:
        """Resume the source of what is written."""
        self.end_blocked()
        if self.tunnel is not None:
            self.tunnel.set_full(False, False)
        elif self.stream is not None:
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
        if self.blocked_since and self.has_write_progress():
            self.blocked_since = now
        if self.phase != TUNNEL:
            self._sweep_request(now, now - self.since)

    def _sweep_request(self, now: float, waited: float) -> None:
        if self.blocked_since and now - self.blocked_since > READ_STALL_S:
            self.listener.logger("closed", f"{self.peer} read nothing for {READ_STALL_S} s")
            self.record_malformed()
            self.reset()
        elif self.phase == LINGER:
            self._sweep_lingering(now, waited)
        elif self.upload is not None:
            self._sweep_upload(now)
        elif self.phase in (HEAD, BODY) and self.request is None:
            if waited > REQUEST_S and not self._is_body_arriving(now, waited):
                self._expire()
        elif self.phase == IDLE:
            self.record_unused(now)
            if waited > self.idle_timeout_s() and self.close_if_idle() and not self.request_count:
                self.record_silence()

    def _sweep_lingering(self, now: float, waited: float) -> None:
        """End a connection after its last answer, once its client sends nothing more and has read all."""
        is_sending = now - self.discarded_at <= LINGER_S or self.awaits_turn_to_discard()
        if waited <= LINGER_S or self.blocked_since or (is_sending and waited <= MAX_LINGER_S):
            return
        if is_sending:
            self.listener.logger("closed", f"{self.peer} went on sending after its answer")
        self.abort()

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
            if now - self.upload_paused_at > STALL_S or self._is_time_over_unread(now):
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

    def _is_time_over_unread(self, now: float) -> bool:
        """Return whether the request's time may be over although the end of its body has not been read.

        How much of a body in chunks is missing is not known, so that is judged only while the member hangs.
        """
        if self.last_byte is None or self.request is None or self.request.is_complete:
            return False
        remaining_s = self.request.time_remaining
        is_hung = now - self.upload_paused_at > min(MEMBER_HANG_S, remaining_s)
        return (is_hung or self.length is not None) and now - self.last_byte.earliest > remaining_s

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
        self.listener.logger("closed", f"a request of {self.peer} did not come to its end")
        self._reject(408, "the request did not come to its end")
        self._serve_waiting()

    def is_busy(self) -> bool:
        """Return whether the connection still has an answer to give or to write."""
        return self.phase != LINGER or bool(self.blocked_since)
