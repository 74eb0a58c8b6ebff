"""The endpoint's side of a tunnel: a connection that has switched to another protocol and relays bytes."""

from __future__ import annotations

import asyncio
import socket

from loadbalancer.streaming.tunnels import Tunnel
from loadbalancer.upstreams.base import SocketUpstream
from loadbalancer.upstreams.connections import UpstreamEndpoint, UpstreamPools

#: Seconds to flush the bytes buffered for an end of a tunnel, after both ends have sent all.
TUNNEL_CLOSE_TIMEOUT_S = 5.0


class UpstreamTunnelEnd(SocketUpstream):
    """A connection that can become an end of a tunnel; subclasses implement the protocol before the switch."""

    def __init__(self, backend: UpstreamEndpoint, pool: UpstreamPools, sock: socket.socket) -> None:
        super().__init__(backend, pool, sock)
        self.tunnel: Tunnel | None = None  # set after the upgrade to another protocol

    def send(self, data: bytes) -> None:
        """Write bytes of the tunnel."""
        if not self.closed:
            self.write(data)

    def finish(self) -> None:
        """Close the sending direction of the tunnel."""
        if self.transport is not None and not self.closed and self.transport.can_write_eof():
            self.transport.write_eof()

    def shut(self) -> None:
        """Close the tunnel once what is buffered has been written."""
        if self.transport is not None and not self.closed:
            self.transport.close()
            asyncio.get_running_loop().call_later(TUNNEL_CLOSE_TIMEOUT_S, self.drop)

    def abort(self) -> None:
        """Close the tunnel at once."""
        self.drop()

    def pause_writing(self) -> None:
        """Pause the other end of the tunnel; called by the transport."""
        super().pause_writing()
        if self.tunnel is not None:
            self.tunnel.set_full(True, True)

    def resume_writing(self) -> None:
        """Resume the other end of the tunnel; called by the transport."""
        super().resume_writing()
        if self.tunnel is not None:
            self.tunnel.set_full(True, False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish the attempt or the tunnel, and release the connection."""
        super().connection_lost(exc)
        if self.tunnel is not None:
            self.tunnel.lost()
