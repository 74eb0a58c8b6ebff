"""What the listeners of a configuration are made of, and what each listener and pool may hold of the process."""

from __future__ import annotations

import ipaddress
import math
import resource
from functools import partial
from typing import Sequence

from loadbalancer.admission.admission import Admission, Caps
from loadbalancer.config.plan import Plan
from loadbalancer.config.types import AdmissionTable, ListenerTable
from loadbalancer.frontends.admission_gate import AdmissionGate
from loadbalancer.frontends.fastcgi import FastCgiFront
from loadbalancer.frontends.http1 import ClientConnection
from loadbalancer.frontends.listener import ConnectionFactory
from loadbalancer.resource_limits import ResourceLimits
from loadbalancer.routing.fair_shares import ListenerSlots, PoolAllocation, divide_listeners, divide_pools

#: What each listener and each pool may hold, by their names.
Division = tuple[dict[str, ListenerSlots], dict[str, PoolAllocation]]


def serve_of(table: ListenerTable) -> ConnectionFactory:
    """What makes the connections of a listener's clients."""
    if table.protocol == "http/1.1":
        return ClientConnection
    return partial(FastCgiFront, requests_most=table.requests_at_once)


def gate_of(table: ListenerTable, old: AdmissionGate | None) -> AdmissionGate | None:
    """The listener's rules for client addresses, if it has any.

    Args:
        table: The listener's configuration.
        old: The gate before a reload, which is kept, with what it knows of addresses, where no rule has changed.
    """
    admission = table.admission
    if admission is None and not table.proxy_protocol_from:
        return None
    admission = admission or AdmissionTable()
    caps = Caps(
        admission.connections_per_address or math.inf,
        admission.connects_per_s or math.inf,
        admission.requests_per_address or math.inf,
        admission.growth,
        admission.remembered,
    )
    rules = Admission(caps, _networks(admission.known), admission.reserve, _networks(admission.exempt))
    gate = AdmissionGate(rules, _networks(table.proxy_protocol_from))
    return old if old is not None and old.has_same_rules(gate) else gate


def _networks(texts: Sequence[str]) -> list[ipaddress.IPv4Network | ipaddress.IPv6Network]:
    return [ipaddress.ip_network(text) for text in texts]


def descriptors() -> int:
    """How many descriptors the process may have now."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def divide(plan: Plan) -> Division:
    """Divide the process's descriptors and memory among listeners and pools."""
    process = plan.file.process
    limits = ResourceLimits(process.memory / (1 << 20), min(process.descriptors, descriptors()))
    slots = divide_listeners(
        limits.client_sockets,
        limits.overflow_sockets,
        {name: listener.table.share for name, listener in plan.listeners.items()},
    )
    reached: dict[str, set[str]] = {name: set() for name in plan.pools}
    for name, listener in plan.listeners.items():
        for route in plan.routes.values():
            if route.pool is None:
                continue
            if listener.table.routes is None or route.name in listener.table.routes:
                reached[route.pool].add(name)
    weights = {name: pool.table.limits.share for name, pool in plan.pools.items()}
    return slots, divide_pools(limits.buffered, limits.backend_sockets, weights, slots, reached)
