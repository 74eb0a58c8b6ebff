"""Decides whether idle connections to endpoints are kept open."""

from __future__ import annotations

from loadbalancer.policy.endpoints import EndpointRegistry
from loadbalancer.policy.estimators import SendRate
from loadbalancer.policy.settings import PolicySettings

#: Requests a second to each endpoint, for each proxy of the fleet, below which no idle connection is kept.
#: All proxies together would keep one idle connection each; an endpoint's connection table has room for about
#: twenty, and a full table costs it capacity.
MIN_RATE_PER_CONNECTION = 0.1


class IdleConnections:
    """Decides whether this proxy sends too few requests to keep idle connections."""

    __slots__ = ("_instance_count", "_registry", "_send_rate")

    def __init__(self, settings: PolicySettings, registry: EndpointRegistry, send_rate: SendRate) -> None:
        self._instance_count = settings.instance_count
        self._registry = registry
        self._send_rate = send_rate

    def are_too_sparse(self, now: float) -> bool:
        """Return whether connections should be closed as soon as they are idle.

        If many proxies each send few requests to an endpoint, their idle connections together would fill its
        connection table and keep other proxies out. The cost of closing them is a handshake for each request.
        """
        min_rate = MIN_RATE_PER_CONNECTION * self._instance_count * len(self._registry.ready)
        return self._instance_count > 1 and self._send_rate.per_second(now) < min_rate
