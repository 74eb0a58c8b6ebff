"""The TLS certificates and keys of one configuration: read and checked together, and reread when files change."""

from __future__ import annotations

import time
from typing import Any

from loadbalancer.config.plan import Plan
from loadbalancer.config.reader import ConfigError, Problem
from loadbalancer.daemon.components import Component
from loadbalancer.frontends.tls_listener import TlsAcceptor
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.tls.keeper import MemberKeys, ServerKeys, summary
from loadbalancer.tls.pairs import PairError

#: Interval at which the files are checked for changes.
POLL_INTERVAL_S = 0.2


class TlsKeys(Component):
    """Holds the certificates and keys of listeners and pools.

    It is created off the event loop and then used on it. It owns no descriptors: listeners release their acceptors.

    Attributes:
        listeners: Keys of the listeners with TLS, by name.
        pools: Keys of the pools with TLS, by name.
    """

    def __init__(self, plan: Plan, logger: RateLimitedLogger) -> None:
        """Read the files; raises ConfigError with all problems."""
        self._logger = logger
        self.listeners: dict[str, ServerKeys] = {}
        self.pools: dict[str, MemberKeys] = {}
        self._polled_at = 0.0  # on the monotonic clock
        base = plan.path.parent
        problems: list[tuple[str, str]] = []
        for name, listener in plan.listeners.items():
            if listener.table.tls is not None:
                try:
                    hosts = list(listener.hosts)
                    self.listeners[name] = ServerKeys(listener.table.tls, base, hosts, logger, name)
                except PairError as error:
                    problems += [(f"listener[{name}].tls", text) for text in error.problems]
        for name, pool in plan.pools.items():
            if pool.table.tls is not None:
                try:
                    self.pools[name] = MemberKeys(pool.table.tls, base, logger, name)
                except PairError as error:
                    problems += [(f"pool[{name}].tls", text) for text in error.problems]
        if problems:
            raise ConfigError([Problem(str(plan.path), at, text) for at, text in problems])

    def acceptor(self, listener: str) -> TlsAcceptor | None:
        """Return a new acceptor for a listener with TLS, else None; pending handshakes stay with the previous one."""
        keys = self.listeners.get(listener)
        return TlsAcceptor(keys, self._logger) if keys is not None else None

    def poll(self) -> None:
        """Reread changed files, renew ticket keys, and warn of certificates that expire soon."""
        now = time.monotonic()
        if now - self._polled_at >= POLL_INTERVAL_S:
            self._polled_at = now
            for listener in self.listeners.values():
                listener.poll()
            for pool in self.pools.values():
                pool.poll()

    def summary(self) -> list[dict[str, Any]]:
        """Return the certificates in use, ordered by expiry."""
        certificates = {f"listener {name}": keys.certificates() for name, keys in self.listeners.items()}
        certificates |= {f"pool {name}": keys.certificates() for name, keys in self.pools.items()}
        return summary(certificates, time.time())

    def rejected_files(self) -> dict[str, str]:
        """Return why the current content of files is not in use, by the listener or pool that names the files."""
        reasons = {f"listener {name}": keys.watched.refused for name, keys in self.listeners.items()}
        reasons |= {f"pool {name}": keys.watched.refused for name, keys in self.pools.items()}
        return {where: reason for where, reason in reasons.items() if reason}
