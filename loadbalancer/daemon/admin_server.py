"""The administrative sockets of a daemon, and the wiring of the API behind them."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import TYPE_CHECKING, Mapping, cast

from loadbalancer.admin.calls import AdminSession
from loadbalancer.admin.tokens import TokenError
from loadbalancer.config.plan import Plan
from loadbalancer.config.reader import ConfigError, Problem, read_address
from loadbalancer.config.types import ManagementTable
from loadbalancer.daemon.admin_api import AdminApi
from loadbalancer.daemon.admin_changes import ChangeHandler
from loadbalancer.daemon.admin_notifications import PredecessorNotifier
from loadbalancer.daemon.admin_queries import AdminQueries
from loadbalancer.daemon.admin_state import AdminState
from loadbalancer.daemon.audit_log import AuditLog
from loadbalancer.daemon.change_validation import ChangeValidator
from loadbalancer.daemon.components import Component, DaemonContext
from loadbalancer.daemon.hot_restart.service import HotRestartService
from loadbalancer.daemon.persisted_overrides import PersistedOverrides
from loadbalancer.daemon.replicated_overrides import ReplicatedOverrides
from loadbalancer.daemon.token_authentication import TokenAuthenticator
from loadbalancer.daemon.unix_socket_files import UnixSocketFile
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.frontends.sockets import bind
from loadbalancer.management.server import ManagementServer
from loadbalancer.routing.traffic_migration import Migration
from loadbalancer.store.keeper import Store

if TYPE_CHECKING:
    from loadbalancer.daemon.storage import Storage

#: File modes of the socket that accepts changes and of the read-only one.
CHANGE_SOCKET_MODE = 0o600
READ_SOCKET_MODE = 0o660


class AdminServer(Component):
    """Serves the administrative API of a daemon that has a `[management]` table.

    It owns the administrative sockets; `end` closes them.

    Attributes:
        table: The configuration's `[management]`.
        state: Overrides and migrations in force.
        predecessor: Sends operators' overrides to the daemon that this one has replaced.
        hot_restart: Offers this daemon's state to a successor.
        replicated: Applies the overrides and migrations of the fleet's replicated state.
    """

    def __init__(self, daemon: DaemonContext, table: ManagementTable, base: Path) -> None:
        """Create the server without opening its sockets.

        Args:
            daemon: The daemon that is administered.
            table: The configuration's `[management]`.
            base: The folder that paths in the table are relative to.
        """
        self.table = table
        self._daemon = daemon
        self._logger = daemon.logger
        self._base = base
        self._has_predecessor = False  # a predecessor serves until this daemon does
        self._servers: list[ManagementServer] = []
        self._tcp_server: ManagementServer | None = None
        self._socket_files: list[UnixSocketFile] = []
        persisted = PersistedOverrides(self._store)
        self.state = AdminState(daemon, persisted)
        self.predecessor = PredecessorNotifier()
        self.hot_restart = HotRestartService(daemon, self.state)
        self.replicated = ReplicatedOverrides(daemon, self.state, persisted, self.predecessor)
        self._api = self._make_api(persisted)

    def _make_api(self, persisted: PersistedOverrides) -> AdminApi:
        queries = AdminQueries(self._daemon, self.state, self.table.why)
        changes = ChangeHandler(
            self._daemon,
            self.state,
            queries,
            ChangeValidator(self._daemon, self.state, lambda: self.hot_restart.is_under_way),
            persisted,
            self.predecessor,
            AuditLog(self._base / self.table.audit if self.table.audit else None, self._logger),
        )
        return AdminApi(queries, changes)

    def _store(self) -> Store | None:
        storage = cast("Storage | None", self._daemon.components.get("store"))
        return storage.store if storage is not None else None

    def begin(self) -> None:
        """Open the sockets; raises OSError or ConfigError if one can't be opened."""
        self._has_predecessor = self._daemon.inherited is not None
        if self.table.socket is not None:
            self._open_unix(self._base / self.table.socket, CHANGE_SOCKET_MODE, reads_only=False)
        if self.table.read_socket is not None:
            self._open_unix(self._base / self.table.read_socket, READ_SOCKET_MODE, reads_only=True)
        if self.table.address is not None and self.table.tokens is not None:
            self._open_tcp(read_address(self.table.address), self._base / self.table.tokens)

    def _open_unix(self, path: Path, mode: int, reads_only: bool) -> None:
        server = ManagementServer(AdminSession(self._api, reads_only), self._logger)
        file = UnixSocketFile(path, mode)
        file.bind(server.listen)
        self._servers.append(server)
        self._socket_files.append(file)
        if not self._has_predecessor:
            file.publish(replaces=False)

    def _open_tcp(self, address: tuple[str, int], tokens: Path) -> None:
        try:
            authenticator = TokenAuthenticator(tokens, self._api, self._logger)
        except (OSError, TokenError) as problem:
            raise ConfigError([Problem(str(tokens), "management.tokens", str(problem))]) from None
        inherited = self._daemon.inherited.claim(address) if self._daemon.inherited is not None else None
        self._tcp_server = ManagementServer(
            AdminSession(self._api, True), self._logger, authenticator.session
        )
        self._tcp_server.start(inherited or bind(address))
        self._servers.append(self._tcp_server)

    def sockets(self) -> list[socket.socket]:
        """Return the TCP socket, which a successor takes over; Unix sockets are replaced instead."""
        if self._tcp_server is None or self._tcp_server.listening is None:
            return []
        return [self._tcp_server.listening]

    def serve(self) -> None:
        """Replace the predecessor's socket files, and offer this daemon's state to a successor from now on."""
        if self._has_predecessor:
            for file in self._socket_files:
                file.publish(replaces=True)
        if self.table.socket is not None:
            self.hot_restart.open(self._base / self.table.socket)

    def restore(
        self, overrides: Mapping[str, Mapping[str, AdminOverride]], migrations: Mapping[str, Migration]
    ) -> None:
        """Restore overrides and migrations from the store or the predecessor; called before pools are created."""
        self.state.restore(overrides, migrations)

    def reload(self, plan: Plan) -> None:
        """Apply a reloaded configuration; called before its routes are created."""
        self.state.reload(plan)
        if self.table.why:
            from loadbalancer.proxy.decision_trace import DecisionTrace

            for pool in self._daemon.pools.values():
                pool.proxy.trace = pool.proxy.trace or DecisionTrace(self.table.why)

    def poll(self) -> None:
        """Remove expired overrides and migrations."""
        self.state.expire()

    def retire(self) -> None:
        """Stop accepting TCP connections, which the successor accepts from now on."""
        if self._tcp_server is not None:
            self._tcp_server.stop_accepting()

    def end(self) -> None:
        """Close all sockets, and remove their files unless a successor has replaced them."""
        if not self.hot_restart.replaced.is_set():
            for file in self._socket_files:
                file.remove()
        self.hot_restart.close()
        self.predecessor.close()
        for server in self._servers:
            server.close()
        self._servers.clear()
        self._socket_files.clear()
