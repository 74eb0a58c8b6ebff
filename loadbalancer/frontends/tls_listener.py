"""Runs the TLS handshakes of new connections, limited in number and rate; the event loop's transport does them."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any, Callable

from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.tls.handshakes import HandshakeLimits, HandshakeRequest, Handshakes
from loadbalancer.tls.keeper import ServerKeys
from loadbalancer.tls.pairs import subjects_of

#: Time limit for a client to answer the TLS close, in seconds.
SHUTDOWN_S = 1.0


class TlsAcceptor:
    """Runs the TLS handshakes of one listener.

    It owns the queue of handshakes and one timer; `close` cancels the timer.
    """

    def __init__(self, keys: ServerKeys, logger: RateLimitedLogger) -> None:
        table = keys.table
        self.keys, self.logger = keys, logger
        self._seconds = float(table.handshake_time)
        self.handshakes = Handshakes(
            HandshakeLimits(
                table.handshakes_at_once,
                table.handshakes_per_s,
                table.handshakes_per_address,
                max_wait_s=self._seconds,
            )
        )
        self.failed = 0
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    async def handshake(
        self, make: Callable[[], asyncio.Protocol], sock: socket.socket, peer: str, known: bool
    ) -> None:
        """Run the handshake of a connection once it may begin.

        Args:
            make: Makes the protocol object of the connection.
            sock: The accepted socket.
            peer: The peer address of the connection.
            known: Whether the client is of a known network.

        Raises:
            OSError: The handshake was refused or failed.
        """
        ready: asyncio.Future[None] = self._loop.create_future()

        def drop(reason: str) -> None:
            self.logger("handshake refused", f"{reason}: {peer}")
            if not ready.done():
                ready.set_exception(ConnectionRefusedError(reason))

        turn = HandshakeRequest(
            peer, known, time.monotonic(), lambda: None if ready.done() else ready.set_result(None), drop
        )
        self.handshakes.submit(turn, turn.queued_at)
        self._begin_due_handshakes()
        try:
            await ready
            await self._loop.connect_accepted_socket(
                make,
                sock,
                ssl=self.keys.context,
                ssl_handshake_timeout=self._seconds,
                ssl_shutdown_timeout=SHUTDOWN_S,
            )
        except OSError as problem:
            self.failed += 1
            if turn.under_way:
                self.logger("handshake failed", f"{problem}: {peer}")
            raise
        finally:
            self.handshakes.finish(turn, time.monotonic())
            self._begin_due_handshakes()

    @staticmethod
    def certificate_names(ssl_object: Any) -> tuple[str, ...]:
        """Return the subject names in the client's certificate; empty if it presented none."""
        certificate = ssl_object.getpeercert(True)
        return subjects_of(certificate) if certificate is not None else ()

    def _begin_due_handshakes(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        delay = self.handshakes.schedule(time.monotonic())
        if delay is not None:
            self._timer = self._loop.call_later(delay, self._begin_due_handshakes)

    def close(self) -> None:
        """Cancel the timer of handshakes that wait."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
