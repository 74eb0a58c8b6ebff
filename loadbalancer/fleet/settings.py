"""The fleet settings of an instance, and the timers of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Mapping

#: Host and port, in the form that sockets use.
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Timers:
    """Holds the timers and bounds of the membership protocol, in seconds unless stated otherwise.

    Attributes:
        probe_interval: Time between two probes by one instance. Half of it detects a crash sooner and doubles the
            traffic.
        timeout: Time limit for a direct answer to a probe, after which helpers are asked to probe. Above the 99th
            percentile of the delay of a busy event loop.
        helpers: Number of other members that are asked to probe a member.
        suspicion: Minimum duration of a suspicion in probe intervals; it is multiplied by the logarithm of the fleet's
            size.
        max_suspicion_factor: Maximum duration of a suspicion, if it is not confirmed, as a multiple of the minimum.
        confirmations: Number of confirmations by other instances after which a suspicion has its minimum duration.
        max_health_score: Maximum local health score; 1 plus the score is the factor by which an instance that is slow
            itself lengthens its probe interval and timeout.
        gossip_interval: Time between two rounds in which queued member states are sent. It does not depend on the
            probe interval, since an instance of poor local health probes rarely, and must not be the last to know.
        periodic_exchange_interval: Time between two periodic exchanges of whole views.
        min_exchange_interval: Minimum time between two exchanges of whole views; larger in a large fleet.
        first_reconnect_interval: Time until the first hello to a dead member; the interval doubles with each hello.
        max_reconnect_interval: Maximum time between two hellos to a dead member.
        late_reconnect_after: Time since a member's death after which `max_late_reconnect_interval` applies instead.
        max_late_reconnect_interval: Maximum time between two hellos to a member that has been dead for long.
        min_reconnect_spacing: Minimum time between two hellos to any dead members, which bounds the cost of many.
        forget_after: Time after which a member that is dead or has left is forgotten.
        joining: Time after which an instance that has received no whole table joins alone, and serves.
        hello_interval: Time between two hellos to seeds that are not known to live.
        settle_time: Time without a change after which a view can count as settled.
    """

    probe_interval: float = 0.5
    timeout: float = 0.2
    helpers: int = 3
    suspicion: float = 3.0
    max_suspicion_factor: float = 4.0
    confirmations: int = 3
    max_health_score: int = 8
    gossip_interval: float = 0.2
    periodic_exchange_interval: float = 30.0
    min_exchange_interval: float = 0.5
    first_reconnect_interval: float = 1.0
    max_reconnect_interval: float = 5.0
    max_late_reconnect_interval: float = 60.0
    late_reconnect_after: float = 600.0
    min_reconnect_spacing: float = 0.25
    forget_after: float = 86_400.0
    joining: float = 2.0
    hello_interval: float = 1.0
    settle_time: float = 2.0


#: Timers by profile name (`[fleet] profile`).
PROFILES: Mapping[str, Timers] = {
    # One data centre: round trips take a few ms, and a pause of half a second is rare.
    "lan": Timers(),
    # Several data centres: lost datagrams and latencies of 100 ms are common. A crash is detected in some 10 s.
    "wan": replace(Timers(), probe_interval=1.0, timeout=0.45, gossip_interval=0.5, min_exchange_interval=2.0,
                   first_reconnect_interval=2.0, max_reconnect_interval=16.0, joining=5.0, hello_interval=2.0,
                   settle_time=5.0),
    # Tests on one machine that wait until members are declared dead: several times as fast as `lan`.
    "swift": replace(Timers(), probe_interval=0.15, timeout=0.06, gossip_interval=0.06, min_exchange_interval=0.15,
                     first_reconnect_interval=0.25, max_reconnect_interval=1.0, min_reconnect_spacing=0.05,
                     joining=0.6, hello_interval=0.25, settle_time=0.5),
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Identity:
    """Identifies one process of an instance.

    Attributes:
        name: Its name in the fleet.
        boot: Boot id, drawn at random at each start of the process; never 0.
        address: The address at which other instances reach it.
        zone: Its availability zone; empty if none is configured.
    """

    name: str
    boot: int
    address: Address
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """Holds the fleet settings of an instance.

    Attributes:
        seeds: Addresses that are sent hellos in order to find the fleet.
        instances: Expected number of instances in the fleet.
        timers: Timers of the membership protocol.
    """

    seeds: tuple[Address, ...] = ()
    instances: int = 1
    timers: Timers = Timers()
