"""What a proxy needs of others: its share of the processor, and clients that may open tunnels."""

from __future__ import annotations

from typing import Protocol

from loadbalancer.proxy.open_requests import Client
from loadbalancer.streaming.tunnels import Tunnel, TunnelEnd


class ProcessorShare(Protocol):
    """Who says whether a pool may take one more request now, where several share the process."""

    def admit(self, pool: str) -> bool:
        """Whether the pool of this name may take one more."""


class TunnelClient(Client, TunnelEnd, Protocol):
    """A connection of a client that can go over to another protocol."""

    def begin_tunnel(self, lines: list[bytes], reason: bytes, tunnel: Tunnel) -> None:
        """Write the head of the answer, and pass bytes on from here on."""
