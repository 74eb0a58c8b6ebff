"""What operators read of a running daemon, as JSON has it."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING, Any, Callable, cast

from loadbalancer.admin.calls import CallError
from loadbalancer.config.types import ManagementTable
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.policy.events import (
    EndpointState,
)
from loadbalancer.routing.traffic_migration import Migration, Migrations
from loadbalancer.store.keeper import Store

if TYPE_CHECKING:
    from loadbalancer.daemon.storage import Storage
    from loadbalancer.daemon.tls_keys import TlsKeys

#: Open requests that one call tells of, the oldest first.
REQUESTS_MOST = 200


class AdminQueries:
    """The part of `Control` that changes nothing."""

    daemon: DaemonContext
    table: ManagementTable
    marks: dict[str, dict[str, AdminOverride]]
    moves: dict[str, Migrations]
    started: float  # Unix time

    @property
    def _store(self) -> Store | None:
        memory = cast("Storage | None", self.daemon.parts.get("store"))
        return memory.store if memory is not None else None

    def _move(self, pool: str) -> Migration | None:
        return self.moves[pool].move if pool in self.moves else None

    def read(self, what: str) -> Any:
        for part in self.daemon.parts.values():
            if (found := part.reads().get(what)) is not None:
                return found()
        return getattr(self, f"_read_{what}")()

    def ask(self, what: str, done: Callable[[Any], None]) -> bool:
        for part in self.daemon.parts.values():
            if (found := part.asks().get(what)) is not None:
                found(done)
                return True
        return False

    def verbs(self) -> dict[str, tuple[frozenset[str], str]]:
        return {
            verb: found for part in self.daemon.parts.values() for verb, found in part.more_verbs().items()
        }

    def readable(self, what: str) -> bool:
        """Whether it can be read of a part."""
        return any(what in part.reads() for part in self.daemon.parts.values())

    def _read_status(self) -> dict[str, Any]:
        daemon = self.daemon
        return {
            "pid": os.getpid(),
            "up_s": round(time.time() - self.started, 1),
            "reloads": daemon.reloads,
            "configuration": str(daemon.plan.path) if daemon.plan is not None else None,
            "listeners": {name: "{}:{}".format(*one.address) for name, one in daemon.listeners.items()},
            "pools": len(daemon.pools),
            "open": sum(len(p.proxy.open) for p in daemon.pools.values()),
            "retiring": daemon.retiring,
            "store": None,
        } | {key: value for part in daemon.parts.values() for key, value in part.figures().items()}

    def _read_pools(self) -> list[dict[str, Any]]:
        return [self._pool(name, pool) for name, pool in self.daemon.pools.items()]

    def _pool(self, name: str, pool: RunningPool) -> dict[str, Any]:
        proxy = pool.proxy
        ended = [sum(counts) for counts in zip(*proxy.figures.ended, strict=True)]
        return {
            "pool": name,
            "members": len(proxy.listed),
            "skipped": proxy.skipped(),
            "open": len(proxy.open),
            "served": ended[0],
            "refused": ended[1],
            "failed": ended[2],
            "attempts": sum(proxy.tries()),
            "connections": proxy.backends.open,
            "tunnels": len(proxy.tunnels.open),
            "frozen": pool.overlay.frozen,
            "refusing": round(proxy.balancer.shed_level, 3),
            "limit": round(proxy.balancer.in_flight_limit),
            "in_flight": proxy.balancer.in_flight,
        }

    def _read_members(self) -> list[dict[str, Any]]:
        return [
            self._member(name, pool, member)
            for name, pool in self.daemon.pools.items()
            for member in self._names(pool)
        ]

    @staticmethod
    def _names(pool: RunningPool) -> list[str]:
        return sorted(pool.overlay.listed().keys() | pool.overlay.marks.keys())

    def _member(self, name: str, pool: RunningPool, member: str) -> dict[str, Any]:
        listed, mark = pool.overlay.listed().get(member), pool.overlay.marks.get(member)
        server = pool.proxy.balancer.endpoints.get(member)
        address = listed[1] if listed is not None else mark.address if mark is not None else None
        box = {
            "pool": name,
            "member": member,
            "address": _place(address),
            "source": "not listed" if listed is None else EndpointState(listed[0].state).name.lower(),
            "weight": mark.weight
            if mark is not None and mark.weight is not None
            else listed[0].weight
            if listed is not None
            else 1.0,
            "in_flight": 0 if server is None else len(server.in_flight) + len(server.responding),
            "used": server is not None and not pool.proxy.balancer.avoids(member),
        }
        return box | ({"mark": _tell(mark)} if mark is not None else {})

    def _read_keys(self) -> list[dict[str, Any]]:
        """Certificates that serve, the first to end first; then files that do not, and why."""
        keys = cast("TlsKeys | None", self.daemon.parts.get("keys"))
        if keys is None:
            return []
        return [*keys.summary(), *({"where": where, "refused": why} for where, why in keys.refused().items())]

    def _read_requests(self) -> list[dict[str, Any]]:
        """Open ones, the oldest first, without anything that clients sent but method and path."""
        found = []
        for name, pool in self.daemon.pools.items():
            now = pool.proxy.now()
            for request in pool.proxy.open.values():
                line = bytes(request.head.partition(b"\r\n")[0]).decode("latin-1").rpartition(" ")[0]
                attempts = [
                    {"member": a.server, "age_s": round(now - a.began, 3), "ended": a.ended}
                    for a in request.attempts
                ]
                began = min((a.began for a in request.attempts), default=now)
                box = {
                    "pool": name,
                    "id": request.id,
                    "request": line.partition("?")[0][:200],
                    "attempts": attempts,
                }
                found.append((began, box))
        found.sort(key=lambda one: one[0])
        return [box for _, box in found[:REQUESTS_MOST]]

    def _read_marks(self) -> list[dict[str, Any]]:
        """All of them, also those of pools and members that are not there now."""
        return [
            {
                "pool": pool,
                "member": member,
                "there": pool in self.daemon.pools and self.daemon.pools[pool].overlay.knows(member),
                **_tell(mark),
            }
            for pool, marks in sorted(self.marks.items())
            for member, mark in sorted(marks.items())
        ]

    def _read_moves(self) -> list[dict[str, Any]]:
        return [
            {
                "pool": pool,
                "other": move.other,
                "share": move.share,
                "by": move.by,
                "reason": move.reason,
                "until": move.until or None,
                "there": move.other in self.daemon.pools,
                "keys": len(self.moves[pool]),
            }
            for pool in sorted(self.moves)
            if (move := self._move(pool)) is not None
        ]

    def why(self, request: str) -> Any:
        if not self.table.why:
            raise CallError(409, "nothing is kept for this; put why = 1000 into [management] and restart")
        for name, pool in self.daemon.pools.items():
            found = pool.proxy.trace.why(request) if pool.proxy.trace is not None else None
            if found is not None:
                return [{"pool": name, **step} for step in found]
        raise CallError(
            404,
            f"no request {request!r} among the latest {self.table.why} of each pool; its id is what "
            "X-Request-Id says at the member",
        )


def _place(address: tuple[str, int] | None) -> str | None:
    if address is None:
        return None
    return f"{address[0]}:{address[1]}" if address[1] else address[0]


def _tell(mark: AdminOverride) -> dict[str, Any]:
    box = {
        "word": mark.word,
        "weight": mark.weight,
        "by": mark.by,
        "reason": mark.reason,
        "at": mark.at,
        "until": mark.until or None,
        "added": _place(mark.address),
    }
    return {key: value for key, value in box.items() if value not in (None, "")}
