"""micastand: a load-balancing proxy. `Balancer` is its policy, usable without the network code."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from loadbalancer.policy.balancer import Balancer
    from loadbalancer.policy.settings import (
        Settings,
    )

__all__ = ["Balancer", "Settings"]


def __getattr__(name: str) -> Any:
    """Loaded when first asked for: whoever runs the proxy paces what it loads (hot_restart/startup_pacing.py)."""
    if name == "Balancer":
        from loadbalancer.policy.balancer import Balancer

        return Balancer
    if name == "Settings":
        from loadbalancer.policy.settings import (
            Settings,
        )

        return Settings
    raise AttributeError(name)
