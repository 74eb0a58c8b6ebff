"""The daemon's part in a hot restart: offers its state to a successor, and stops serving once the successor serves."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import TYPE_CHECKING, cast

from loadbalancer.admin.snapshot import Snapshot, encode, snapshot_pool
from loadbalancer.daemon.admin_notifications import apply_notification
from loadbalancer.daemon.admin_state import AdminState
from loadbalancer.daemon.components import DaemonContext, FleetSnapshotSource
from loadbalancer.daemon.hot_restart.offer import HotRestartOffer, OfferedState
from loadbalancer.daemon.hot_restart.protocol import offer_path

if TYPE_CHECKING:
    from loadbalancer.daemon.storage import Storage


class HotRestartService:
    """Lets another daemon take over from this one. It owns the offer; `close` releases it.

    Attributes:
        offer: The offer; None before `open` and after `close`.
        replaced: Set once another daemon serves in place of this one.
    """

    def __init__(self, daemon: DaemonContext, state: AdminState) -> None:
        self._daemon = daemon
        self._state = state
        self.offer: HotRestartOffer | None = None
        self.replaced = asyncio.Event()

    @property
    def is_under_way(self) -> bool:
        """Return whether another daemon has received this one's state or its store and does not serve yet."""
        storage = self._storage()
        is_store_released = storage is not None and storage.is_released
        return is_store_released or (self.offer is not None and self.offer.is_under_way)

    def _storage(self) -> Storage | None:
        return cast("Storage | None", self._daemon.components.get("store"))

    def open(self, management: Path) -> None:
        """Offer this daemon's state beside its administrative socket."""
        state = OfferedState(
            sockets=self._daemon.sockets,
            snapshot=self.snapshot,
            store=self._storage(),
            on_replaced=self._on_replaced,
            on_line=lambda line: apply_notification(line, self._daemon.pools, self._daemon.logger),
        )
        self.offer = HotRestartOffer(offer_path(management), state, self._daemon.logger)
        self.offer.open()

    def snapshot(self) -> bytes:
        """Return the encoded state from which a successor continues."""
        pools = [
            snapshot_pool(
                name,
                pool.proxy.balancer,
                pool.proxy.now(),
                self._state.overrides.get(name, {}),
                self._state.migration(name),
            )
            for name, pool in self._daemon.pools.items()
        ]
        fleet = cast("FleetSnapshotSource | None", self._daemon.components.get("fleet"))
        return encode(Snapshot(time.time(), pools, fleet.fleet_snapshot() if fleet is not None else None))

    def _on_replaced(self) -> None:
        for listener in self._daemon.listeners.values():
            listener.shared = True
        for component in self._daemon.components.values():
            component.retire()
        self._daemon.logger(
            "upgrade", "another daemon serves; this one ends once its open requests are answered"
        )
        self.replaced.set()

    def close(self) -> None:
        """Withdraw the offer."""
        if self.offer is not None:
            self.offer.close()
            self.offer = None
