"""What a fleet has agreed on, put in force at one daemon's pools; and what an operator's word would make of them."""

from __future__ import annotations

import time
from typing import Any, Callable

from loadbalancer.admin.calls import Change
from loadbalancer.daemon.audit_log import AuditLog
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.routing.traffic_migration import Migration
from loadbalancer.store.keeper import Store


class AdminNotifications:
    """The part of `Control` that the fleet's versioned state speaks to."""

    daemon: DaemonContext
    audit: AuditLog
    marks: dict[str, dict[str, AdminOverride]]

    def _said(self, change: Change, before: AdminOverride | None, now: float, until: float) -> AdminOverride:
        raise NotImplementedError

    def _put(
        self, pool: RunningPool, kept: dict[str, AdminOverride], member: str, mark: AdminOverride
    ) -> None:
        raise NotImplementedError

    def _tell_before(self, pool: str, member: str, mark: AdminOverride | None) -> None:
        raise NotImplementedError

    def _member(self, name: str, pool: RunningPool, member: str) -> dict[str, Any]:
        raise NotImplementedError

    def _say_move(self, pool: str, move: Migration | None) -> None:
        raise NotImplementedError

    @property
    def _store(self) -> Store | None:
        raise NotImplementedError

    def _noted(self, change: Change, done: Callable[[Any], None], now: Any) -> None:
        self.audit.note(
            change, f"not done: {now['error']}" if "error" in now else f"version {now.get('version')}"
        )
        done(now)

    def planned(self, change: Change) -> dict[str, AdminOverride | None]:
        """What would stand of its members; None for nothing."""
        kept = self.marks.get(change.order.pool or "", {})
        found = {member: self._said(change, kept.get(member), time.time(), 0.0) for member in change.members}
        return {member: None if mark.says_nothing() else mark for member, mark in found.items()}

    def planned_move(self, change: Change) -> Migration | None:
        order = change.order
        assert order.other is not None and order.share is not None
        return (
            Migration(order.other, order.share, 0.0, order.by, order.reason, time.time())
            if order.share
            else None
        )

    def put_mark(self, name: str, member: str, mark: AdminOverride | None) -> None:
        """In force from now on, also of a pool that is not there."""
        pool, kept = self.daemon.pools.get(name), self.marks.setdefault(name, {})
        if pool is not None:
            self._put(pool, kept, member, mark or AdminOverride())
        elif mark is None:
            kept.pop(member, None)
        else:
            kept[member] = mark
        self._tell_before(name, member, mark)

    def put_move(self, pool: str, move: Migration | None) -> None:
        self._say_move(pool, move)

    def put_freeze(self, name: str, frozen: bool) -> None:
        pool = self.daemon.pools.get(name)
        if pool is not None:
            pool.overlay.freeze(frozen)

    def told(self, change: Change) -> dict[str, Any]:
        """What is now true of what it was about."""
        pool = self.daemon.pools.get(change.order.pool or "")
        if pool is None or not change.members:
            return {"kept": self._store is not None}
        name = change.order.pool or ""
        return {
            "members": [self._member(name, pool, member) for member in change.members],
            "kept": self._store is not None,
        }
