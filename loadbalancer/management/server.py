"""The server of a management address: HTTP/1.1, one call per connection, within its own limit of descriptors.

A `CallHandler` carries out the calls. Nothing here waits for a client's request, an endpoint or a file.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Callable

from loadbalancer.frontends.sockets import bind
from loadbalancer.management.caller import CallerConnection, CallHandler, CallState
from loadbalancer.management.calls import Response
from loadbalancer.resource_limits import RateLimitedLogger

#: Maximum open connections. Beyond it the oldest one without a complete call is closed, so that callers that send
#: nothing do not use up the descriptors.
MAX_CALLERS = 16
#: Seconds without accepting after accept failed for lack of descriptors.
ACCEPT_RETRY_INTERVAL_S = 0.05

Authenticate = Callable[[str | None], CallHandler | Response]


class ManagementServer:
    """Owns the listening socket and the connections of callers until `close`."""

    def __init__(
        self, handler: CallHandler, logger: RateLimitedLogger, authenticate: Authenticate | None = None
    ) -> None:
        """Create a server without opening its socket.

        Args:
            handler: Answers the calls.
            logger: Receives errors of accept.
            authenticate: Returns, for a call's Authorization header, the handler to use instead of `handler`, or the
                response that rejects the call.
        """
        self._handler = handler
        self._logger = logger
        self._authenticate = authenticate
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._callers: dict[CallerConnection, None] = {}  # the oldest first
        self._starting: set[asyncio.Task[None]] = set()  # the event loop holds weak references only

    @property
    def listening(self) -> socket.socket | None:
        """Return the listening socket, for a process that takes over; None if there is none."""
        return self._socket

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Bind an address and start accepting; OSError if it can't be bound."""
        return self.start(bind(address))

    def start(self, sock: socket.socket) -> tuple[str, int]:
        """Accept on a listening socket, which the server owns from now on; return its address."""
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
        """At MAX_CALLERS, close one: an answered one, else the oldest whose call is incomplete, else the oldest."""
        if len(self._callers) < MAX_CALLERS:
            return
        connected = [caller for caller in self._callers if caller.transport is not None]
        for states in ((CallState.ANSWERED,), (CallState.RECEIVING,), tuple(CallState)):
            for caller in connected:
                if caller.state in states:
                    caller.abort()
                    self.closed(caller)
                    return

    def _pause(self) -> None:
        """Stop accepting for a moment: without a free descriptor the socket would stay readable in a busy loop."""
        assert self._socket is not None
        self._loop.remove_reader(self._socket)
        self._loop.call_later(ACCEPT_RETRY_INTERVAL_S, self._resume)

    def _resume(self) -> None:
        if self._socket is not None:
            self._loop.add_reader(self._socket, self._accept)

    def handler(self, authorization: str | None) -> CallHandler | Response:
        """Return the handler for a call with this Authorization header, or the response that rejects it."""
        return self._handler if self._authenticate is None else self._authenticate(authorization)

    def closed(self, caller: CallerConnection) -> None:
        """Forget a connection that was closed."""
        self._callers.pop(caller, None)

    def stop_accepting(self) -> None:
        """Close the listening socket; calls on open connections are still answered."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self.stop_accepting()
        for caller in list(self._callers):
            caller.abort()
