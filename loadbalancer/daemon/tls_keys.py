"""The TLS certificates and keys of one configuration: read and checked together, and read again as files change."""

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

#: Between two looks at the files.
LOOK_INTERVAL_S = 0.2


class TlsKeys(Component):
    """Made off the event loop, then used on it. It owns no descriptor: listeners release their acceptors.

    Attributes:
        listeners: Keys of the listeners with TLS, by name.
        pools: Keys of the pools with TLS, by name.
    """

    def __init__(self, plan: Plan, logger: RateLimitedLogger) -> None:
        """Read the files; ConfigError with all that is wrong."""
        self._logger = logger
        self.listeners: dict[str, ServerKeys] = {}
        self.pools: dict[str, MemberKeys] = {}
        self._looked_at = 0.0
        base = plan.path.parent
        problems: list[tuple[str, str]] = []
        for name, listener in plan.listeners.items():
            if listener.table.tls is not None:
                try:
                    wanted = list(listener.hosts)
                    self.listeners[name] = ServerKeys(listener.table.tls, base, wanted, logger, name)
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
        """A new acceptor for a listener with TLS; connections that wait at the one before stay with it."""
        keys = self.listeners.get(listener)
        return TlsAcceptor(keys, self._logger) if keys is not None else None

    def look(self) -> None:
        """Read files that have changed, renew ticket keys, and warn of certificates that expire."""
        now = time.monotonic()
        if now - self._looked_at >= LOOK_INTERVAL_S:
            self._looked_at = now
            for listener in self.listeners.values():
                listener.look()
            for pool in self.pools.values():
                pool.look()

    def summary(self) -> list[dict[str, Any]]:
        """Certificates in use, the first to expire first."""
        held = {f"listener {name}": keys.held() for name, keys in self.listeners.items()}
        held |= {f"pool {name}": keys.held() for name, keys in self.pools.items()}
        return summary(held, time.time())

    def refused(self) -> dict[str, str]:
        """Files that are not in use as they are now, and why, by where they are configured."""
        reasons = {f"listener {name}": keys.watched.refused for name, keys in self.listeners.items()}
        reasons |= {f"pool {name}": keys.watched.refused for name, keys in self.pools.items()}
        return {where: reason for where, reason in reasons.items() if reason}
