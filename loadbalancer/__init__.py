"""micastand: a load-balancing proxy. `Balancer` is its policy, usable without the network code."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from loadbalancer.policy.balancer import Balancer
    from loadbalancer.policy.settings import PolicySettings

__all__ = ["Balancer", "PolicySettings"]


def __getattr__(name: str) -> Any:
    """Load the policy when it is first asked for: a starting proxy paces what it loads."""
    if name == "Balancer":
        from loadbalancer.policy.balancer import Balancer

        return Balancer
    if name == "PolicySettings":
        from loadbalancer.policy.settings import PolicySettings

        return PolicySettings
    raise AttributeError(name)
