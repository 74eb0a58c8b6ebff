"""Applies tenants' quotas: detects requests over the rate that their tenant has bought."""

from __future__ import annotations

from loadbalancer.policy.settings import PolicySettings


class TenantQuota:
    """Holds a token bucket for this proxy's part of each quota, sized for one second and one request."""

    __slots__ = ("_rates", "_tokens", "_updated_at")

    def __init__(self, settings: PolicySettings) -> None:
        self._rates = [tenant.quota_per_s / settings.instance_count for tenant in settings.tenants]
        self._tokens = [0.0] * len(settings.tenants)
        self._updated_at = [0.0] * len(settings.tenants)

    def is_exceeded(self, tenant: int, now: float) -> bool:
        """Return whether a tenant is over its quota."""
        rate = self._rates[tenant]
        tokens = self._tokens[tenant] + rate * (now - self._updated_at[tenant])
        self._updated_at[tenant] = now
        self._tokens[tenant] = min(tokens, rate + 1.0)
        return self._tokens[tenant] < 1.0

    def record_admitted(self, tenant: int) -> None:
        """Count an admitted request.

        Rejected requests don't count, so that client retries push no tenant over its quota.
        """
        self._tokens[tenant] = max(0.0, self._tokens[tenant] - 1.0)
