"""The read-only queries of the administrative API, one method for each path."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING, Callable, Mapping, cast

from loadbalancer.admin.calls import CallError
from loadbalancer.daemon.admin_rows import (
    AttemptRow,
    EndpointRow,
    MigrationRow,
    OverrideRow,
    PoolRow,
    RefusedKeyRow,
    RequestRow,
    StatusRow,
    endpoint_row,
    override_fields,
    pool_row,
)
from loadbalancer.daemon.admin_state import AdminState
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.proxy.open_requests import OpenRequest

if TYPE_CHECKING:
    from loadbalancer.daemon.tls_keys import TlsKeys

#: Maximum number of open requests in one answer; the oldest are kept.
MAX_REQUEST_ROWS = 200
#: Maximum number of characters of a request's method and path in a row.
MAX_REQUEST_LINE_CHARACTERS = 200


class AdminQueries:
    """Reads the state of a daemon and of its components without changing it."""

    def __init__(self, daemon: DaemonContext, state: AdminState, traced_requests: int | None) -> None:
        """Create the queries of a daemon.

        Args:
            daemon: The daemon to read.
            state: The daemon's overrides and migrations.
            traced_requests: How many recent requests of each pool have their decisions kept; None or 0 if tracing is
                off.
        """
        self._daemon = daemon
        self._state = state
        self._traced_requests = traced_requests
        self._started_unix_s = time.time()
        self._readers: Mapping[str, Callable[[], object]] = {
            "status": self.status,
            "pools": self.pools,
            "members": self.endpoints,
            "requests": self.requests,
            "marks": self.overrides,
            "moves": self.migrations,
            "keys": self.keys,
        }

    def read(self, path: str) -> object:
        """Return the answer to a path; a component's own readers take precedence."""
        for component in self._daemon.components.values():
            reader = component.queries().get(path)
            if reader is not None:
                return reader()
        return self._readers[path]()

    def is_readable(self, path: str) -> bool:
        """Return whether a component answers reads of this path."""
        return any(path in component.queries() for component in self._daemon.components.values())

    def start_query(self, path: str, done: Callable[[object], None]) -> bool:
        """Start a query that is sent to other instances; return whether one exists for this path."""
        for component in self._daemon.components.values():
            query = component.remote_queries().get(path)
            if query is not None:
                query(done)
                return True
        return False

    def status(self) -> dict[str, object]:
        """Return the status of the daemon, including the figures that components add."""
        daemon = self._daemon
        row: StatusRow = {
            "pid": os.getpid(),
            "up_s": round(time.time() - self._started_unix_s, 1),
            "reloads": daemon.reloads,
            "configuration": str(daemon.plan.path) if daemon.plan is not None else None,
            "listeners": {
                name: "{}:{}".format(*listener.address) for name, listener in daemon.listeners.items()
            },
            "pools": len(daemon.pools),
            "open": sum(len(pool.proxy.open) for pool in daemon.pools.values()),
            "retiring": daemon.retiring,
            "memory_held": daemon.account.held_bytes,
            "memory_peak": daemon.account.peak_bytes,
            "memory_most": daemon.account.max_bytes,
            "store": None,
        }
        status: dict[str, object] = {**row}
        for component in daemon.components.values():
            status |= component.status_fields()
        return status

    def pools(self) -> list[PoolRow]:
        """Return a row for each pool."""
        return [pool_row(name, pool) for name, pool in self._daemon.pools.items()]

    def endpoints(self) -> list[EndpointRow]:
        """Return a row for each endpoint that is listed or overridden."""
        return [
            endpoint_row(name, pool, endpoint)
            for name, pool in self._daemon.pools.items()
            for endpoint in sorted(pool.overlay.listed().keys() | pool.overlay.overrides.keys())
        ]

    def keys(self) -> list[dict[str, object] | RefusedKeyRow]:
        """Return the certificates in use, the earliest expiry first, then the rejected files with the reasons."""
        keys = cast("TlsKeys | None", self._daemon.components.get("keys"))
        if keys is None:
            return []
        refused: list[RefusedKeyRow] = [
            {"where": where, "refused": reason} for where, reason in keys.rejected_files().items()
        ]
        return [*keys.summary(), *refused]

    def requests(self) -> list[RequestRow]:
        """Return the open requests, the oldest first. Of the client's data only method and path are included."""
        rows: list[tuple[float, RequestRow]] = []
        for name, pool in self._daemon.pools.items():
            now = pool.proxy.now()
            for request in pool.proxy.open.values():
                started_at = min((attempt.began_at for attempt in request.attempts), default=now)
                rows.append((started_at, _request_row(name, request, now)))
        rows.sort(key=lambda start_and_row: start_and_row[0])
        return [row for _, row in rows[:MAX_REQUEST_ROWS]]

    def overrides(self) -> list[OverrideRow]:
        """Return all overrides, including those of pools and endpoints that don't exist now."""
        pools = self._daemon.pools
        return [
            {
                "pool": name,
                "member": endpoint,
                "there": name in pools and pools[name].overlay.knows(endpoint),
                **override_fields(override),
            }
            for name, overrides in sorted(self._state.overrides.items())
            for endpoint, override in sorted(overrides.items())
        ]

    def migrations(self) -> list[MigrationRow]:
        """Return all migrations in force."""
        return [
            {
                "pool": name,
                "other": migration.other,
                "share": migration.share,
                "by": migration.by,
                "reason": migration.reason,
                "until": migration.until or None,
                "there": migration.other in self._daemon.pools,
                "keys": len(migrations),
            }
            for name, migrations in sorted(self._state.migrations.items())
            if (migration := migrations.current) is not None
        ]

    def explain_request(self, request_id: str) -> list[dict[str, object]]:
        """Return the recorded decisions of a recent request.

        Raises:
            CallError: Tracing is off, or no decisions of this request are kept.
        """
        if not self._traced_requests:
            raise CallError(409, "nothing is kept for this; put why = 1000 into [management] and restart")
        for name, pool in self._daemon.pools.items():
            steps = pool.proxy.trace.describe(request_id) if pool.proxy.trace is not None else None
            if steps is not None:
                return [{"pool": name, **step} for step in steps]
        raise CallError(
            404,
            f"no request {request_id!r} among the latest {self._traced_requests} of each pool; its id is what "
            "X-Request-Id says at the member",
        )


def _request_row(pool: str, request: OpenRequest, now: float) -> RequestRow:
    line = bytes(request.head.partition(b"\r\n")[0]).decode("latin-1").rpartition(" ")[0]
    attempts: list[AttemptRow] = [
        {"member": attempt.endpoint, "age_s": round(now - attempt.began_at, 3), "ended": attempt.ended}
        for attempt in request.attempts
    ]
    return {
        "pool": pool,
        "id": request.id,
        "request": line.partition("?")[0][:MAX_REQUEST_LINE_CHARACTERS],
        "attempts": attempts,
    }
