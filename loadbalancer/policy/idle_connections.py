"""Whether idle connections to endpoints are kept."""

from __future__ import annotations

from loadbalancer.policy.endpoints import EndpointRegistry
from loadbalancer.policy.estimators import SendRate
from loadbalancer.policy.settings import PolicySettings

#: Requests a second to each endpoint, for each proxy of the fleet, below which no idle connection is kept.
#: All proxies together would hold one each; an endpoint has room for some twenty, and a full table costs it
#: capacity.
MIN_RATE_PER_CONNECTION = 0.1


class IdleConnections:
    """Decides whether this proxy sends too little for its idle connections to be worth their place."""

    __slots__ = ("_instance_count", "_registry", "_send_rate")

    def __init__(self, settings: PolicySettings, registry: EndpointRegistry, send_rate: SendRate) -> None:
        self._instance_count = settings.instance_count
        self._registry = registry
        self._send_rate = send_rate

    def are_too_sparse(self, now: float) -> bool:
        """Return whether idle connections are closed at once.

        Where each of many proxies sends an endpoint little, their idle connections together would fill its
        connection table and turn other proxies away. The price is a handshake for each request.
        """
        min_rate = MIN_RATE_PER_CONNECTION * self._instance_count * len(self._registry.ready)
        return self._instance_count > 1 and self._send_rate.per_second(now) < min_rate
