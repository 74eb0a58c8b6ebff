"""Override notifications from a daemon to the predecessor that it has replaced.

The predecessor still answers the requests that were in flight at the hot restart, so it must apply later overrides too.
Each notification is one line of JSON, `[pool, endpoint, override]`, where a null override removes it. The connection is
the one over which the sockets were taken over; it closes when the predecessor exits.
"""

from __future__ import annotations

import socket
from typing import Mapping

import msgspec

from loadbalancer.daemon.pools import RunningPool
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.resource_limits import RateLimitedLogger


class PredecessorNotifier:
    """Sends operators' overrides to this daemon's predecessor. It owns the connection; `close` releases it."""

    def __init__(self) -> None:
        self._connection: socket.socket | None = None

    def connect(self, connection: socket.socket) -> None:
        """Send notifications over this non-blocking connection from now on."""
        self._connection = connection

    def notify(self, pool: str, endpoint: str, override: AdminOverride | None) -> None:
        """Send one override; close the connection if the predecessor has exited or does not read."""
        if self._connection is None:
            return
        line = msgspec.json.encode([pool, endpoint, override]) + b"\n"
        try:
            sent = self._connection.send(line)
        except OSError:
            sent = 0
        if sent < len(line):
            self.close()

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def apply_notification(line: bytes, pools: Mapping[str, RunningPool], logger: RateLimitedLogger) -> None:
    """Apply an override that the successor has sent, for the requests that are still in flight here."""
    try:
        name, endpoint, override = msgspec.json.decode(line, type=tuple[str, str, AdminOverride | None])
    except msgspec.MsgspecError as problem:
        logger("the successor's words can't be read", problem)
        return
    pool = pools.get(name)
    if pool is not None:
        pool.overlay.set_override(endpoint, override or AdminOverride())
