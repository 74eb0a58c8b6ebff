"""All keys of one configuration: read and checked together, looked at together, told of together."""

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

#: How often they are looked at, in seconds.
LOOK_S = 0.2


class TlsKeys(Component):
    """Made off the loop, then of the loop. It owns no descriptor; doors are released by their listeners."""

    def __init__(self, plan: Plan, logger: RateLimitedLogger) -> None:
        """ConfigError with all that is wrong."""
        self.logger = logger
        self.listeners: dict[str, ServerKeys] = {}
        self.pools: dict[str, MemberKeys] = {}
        self._looked_at = 0.0
        base, problems = plan.path.parent, []
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

    def door(self, listener: str) -> TlsAcceptor | None:
        """A new one for a listener that speaks TLS; connections that wait at the one before have it to their end."""
        keys = self.listeners.get(listener)
        return TlsAcceptor(keys, self.logger) if keys is not None else None

    def look(self) -> None:
        """Files that have changed, tickets that are old, certificates that end."""
        now = time.monotonic()
        if now - self._looked_at >= LOOK_S:
            self._looked_at = now
            for listener in self.listeners.values():
                listener.look()
            for pool in self.pools.values():
                pool.look()

    def summary(self) -> list[dict[str, Any]]:
        held = {f"listener {name}": keys.held() for name, keys in self.listeners.items()}
        held |= {f"pool {name}": keys.held() for name, keys in self.pools.items()}
        return summary(held, time.time())

    def refused(self) -> dict[str, str]:
        """Files that are not served as they are now, and why."""
        both = {f"listener {name}": keys.watched.refused for name, keys in self.listeners.items()}
        both |= {f"pool {name}": keys.watched.refused for name, keys in self.pools.items()}
        return {where: why for where, why in both.items() if why}
