"""spokemast: the decisions of a load-balancing proxy, without its network code."""

from spokemast.choice import Balancer
from spokemast.interface import Settings

__all__ = ["Balancer", "Settings"]
