"""The base class of connections to members for all protocols: socket writes, failures and the release of resources."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from typing import cast

from loadbalancer.kernel_buffers import reset_on_close, unacknowledged_bytes
from loadbalancer.policy.events import AttemptResult
from loadbalancer.upstreams.connections import Attempt, Upstream, UpstreamEndpoint, UpstreamPools
from loadbalancer.upstreams.partial_answers import PartialAnswer

#: Parts in which a long body is written: so much of it is copied at a time.
BODY_PART_BYTES = 64 << 10


class SocketUpstream(Upstream):
    """A socket connection that carries one attempt at a time; subclasses implement the protocol."""

    def __init__(self, backend: UpstreamEndpoint, pool: UpstreamPools, sock: socket.socket) -> None:
        self.endpoint, self.pool, self.sock = backend, pool, sock
        self.identity = backend.identity
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        # Last report of the transport: its write buffer holds data. Decides once the transport is closing.
        self.is_write_paused = False
        self._unwritten_body: memoryview | None = None  # the part of a long body that was not written yet
        self.has_failed_write = False  # some bytes were neither sent nor buffered
        self._charged_output_bytes = 0  # of the write buffer, charged to the memory account
        self.closed = False
        self.is_handed_over = False
        self.idle_since = 0.0
        self.received_at = 0.0  # monotonic, when bytes were last received
        self.partial_answer: PartialAnswer | None = None  # set once an answer without a length is incomplete
        pool.open += 1
        backend.open += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and let it report whether its write buffer holds data."""
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        # With these limits pause_writing reports that the write buffer holds data, and resume_writing that it is
        # empty. Over TLS a high limit of 0 would count as exceeded from the start and writing would never be resumed.
        transport.set_write_buffer_limits(high=1 if self.secure else 0, low=0)

    def is_alive(self) -> bool:
        """Return whether the socket is still open; detects a close by the peer that has not been read yet."""
        try:
            if self.sock.recv(1, socket.MSG_PEEK) and not self.secure:  # over TLS it may be an alert
                self.endpoint.record_surplus()
        except BlockingIOError:
            return not self.closed
        except OSError:
            return False
        return False  # end of input, or unsolicited bytes

    def assign(self, attempt: Attempt) -> None:
        """Assign an attempt to this connection."""
        self.attempt = attempt
        attempt.written_at = time.monotonic()
        attempt.connection = self

    def write(self, data: bytes) -> None:
        """Write after the bytes that are still buffered, or else directly to the socket.

        That way it is known which bytes the kernel has accepted. What it does not accept goes to the transport's
        buffer, which may be empty again when this returns.
        """
        assert self.transport is not None
        if self.secure or self.transport.get_write_buffer_size():
            self.transport.write(data)
            self._charge_output()
            return
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.has_failed_write = True
            self.fail(AttemptResult.NO_CONNECTION)
            return
        if sent < len(data):
            self.transport.write(data[sent:])
            self.has_failed_write = self.transport.is_closing()  # it has discarded them
            self._charge_output()

    def _charge_output(self) -> None:
        """Charge what the write buffer holds to the memory account; over TLS that is what the TLS layer was given."""
        transport = self.transport
        is_open = transport is not None and not transport.is_closing() and not self.closed
        held_bytes = transport.get_write_buffer_size() if transport is not None and is_open else 0
        if held_bytes != self._charged_output_bytes:
            added, self._charged_output_bytes = held_bytes - self._charged_output_bytes, held_bytes
            self.pool.budget.account.charge(added)

    def write_body(self, body: bytearray) -> None:
        """Write a body part by part, as the peer makes room for it, so that it is never copied as a whole."""
        self._unwritten_body = memoryview(body)
        self._write_next_parts()

    def _write_next_parts(self) -> None:
        assert self.transport is not None
        while self._unwritten_body is not None and not self.transport.get_write_buffer_size():
            part, rest = self._unwritten_body[:BODY_PART_BYTES], self._unwritten_body[BODY_PART_BYTES:]
            self._unwritten_body = rest if rest else None
            self.write(bytes(part))

    def has_unsent_bytes(self) -> bool:
        """Return whether the last byte written to this connection has provably not been passed to the kernel.

        The buffer is asked rather than the callbacks, which report nothing about a buffer that is filled and emptied
        within one call. A closing transport has discarded its buffer: there the last report before it decides. Over
        TLS, bytes that the TLS layer has passed on count as sent.
        """
        if self.has_failed_write or self._unwritten_body is not None:
            return True
        if self.transport is None or self.transport.is_closing():
            return self.is_write_paused
        return self.transport.get_write_buffer_size() > 0

    def set_reading_paused(self, on: bool) -> None:
        """Pause or resume reading: the client's buffer is full, or has room again."""
        if self.transport is not None and not self.transport.is_closing():
            (self.transport.pause_reading if on else self.transport.resume_reading)()

    def record_received(self) -> None:
        """Record the time at which bytes were received from the backend."""
        self.received_at = self.endpoint.last_heard_at = time.monotonic()

    def begin_partial_answer(self, long_from: int) -> PartialAnswer:
        """Return the progress of the current answer, which has no stated length; see `PartialAnswer`."""
        if self.partial_answer is None:
            self.partial_answer = PartialAnswer(self, long_from)
        return self.partial_answer

    def end_partial_answer(self) -> None:
        """Forget the progress of the answer, if there is one: it is complete, or its attempt has ended."""
        if self.partial_answer is not None:
            self.partial_answer.cancel()
            self.partial_answer = None

    def give_up_partial_answer(self, reason: str) -> None:
        """Fail the attempt, whose answer was passed on before its end and has stopped."""
        assert self.attempt is not None
        self.pool.logger("answer given up", f"{reason}, from {self.attempt.endpoint}")
        self.fail(AttemptResult.RESET)

    def is_unsent(self) -> bool:
        """Return whether enough of the request is still unsent that it cannot have run."""
        return self.has_unsent_bytes()

    def has_arrived(self) -> bool:
        """Return whether the endpoint's machine has acknowledged the last byte of the request."""
        if self.closed:
            return True  # nothing more of it arrives
        return not self.has_unsent_bytes() and not unacknowledged_bytes(self.sock)

    def failure_result(self) -> AttemptResult:
        """Return the result of the attempt on this connection if the connection ends now."""
        return AttemptResult.NO_CONNECTION if self.is_unsent() else AttemptResult.RESET

    def pause_writing(self) -> None:
        """Record that the write buffer holds data; called by the transport."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Record that the write buffer is empty, and go on with a body; called by the transport."""
        self.is_write_paused = False
        self._charge_output()
        self._write_next_parts()

    def is_full(self) -> bool:
        """Return whether the write buffer holds data that the endpoint has made no room for."""
        return self.is_write_paused

    # Ending.

    def fail(self, result: AttemptResult) -> None:
        """Close the connection and finish its attempt with `result`."""
        attempt = self.attempt
        self.drop()
        if attempt is not None:
            self.pool.owner.finish_attempt(attempt, result)

    def eof_received(self) -> None:
        """Finish the attempt: the endpoint has closed its side."""
        self.fail(self.failure_result())

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Finish the attempt and release the connection."""
        if self.attempt is not None:
            self.fail(self.failure_result())
        self.drop()

    def release(self) -> None:
        """Release the buffers and references that the subclass holds."""
        raise NotImplementedError

    def drop(self) -> None:
        """Close at once, without reporting a result for the attempt."""
        if self.attempt is not None:
            self.attempt.detach()
            self.attempt = None
        if not self.closed:
            self.closed = True
            self.end_partial_answer()
            self._unwritten_body = None
            self._charge_output()
            self.release()
            self.pool.forget(self)
            if self.transport is not None:
                self._discard_unsent_bytes(self.transport)
                self.transport.abort()
            else:
                self.close_socket()

    def _discard_unsent_bytes(self, transport: asyncio.Transport) -> None:
        """Ensure that nothing more arrives of what the peer has not acknowledged yet.

        After an orderly close the kernel would deliver its send queue whenever the peer makes room. And uvloop's abort
        closes the socket in a later iteration of the event loop, and sends what it can until then. Either would
        complete a request that was given up.
        """
        if transport.is_closing():
            return
        has_buffered = transport.get_write_buffer_size() > 0
        if not has_buffered and not unacknowledged_bytes(self.sock):
            return
        reset_on_close(self.sock)
        if has_buffered or self.secure:
            with suppress(OSError):  # the peer has reset the connection
                self.sock.shutdown(socket.SHUT_RDWR)

    def close_socket(self) -> None:
        """Close the socket of a connection that never got a transport.

        If creating the transport failed after the socket was handed over, the transport has closed the descriptor
        already. Closing its number again could close a newer connection that reuses it.
        """
        if self.is_handed_over:
            self.sock.detach()
        else:
            self.sock.close()
