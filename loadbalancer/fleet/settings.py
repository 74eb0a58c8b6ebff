"""What an instance is told of its fleet, and the timers of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Mapping

#: Host and port, as sockets have them.
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Timers:
    """The timers and bounds of the membership protocol; seconds where nothing else is said.

    Attributes:
        period: Between two probes of an instance. Half of it finds a crash sooner and doubles the traffic.
        timeout: For a direct answer; after it others are asked to probe. Above the 99th percentile of a busy loop.
        helpers: How many others are asked to probe.
        suspicion: Minimum time of a suspicion, in periods, times the logarithm of the fleet's size.
        patience: How many times the minimum a suspicion lasts that nobody else confirms.
        confirmations: By others, after which the minimum is enough.
        health_most: Factor by which an instance that is slow itself stretches its own timers, at most.
        gossip: Between two sends of member states that wait. It does not depend on the pace of probes, since an
            instance that doubts itself probes rarely, and must not be the last to know.
        exchange: Between two exchanges of whole views that nothing has called for.
        mend: Minimum between two exchanges that a difference between views has called for.
        try_first: After which a dead member is tried first; each later try comes after twice the time.
        try_most: Maximum between two tries.
        late_after: After which a dead member is tried up to `try_late` apart only.
        try_late: Maximum between two tries from then on.
        try_each: Minimum between two tries of any dead members, which bounds the cost of many.
        forget: After which a member that is dead or has left is forgotten.
        joining: After which an instance that nobody answers counts itself alone, and serves.
        hello: Between two calls to seeds that are not known to live.
        hold: A view that has not changed for so long counts as settled.
    """

    period: float = 0.5
    timeout: float = 0.2
    helpers: int = 3
    suspicion: float = 3.0
    patience: float = 4.0
    confirmations: int = 3
    health_most: int = 8
    gossip: float = 0.2
    exchange: float = 30.0
    mend: float = 0.5
    try_first: float = 1.0
    try_most: float = 5.0
    try_late: float = 60.0
    late_after: float = 600.0
    try_each: float = 0.25
    forget: float = 86_400.0
    joining: float = 2.0
    hello: float = 1.0
    hold: float = 2.0


#: By the name that stands in `[fleet] profile`.
PROFILES: Mapping[str, Timers] = {
    # One data centre: answers come within a few ms, and a pause of half a second is rare.
    "lan": Timers(),
    # Several data centres: a lost datagram is usual, and so are 100 ms on the way. A crash is found in some 10 s.
    "wan": replace(Timers(), period=1.0, timeout=0.45, gossip=0.5, mend=2.0, try_first=2.0, try_most=16.0, joining=5.0,
                   hello=2.0, hold=5.0),
    # Tests on one machine that have to wait for deaths: several times as fast.
    "swift": replace(Timers(), period=0.15, timeout=0.06, gossip=0.06, mend=0.15, try_first=0.25, try_most=1.0,
                     try_each=0.05, joining=0.6, hello=0.25, hold=0.5),
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Identity:
    """Who an instance is.

    Attributes:
        name: Its name in the fleet.
        boot: Drawn at each start of the process; never 0.
        address: At which others reach it.
        zone: Its availability zone; empty where none is configured.
    """

    name: str
    boot: int
    address: Address
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told of its fleet.

    Attributes:
        seeds: Where other instances are looked for at the start.
        instances: How many instances there should be.
        timers: Of the membership protocol.
    """

    seeds: tuple[Address, ...] = ()
    instances: int = 1
    timers: Timers = Timers()
