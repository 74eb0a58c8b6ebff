"""What a listener of a configuration is made of, and what each listener and pool may hold of the process."""

from __future__ import annotations

import ipaddress
import math
import resource
from functools import partial

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
    """What makes connections of clients."""
    if table.protocol == "http/1.1":
        return ClientConnection
    return partial(FastCgiFront, requests_most=table.requests_at_once)


def gate_of(table: ListenerTable, old: AdmissionGate | None) -> AdmissionGate | None:
    """The listener's rules for addresses, if it has any. What is known of them outlasts a reload that changes none
    of the caps."""
    own = table.admission
    if own is None and not table.proxy_protocol_from:
        return None
    own = own or AdmissionTable()
    inf = math.inf
    caps = Caps(
        own.connections_per_address or inf,
        own.connects_per_s or inf,
        own.requests_per_address or inf,
        own.growth,
        own.remembered,
    )
    known, exempt, behind = (
        [ipaddress.ip_network(text) for text in networks]
        for networks in (own.known, own.exempt, table.proxy_protocol_from)
    )
    made = AdmissionGate(Admission(caps, known, own.reserve, exempt), behind)
    return old if old is not None and old.is_like(made) else made


def descriptors() -> int:
    """That the process may have now."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def divide(plan: Plan) -> Division:
    """What each listener and each pool may hold of the process."""
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
