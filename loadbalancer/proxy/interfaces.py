"""Protocols that a proxy depends on: the processor's fair shares, and clients that can open tunnels."""

from __future__ import annotations

from typing import Protocol

from loadbalancer.proxy.open_requests import Client
from loadbalancer.streaming.tunnels import Tunnel, TunnelEnd


class ProcessorShare(Protocol):
    """Decides whether a pool may admit another request, if several pools share the process."""

    def admit(self, pool: str) -> bool:
        """Return whether the pool of this name may admit one more request."""


class TunnelClient(Client, TunnelEnd, Protocol):
    """A client connection that can be upgraded to another protocol."""

    def begin_tunnel(self, lines: list[bytes], reason: bytes, tunnel: Tunnel) -> None:
        """Write the head of the answer, then forward bytes through the tunnel."""
