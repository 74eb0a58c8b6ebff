"""Overrides that pass from a daemon to the one it has replaced, which still answers what it holds.

One line of JSON for each override: `[pool, endpoint, override]`, where null ends it. The connection is the one over
which the sockets were taken over; it ends with the predecessor.
"""

from __future__ import annotations

import socket
from typing import Mapping

import msgspec

from loadbalancer.daemon.pools import RunningPool
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.resource_limits import RateLimitedLogger


class PredecessorNotifier:
    """Tells the daemon before this one what operators change. It owns the connection; `close` releases it."""

    def __init__(self) -> None:
        self._connection: socket.socket | None = None

    def connect(self, connection: socket.socket) -> None:
        """Notify over this non-blocking connection from now on."""
        self._connection = connection

    def notify(self, pool: str, endpoint: str, override: AdminOverride | None) -> None:
        """Send one override. A predecessor that has ended, or that does not read, is notified no more."""
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
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def apply_notification(line: bytes, pools: Mapping[str, RunningPool], logger: RateLimitedLogger) -> None:
    """Put in force what the successor has sent, for the requests that are still answered here."""
    try:
        name, endpoint, override = msgspec.json.decode(line, type=tuple[str, str, AdminOverride | None])
    except msgspec.MsgspecError as problem:
        logger("the successor's words can't be read", problem)
        return
    pool = pools.get(name)
    if pool is not None:
        pool.overlay.set_override(endpoint, override or AdminOverride())
