"""Builds the parts of listeners, and divides the process's resources among listeners and pools."""

from __future__ import annotations

import ipaddress
import math
import resource
from functools import partial
from typing import NamedTuple, Sequence

from loadbalancer.admission.admission import Admission, Caps
from loadbalancer.config.plan import Plan
from loadbalancer.config.types import AdmissionTable, ListenerTable
from loadbalancer.frontends.admission_gate import AdmissionGate
from loadbalancer.frontends.fastcgi import FastCgiFront
from loadbalancer.frontends.http1 import ClientConnection
from loadbalancer.frontends.listener import ConnectionFactory
from loadbalancer.resource_limits import BYTES_PER_MB, ResourceLimits
from loadbalancer.routing.fair_shares import ListenerSlots, PoolAllocation, divide_listeners, divide_pools

#: Memory of `serve` with its libraries, in MB.
BASE_MB = 38.0


class ResourceDivision(NamedTuple):
    """The shares of listeners and pools, by their names, and the limits of the whole process."""

    slots: dict[str, ListenerSlots]
    allocations: dict[str, PoolAllocation]
    limits: ResourceLimits


def make_connection_factory(table: ListenerTable) -> ConnectionFactory:
    """Return the function that creates the connections of a listener's clients."""
    if table.protocol == "http/1.1":
        return ClientConnection
    return partial(FastCgiFront, requests_most=table.requests_at_once)


def make_admission_gate(table: ListenerTable, old: AdmissionGate | None) -> AdmissionGate | None:
    """Return the gate that applies a listener's rules for client addresses; None if it has no rules.

    Args:
        table: The listener's configuration.
        old: The gate in use before a reload. It is reused, with its state of client addresses, if no rule has changed.
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


def descriptor_limit() -> int:
    """Return the number of descriptors that the process may have open now."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def divide_resources(plan: Plan) -> ResourceDivision:
    """Divide the process's descriptors and memory among listeners and pools."""
    process = plan.file.process
    descriptors = min(process.descriptors, descriptor_limit())
    limits = ResourceLimits(process.memory / BYTES_PER_MB, descriptors, base_mb=BASE_MB)
    slots = divide_listeners(
        limits.client_sockets,
        limits.overflow_sockets,
        {name: listener.table.share for name, listener in plan.listeners.items()},
    )
    listeners_by_pool: dict[str, set[str]] = {name: set() for name in plan.pools}
    for name, listener in plan.listeners.items():
        for route in plan.routes.values():
            if route.pool is None:
                continue
            if listener.table.routes is None or route.name in listener.table.routes:
                listeners_by_pool[route.pool].add(name)
    weights = {name: pool.table.limits.share for name, pool in plan.pools.items()}
    allocations = divide_pools(limits.buffered, limits.backend_sockets, weights, slots, listeners_by_pool)
    return ResourceDivision(slots, allocations, limits)
