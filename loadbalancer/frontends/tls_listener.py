"""Handshakes of a listener's new connections: each waits for its turn, and is made by the loop's transport."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any, Callable

from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.tls.handshakes import HandshakeLimits, HandshakeRequest, Handshakes
from loadbalancer.tls.keeper import ServerKeys
from loadbalancer.tls.pairs import subjects_of

#: Seconds that a client has to answer the end of a connection.
SHUTDOWN_S = 1.0


class TlsAcceptor:
    """Of one listener. It owns the turns and one timer; `close` drops those that wait."""

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

    async def enter(
        self, make: Callable[[], asyncio.Protocol], sock: socket.socket, peer: str, known: bool
    ) -> None:
        """Shake hands once it is this one's turn; OSError where it comes to nothing."""
        ready: asyncio.Future[None] = self._loop.create_future()

        def drop(why: str) -> None:
            self.logger("handshake refused", f"{why}: {peer}")
            if not ready.done():
                ready.set_exception(ConnectionRefusedError(why))

        turn = HandshakeRequest(
            peer, known, time.monotonic(), lambda: None if ready.done() else ready.set_result(None), drop
        )
        self.handshakes.submit(turn, turn.queued_at)
        self._look()
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
            self._look()

    @staticmethod
    def names_of(ssl_object: Any) -> tuple[str, ...]:
        """The names in the certificate that a client has shown, if it has."""
        certificate = ssl_object.getpeercert(True)
        return subjects_of(certificate) if certificate is not None else ()

    def _look(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        after = self.handshakes.schedule(time.monotonic())
        if after is not None:
            self._timer = self._loop.call_later(after, self._look)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
