"""spokemast: the decisions of a load-balancing proxy, without its network code."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from spokemast.choice import Balancer
    from spokemast.interface import Settings

__all__ = ["Balancer", "Settings"]


def __getattr__(name: str) -> Any:
    """Loaded when first asked for: whoever runs the proxy paces what it loads (handover/pace.py)."""
    if name == "Balancer":
        from spokemast.choice import Balancer

        return Balancer
    if name == "Settings":
        from spokemast.interface import Settings

        return Settings
    raise AttributeError(name)
