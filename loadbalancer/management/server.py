"""The listening socket of a management address: HTTP/1.1, one call a connection, within its own descriptors.

What a call means is said by a `CallHandler`. Nothing here waits for a client's request, an endpoint or a file.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Callable

from loadbalancer.frontends.sockets import bind
from loadbalancer.management.caller import CallerConnection, CallHandler, CallState
from loadbalancer.management.calls import Response
from loadbalancer.resource_limits import RateLimitedLogger

#: Connections at once. Past it the oldest that has not sent a whole call is closed, so that callers that send nothing
#: hold no descriptors.
MAX_CALLERS = 16
#: How long nothing is accepted after the kernel had no descriptor to give.
ACCEPT_RETRY_INTERVAL_S = 0.05

Authenticate = Callable[[str | None], CallHandler | Response]


class ManagementServer:
    """Owns the listening socket and its callers; `close` releases them."""

    def __init__(
        self, handler: CallHandler, logger: RateLimitedLogger, authenticate: Authenticate | None = None
    ) -> None:
        """Make a server; nothing is open yet.

        Args:
            handler: Answers the calls.
            logger: Gets what fails at accepting.
            authenticate: What answers a call with an Authorization header, in place of `handler`, or the answer that
                rejects it.
        """
        self._handler = handler
        self._logger = logger
        self._authenticate = authenticate
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._callers: dict[CallerConnection, None] = {}  # the oldest first
        self._starting: set[asyncio.Task[None]] = set()  # the loop alone would not keep them

    @property
    def listening(self) -> socket.socket | None:
        """The listening socket, for a process that takes over; None while there is none."""
        return self._socket

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Bind and accept; OSError where the address can't be had."""
        return self.start(bind(address))

    def start(self, sock: socket.socket) -> tuple[str, int]:
        """Accept on a listening socket, which the server owns from here on; its address."""
        self._socket = sock
        self._loop.add_reader(sock, self._accept)
        name = sock.getsockname()
        return (name, 0) if isinstance(name, str) else (name[0], name[1])

    def _accept(self) -> None:
        assert self._socket is not None
        for _ in range(MAX_CALLERS):
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as problem:
                self._logger("accept for management", problem)
                self._pause()
                return
            sock.setblocking(False)
            self._make_room()
            caller = CallerConnection(self)
            self._callers[caller] = None
            task = self._loop.create_task(self._connect(caller, sock))
            self._starting.add(task)
            task.add_done_callback(self._starting.discard)

    async def _connect(self, caller: CallerConnection, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: caller, sock)
        except OSError:
            sock.close()
            self.closed(caller)

    def _make_room(self) -> None:
        """Past MAX_CALLERS close one that is answered, or else the oldest whose call has not arrived."""
        if len(self._callers) < MAX_CALLERS:
            return
        connected = [caller for caller in self._callers if caller.transport is not None]
        for states in ((CallState.ANSWERED,), (CallState.ARRIVING,), tuple(CallState)):
            for caller in connected:
                if caller.state in states:
                    caller.abort()
                    self.closed(caller)
                    return

    def _pause(self) -> None:
        """Accept nothing for a moment: without a descriptor the socket would be readable all the time."""
        assert self._socket is not None
        self._loop.remove_reader(self._socket)
        self._loop.call_later(ACCEPT_RETRY_INTERVAL_S, self._resume)

    def _resume(self) -> None:
        if self._socket is not None:
            self._loop.add_reader(self._socket, self._accept)

    def handler(self, authorization: str | None) -> CallHandler | Response:
        """What answers a call with this Authorization header, or the answer that rejects it."""
        return self._handler if self._authenticate is None else self._authenticate(authorization)

    def closed(self, caller: CallerConnection) -> None:
        """A connection has ended."""
        self._callers.pop(caller, None)

    def stop_accepting(self) -> None:
        """Close the listening socket; calls that have come are answered."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self.stop_accepting()
        for caller in list(self._callers):
            caller.abort()
