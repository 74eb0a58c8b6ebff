"""What connections to members have in common, whatever protocol they speak: the socket, and the one way it ends."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import cast

from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.upstreams.connections import Attempt, Upstream, UpstreamEndpoint, UpstreamPools


class SocketUpstream(Upstream):
    """A connection that carries one attempt at a time. The protocol's file reads and writes on it."""

    def __init__(self, backend: UpstreamEndpoint, pool: UpstreamPools, sock: socket.socket) -> None:
        self.endpoint, self.pool, self.sock = backend, pool, sock
        self.identity = backend.identity
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.unsent = False  # part of the request is still in our buffers
        self.closed = False
        self.is_handed_over = False
        self.idle_since = 0.0
        pool.open += 1
        backend.open += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        # pause_writing then says that something is left in our buffers, resume_writing that nothing is.
        # Over TLS a limit of none counts as passed at once, and is never left: what has gone would look unsent.
        transport.set_write_buffer_limits(high=1 if self.secure else 0, low=0)

    def is_alive(self) -> bool:
        """Guards against a kept connection whose end has come but has not been read yet."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.closed
        except OSError:
            return False
        return False  # end of input, or bytes that nobody asked for

    def take(self, attempt: Attempt) -> None:
        """The attempt is on this connection from here on."""
        self.attempt = attempt
        attempt.written_at = time.monotonic()
        attempt.connection = self

    def write(self, data: bytes) -> None:
        """Straight to the kernel: so it is certain what has left, and a break before the last byte is told from
        one after it."""
        assert self.transport is not None
        if self.secure:  # nobody can tell which byte has left: what was handed over whole may have run
            self.transport.write(data)
            return
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.unsent = True
            self.fail(AttemptResult.NO_CONNECTION)
            return
        if sent < len(data):
            self.unsent = True
            self.transport.write(data[sent:])

    def hold(self, on: bool) -> None:
        """The client does not take more now, or takes more again."""
        if self.transport is not None and not self.transport.is_closing():
            (self.transport.pause_reading if on else self.transport.resume_reading)()

    def note_heard(self) -> None:
        """Something has come from the backend."""
        self.endpoint.last_heard_at = time.monotonic()

    def is_unsent(self) -> bool:
        """Whether so much of the request is still here that it can't have run."""
        return self.unsent

    def broken(self) -> AttemptResult:
        """What the end of the connection means for the attempt on it."""
        return AttemptResult.NO_CONNECTION if self.is_unsent() else AttemptResult.RESET

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    # Ending.

    def fail(self, result: AttemptResult) -> None:
        attempt = self.attempt
        self.drop()
        if attempt is not None:
            self.pool.owner.finish_attempt(attempt, result)

    def eof_received(self) -> None:
        self.fail(self.broken())

    def connection_lost(self, exc: Exception | None) -> None:
        if self.attempt is not None:
            self.fail(self.broken())
        self.drop()

    def release(self) -> None:
        """Give back what the protocol's side holds."""
        raise NotImplementedError

    def drop(self) -> None:
        """Close at once; nothing further is heard of it."""
        if self.attempt is not None:
            self.attempt.detach()
            self.attempt = None
        if not self.closed:
            self.closed = True
            self.release()
            self.pool.forget(self)
            if self.transport is not None:
                self.transport.abort()
            else:
                self.close_socket()

    def close_socket(self) -> None:
        """Where no transport came of it. One that failed half-way has closed the descriptor itself; closing
        its number again would end whatever connection has got it since."""
        if self.is_handed_over:
            self.sock.detach()
        else:
            self.sock.close()
