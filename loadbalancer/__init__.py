"""micastand: a load-balancing proxy. `Balancer` is its policy, which can be used without the network code."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from loadbalancer.policy.balancer import Balancer
    from loadbalancer.policy.settings import PolicySettings

__all__ = ["Balancer", "PolicySettings"]


def __getattr__(name: str) -> Any:
    """Import the policy on first use, since a starting proxy paces its imports."""
    if name == "Balancer":
        from loadbalancer.policy.balancer import Balancer

        return Balancer
    if name == "PolicySettings":
        from loadbalancer.policy.settings import PolicySettings

        return PolicySettings
    raise AttributeError(name)
