"""HTTP/1.1 on a client's connection: requests in, one answer each (RFC 9112).

What a request's head means is its dialect's matter (frontends/dialect.py); accepting and evicting connections
is the listener's.
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

from loadbalancer.admission.rulings import RETURN_S
from loadbalancer.frontends.connection import REQUEST_S, FrontConnection, Phase
from loadbalancer.frontends.dialect import RejectError, Reply, RoutedRequest
from loadbalancer.frontends.http1_answers import encode_answer, encode_stream_head, retry_after
from loadbalancer.frontends.listener import Listener
from loadbalancer.proxy.final_answers import frontend_proxy_status
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.streaming.streams import STALL_S, Stream
from loadbalancer.streaming.tunnels import Tunnel
from loadbalancer.streaming.uploads import Upload

#: Largest head of a request; guards against endless headers.
HEAD_MOST = 16 << 10
#: Requests that may wait on one connection behind the one being served; guards against pipelining floods.
PIPELINE_MOST = 16
#: A body may take longer than a request has, as long as it moves: bytes a second, and seconds without any. Clients send
#: at 64 kB a second and more. Guards against those that say more than they send, or send a byte now and then.
BODY_RATE = 24_000
BODY_STALL_S = 1.0
#: An answer that the client does not take for this long is given up.
READ_STALL_S = 5.0
#: What the kernel may hold of such an answer, in bytes; it doubles the figure.
STREAM_BUFFER = 128 << 10
#: After the last answer a connection is ended in one direction and read for this long, so that what is
#: still coming does not reset it before the client has read the answer.
LINGER_S = 1.0
#: What is read and thrown away on such a connection at most; guards against being kept busy by the rest of an
#: upload that has been turned away.
LINGER_MOST = 128 << 10

IDLE, HEAD, BODY, WHOLE, LINGER, TUNNEL = Phase


class ClientConnection(FrontConnection):
    """One connection of a client; one request at a time is served on it."""

    def __init__(self, listener: Listener, sock: socket.socket, overflow: bool, peer: str) -> None:
        self.listener, self.sock, self.overflow, self.peer = listener, sock, overflow, peer
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.request: OpenRequest | None = None  # being served
        self.waiting: deque[Union[RoutedRequest, Reply]] = deque()
        self.since = time.monotonic()  # of the phase
        self.phase: Phase = IDLE
        self.heard = self.since  # when more of a body last came
        self.closing = False  # no further request is read
        self.bodiless = False  # the request being served asks for a head alone
        self.old = False  # it came in HTTP/1.0
        self.close_after = False  # the request being served is the last
        self.paused = False  # reading
        self.upload: Upload | None = None  # the body that is sent on as it comes
        self.reading_upload = False  # the parser is in it
        self.parts: list[bytes] = []  # of it, found by the parser and not given yet
        self.held = False  # the member takes no more of it for now
        self.held_at = 0.0  # monotonic, since when
        self.discarded = 0  # bytes read after the last answer
        self.stream: Stream | None = None  # the answer that goes out
        self.chunked = False  # it does so in chunks
        self.tunnel: Tunnel | None = None  # once both sides have gone over to another protocol
        self.early = b""  # bytes behind a request for that, before it was answered
        self._begin()

    def _begin(self) -> None:
        self.head = self.listener.reader.new_head(self.peer)
        self.head.secure, self.head.names = self.secure, self.names
        self.body: bytearray | None = None
        self.uploaded = 0  # bytes of it that have come
        self.length: int | None = None  # that is stated for it
        self.long = False  # it is longer than what is held

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.joined(transport)
        if self.secure:
            self._begin()

    # What the parser finds.

    def on_message_begin(self) -> None:
        self._begin()
        if self.phase == IDLE:
            self.wake()
            if self.asked:
                self.since = time.monotonic()
        self.phase = HEAD

    def on_url(self, url: bytes) -> None:
        self.head.url += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count(len(name) + len(value))
        if self.phase != HEAD:  # trailers
            return
        self.head.add(name, value)

    def _count(self, more: int) -> None:
        self.head.size += more
        if self.head.size > HEAD_MOST:
            raise RejectError(431, "head too large")

    def on_headers_complete(self) -> None:
        head = self.head
        assert self.parser is not None
        head.method = self.parser.get_method()
        head.old = self.parser.get_http_version() != "1.1"
        destination = head.destination = head.reader.place(head)
        self.length = int(head.noted[b"content-length"]) if b"content-length" in head.noted else None
        if (self.length or 0) > max(destination.body_most, destination.upload_most):
            raise RejectError(413, "body too large")
        self.long = (self.length or 0) > destination.body_most
        self.phase = BODY
        waits = head.noted.get(b"expect", b"").lower() == b"100-continue"
        if waits and self.request is None and not self.waiting:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self.uploaded += len(data)
        destination = self.head.destination
        assert destination is not None
        if self.uploaded > max(destination.body_most, destination.upload_most):
            raise RejectError(413, "body too large")
        if self.reading_upload:
            self.parts.append(data)
            return
        if self.body is None:
            self.body = bytearray()
        self.long = self.long or self.uploaded > destination.body_most
        if not destination.budget.try_acquire_upload(len(data)):
            raise RejectError(503, "too much is being uploaded")
        self.body += data

    def on_message_complete(self) -> None:
        if self.reading_upload:
            self.reading_upload = False
            self.phase = WHOLE
            self.note_request()
            return
        if len(self.waiting) >= PIPELINE_MOST:
            raise RejectError(503, "too many requests at once")
        assert self.parser is not None
        head = self.head
        head.close = head.old or not self.parser.should_keep_alive()
        item = head.reader.read(head, self.body, self)
        if isinstance(item, RoutedRequest):
            self.body = None  # it is the request's now
        else:
            self._release_body()
        self.waiting.append(item)
        self.phase = WHOLE
        self.note_request()

    # Receiving.

    def data_received(self, data: bytes) -> None:
        data = self.unwrap(data)
        if not data or self._takes_otherwise(data):
            return
        assert self.parser is not None
        if self.phase == BODY:
            self.heard = time.monotonic()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as problem:
            self._upgrade(data, problem)
        except httptools.HttpParserError as problem:
            self._unreadable(problem)
        else:
            if self.phase == HEAD:  # a name or value that does not end stays in the parser
                self.head.size += len(data)
                if self.head.size > 2 * HEAD_MOST:
                    self._reject(431, "head too large")
            self._pass_body()
        self._next()

    def _takes_otherwise(self, data: bytes) -> bool:
        """Whether what has come is not of a request: behind the last answer, of another protocol, or ahead of that."""
        if self.tunnel is not None:
            self.tunnel.from_client(data)
        elif self.closing:
            self.discarded += len(data)
            if self.discarded > LINGER_MOST:
                self._read_on(False)
        elif self.request is not None and self.request.upgrade:
            self._keep_early(data)
        else:
            return False
        return True

    def _pass_body(self) -> None:
        """Outside the parser's callbacks: what a member does with it may end the request."""
        if self.upload is not None:
            self._go_on_with(self.upload)
        elif self.long and self.phase == BODY and self.body is not None and not self.closing:
            self._begin_upload()

    # A body that is too long to be held.

    def _begin_upload(self) -> None:
        """Its request is taken now, with what has come."""
        head, destination, body = self.head, self.head.destination, self.body
        assert destination is not None and body is not None and self.parser is not None
        if self.request is not None or self.waiting:  # another one is open on this connection
            self._reject(413, "body too large behind another request")
            return
        head.close = head.old or not self.parser.should_keep_alive()
        upload = Upload(self, self.length, body, destination.budget, self._upload_lost)
        head.upload, self.upload, self.body = upload, upload, None
        self.reading_upload = True
        try:
            item = head.reader.read(head, None, self)
        except RejectError as problem:
            item = None
            self._reject(problem.status, problem.why)
        if not isinstance(item, RoutedRequest) or not item.proxy.may_upload():
            upload.close()
            self.upload = None
            if item is not None:
                self._reject(503, "too many long bodies at once")
            return
        item.request.upload = upload
        self.waiting.append(item)

    def _go_on_with(self, upload: Upload) -> None:
        parts, self.parts = self.parts, []
        if parts:
            upload.receive(b"".join(parts))
        if self.upload is upload and not self.reading_upload:  # neither answered meanwhile nor still coming
            self.upload = None
            upload.end()
            if self.request is not None:
                self.request.owner.uploaded(self.request)

    def _upload_lost(self) -> None:
        if self.request is not None:
            self.request.owner.upload_lost(self.request)

    def set_reading_paused(self, on: bool) -> None:
        """The member takes no more of the body now, or takes more again."""
        if self.tunnel is not None:
            self._read_on(not on)
            return
        self.held, self.held_at = on, time.monotonic()
        if not self.closing:
            self._read_on(not on and not self.waiting)

    def _unreadable(self, problem: httptools.HttpParserError) -> None:
        cause = problem.__context__
        if isinstance(cause, RejectError):
            self._reject(cause.status, cause.why)
        elif isinstance(problem, httptools.HttpParserCallbackError) and cause is not None:
            raise cause from None  # a defect of ours
        else:
            self._reject(400, "not HTTP/1.1")

    def _upgrade(self, data: bytes, problem: httptools.HttpParserUpgrade) -> None:
        """The request asked for another protocol, and what follows might be in it."""
        if not self.head.reader.ignores_upgrade or self.head.method == b"CONNECT":
            self._reject(400, "not HTTP/1.1")
            return
        self.parser = httptools.HttpRequestParser(self)
        rest = data[problem.args[0] :] if problem.args else b""
        if not rest:
            return
        if self.waiting and isinstance(self.waiting[-1], RoutedRequest) and self.waiting[-1].request.upgrade:
            self._keep_early(rest)
        else:
            self.data_received(rest)

    def _keep_early(self, data: bytes) -> None:
        """Bytes of the other protocol, ahead of its answer. They are for the member that goes over to it, or for
        nobody: read as a request they could be what somebody else has put there (RFC 9110, 7.8)."""
        self.early += data
        if len(self.early) > HEAD_MOST:
            self._read_on(False)

    # Another protocol.

    def begin_tunnel(self, lines: list[bytes], reason: bytes, tunnel: Tunnel) -> None:
        assert self.transport is not None
        self.tunnel, self.request, self.phase = tunnel, None, TUNNEL
        self.request_over(True)
        self.transport.write(
            b"HTTP/1.1 101 %b\r\n%b\r\n" % (reason or b"Switching Protocols", b"".join(lines))
        )
        early, self.early = self.early, b""
        if early:
            tunnel.from_client(early)
        self._read_on(True)

    def send(self, data: bytes) -> None:
        if not self._gone():
            assert self.transport is not None
            self.transport.write(data)

    def shut(self) -> None:
        if not self._gone():
            assert self.transport is not None
            self.transport.close()
            asyncio.get_running_loop().call_later(READ_STALL_S, self.abort)

    def finish(self) -> None:
        if not self._gone():
            assert self.transport is not None
            self.end_writing()

    def _reject(self, status: int, why: str) -> None:
        """Answered in its turn; nothing after it can be read."""
        self.closing = True
        if status in (400, 431, 501):
            self.note_garbage()
        self.listener.evictable.remove(self)
        self._release_body()
        self.waiting.append(Reply(status, why, True))

    def _next(self) -> None:
        """Serve what waits, in order, until one takes its time."""
        while self.request is None and self.waiting and not self._gone():
            item = self.waiting.popleft()
            self.close_after = item.close
            if isinstance(item, Reply):
                self._write(item.status, self._own(item.status), item.why.encode() + b"\n", served=False)
                self._after()
            elif self.overflow:
                self._turn_away(item, 503, b"too many connections\n")
            elif item.proxy.is_known(item.request):
                self._turn_away(item, 409, b"this X-Txn has been used\n")
            elif item.proxy.is_shut_out():
                lines = retry_after(item.proxy.retry_after_s)
                self._turn_away(item, 503, b"this proxy is not of its fleet now\n", False, lines)
            elif not item.proxy.has_room():
                self._turn_away(item, 503, b"this pool has all it can hold\n", False)
            elif not self.may_ask():
                lines = retry_after(RETURN_S)
                self._turn_away(item, 503, b"too many requests at once from this address\n", False, lines)
            else:
                self.request = item.request
                self.bodiless, self.old = item.request.bodiless, item.old
                item.begin()
        if not self.closing:
            self._read_on(not self.waiting and not self.held)

    def _own(self, status: int) -> list[bytes]:
        """What names an answer as ours."""
        return frontend_proxy_status(status) if self.listener.reader.names_itself else []

    def _turn_away(
        self, item: RoutedRequest, status: int, why: bytes, close: bool = True, lines: Sequence[bytes] = ()
    ) -> None:
        """Answered before it was taken: it has not run."""
        item.proxy.count_rejected(item.request, item.cls, status)
        self.close_after = self.close_after or close or self.upload is not None
        if self.upload is not None:
            self.upload.close()
            self.upload = None
        self.bodiless = item.request.bodiless
        self._write(status, [*lines, *self._own(status)], why)
        self._after()

    def _read_on(self, on: bool) -> None:
        """Guards against pipelining floods: nothing is read while a whole request waits."""
        if on == self.paused and not self._gone():
            assert self.transport is not None
            self.paused = not on
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def _gone(self) -> bool:
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
        """`length`: the one that the answer to HEAD, or a 304, states without a body."""
        # The rest of an upload is not waited for, and what came ahead of another protocol is nobody's.
        self.close_after = self.close_after or close or self.upload is not None or bool(self.early)
        self.upload = None
        self.parts.clear()
        self._write(status, lines, body, length, reason)
        self.request = None
        self.request_over(status < 500 and not self.blocked)
        self._after()

    def begin_answer(
        self, status: int, lines: list[bytes], length: int | None, reason: bytes, stream: Stream
    ) -> None:
        """An answer of unknown length goes in chunks; to a client of HTTP/1.0 until the connection ends."""
        assert self.transport is not None
        self.stream = stream
        self.chunked = length is None and not self.old
        self.close_after = self.close_after or (length is None and self.old) or self._is_last(True)
        # The kernel would take megabytes for a client that reads slowly, and hide for long whether it reads at all.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, STREAM_BUFFER)
        self.transport.write(
            encode_stream_head(
                status, lines, length, is_last=self.close_after, is_chunked=self.chunked, reason=reason
            )
        )

    def receive_data(self, data: bytes) -> None:
        assert self.transport is not None
        if self._gone():
            return
        if self.chunked:
            self.transport.writelines((b"%x\r\n" % len(data), data, b"\r\n"))
        else:
            self.transport.write(data)

    def receive_end(self) -> None:
        assert self.transport is not None
        if self.chunked and not self._gone():
            self.transport.write(b"0\r\n\r\n")
        self._stream_over(True)
        self._after()

    def abort_body(self) -> None:
        """Reset: whatever the framing, the client sees that this was not all."""
        self._stream_over(False)
        with suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.closing = True
        self.abort()

    def _stream_over(self, good: bool) -> None:
        self.stream = self.request = None
        self.request_over(good and not self.blocked)

    def _write(
        self,
        status: int,
        lines: list[bytes],
        body: bytes,
        length: int | None = None,
        reason: bytes = b"",
        served: bool = True,
    ) -> None:
        assert self.transport is not None
        self.close_after = self.close_after or self._is_last(served)
        self.transport.write(
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
        """Whether this answer ends the connection. Never one behind which another request waits or is being read: those
        are ours already, at the end of the process too."""
        if self.phase != WHOLE or self.waiting:
            return False
        if self.listener.draining:
            return not self._peek()
        return self.is_once() or not self.listener.pressure.keeps(self.asked, served)

    def _after(self) -> None:
        """The answer is written: close, or wait for the next request."""
        assert self.transport is not None
        self.since = time.monotonic()
        if self.close_after:
            self.closing = True
            self.phase = LINGER
            self.listener.evictable.lingering[self] = None
            while self.waiting:
                self._drop(self.waiting.popleft())
            self._release_body()
            self._read_on(True)
            if not self._gone():
                self.end_writing()
        elif self.waiting:
            asyncio.get_running_loop().call_soon(self._next)
        elif self.phase == WHOLE:
            self.phase = IDLE
            self.rest()

    def _drop(self, item: RoutedRequest | Reply) -> None:
        if isinstance(item, RoutedRequest):
            item.proxy.drop(item.request)

    def _release_body(self) -> None:
        if self.body is not None and self.head.destination is not None:
            self.head.destination.budget.release(len(self.body))
        self.body = None

    # Flow control, and the end.

    def pause_writing(self) -> None:
        if self.tunnel is not None:
            self.tunnel.set_full(False, True)
            return
        destination = self.head.destination
        self.charge(destination.budget if destination is not None else None)
        if self.stream is not None:
            self.stream.set_full(True)

    def resume_writing(self) -> None:
        if self.tunnel is not None:
            self.tunnel.set_full(False, False)
            return
        self.uncharge()
        if self.stream is not None:
            self.stream.set_full(False)

    def eof_received(self) -> bool | None:
        """The client has gone away; the transport closes. Of a tunnel, one direction does."""
        if self.tunnel is not None:
            self.tunnel.finish(False)
            return True
        self.withdraw_all()
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        if self.tunnel is not None:
            self.tunnel.lost()
        self.withdraw_all()
        self.uncharge()
        self.listener.left(self)
        self.parser = None  # they hold one another, and would stay until the collector comes by

    def withdraw_all(self) -> None:
        self.closing = True
        request, self.request = self.request, None
        self.stream = self.upload = None
        if request is not None:
            request.owner.cancel_by_client(request)
        while self.waiting:
            self._drop(self.waiting.popleft())
        self._release_body()

    def sweep(self, now: float) -> None:
        """Limits in time. Those of a tunnel are its own (tunnels.py)."""
        if self.phase != TUNNEL:
            self._sweep_request(now, now - self.since)

    def _sweep_request(self, now: float, waited: float) -> None:
        if self.blocked and self.takes():
            self.blocked = now
        if self.blocked and now - self.blocked > READ_STALL_S:
            self.note_garbage()
            self.abort()
        elif self.phase == LINGER:
            if waited > LINGER_S and not self.blocked:
                self.abort()
        elif self.upload is not None:
            self._sweep_upload(now)
        elif self.phase in (HEAD, BODY) and self.request is None:
            if waited > REQUEST_S and not self._moves(now, waited):
                self._expire()
        elif self.phase == IDLE:
            self.note_quiet(now)
            if waited > self.idle_most() and self.retire() and not self.asked:
                self.note_silence()

    def _sweep_upload(self, now: float) -> None:
        """Guards members against clients that stop half way, and clients against members that take nothing.

        The time in which a member takes nothing is not the client's."""
        if self.held and self.request is not None:
            self.since += now - max(self.heard, self.held_at)
            self.heard = now
            if now - self.held_at > STALL_S:
                self.request.owner.upload_failed(self.request, 503)  # no member has it whole: it has not run
        elif now - self.since > REQUEST_S and not self._moves(now, now - self.since):
            self._expire()

    def _moves(self, now: float, waited: float) -> bool:
        """Whether a body is still coming, and fast enough that it will end."""
        if self.phase != BODY or now - self.heard > BODY_STALL_S:
            return False
        return self.uploaded >= BODY_RATE * (waited - REQUEST_S)

    def refuse(self, words: bytes) -> None:
        assert self.transport is not None
        self.closing = True
        self.listener.evictable.remove(self)
        self.transport.write(words)
        self.close_after = True
        self._after()

    def _expire(self) -> None:
        self.note_silence()
        if self.request is not None:
            self.request.owner.upload_failed(self.request, 408)
            return
        self._reject(408, "the request did not come to its end")
        self._next()

    def is_busy(self) -> bool:
        """Whether anything is still owed on it."""
        return self.phase != LINGER or bool(self.blocked)

    def owes(self) -> bool:
        return bool(self.waiting)
