"""micastand: a load-balancing proxy. `Balancer` is its policy, usable without the network code."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from loadbalancer.policy.balancer import Balancer
    from loadbalancer.policy.settings import (
        PolicySettings,
    )

__all__ = ["Balancer", "PolicySettings"]


def __getattr__(name: str) -> Any:
    """Loaded when first asked for: whoever runs the proxy paces what it loads (hot_restart/startup_pacing.py)."""
    if name == "Balancer":
        from loadbalancer.policy.balancer import Balancer

        return Balancer
    if name == "PolicySettings":
        from loadbalancer.policy.settings import (
            PolicySettings,
        )

        return PolicySettings
    raise AttributeError(name)
