"""What an instance is told of its fleet, and the timers of the protocol with their reasons."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Mapping

#: Host and port.
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Timers:
    """Seconds, unless it says otherwise.

    period: each instance probes one other in it. Twice as short finds a crash sooner and doubles the traffic.
    timeout: for a direct answer; past it others are asked. Over the 99th of an event loop that is full of requests.
    helpers: how many others are asked to try in our place.
    suspicion: least time of a suspicion, in periods, times the logarithm of the fleet; others' word spreads in it.
    patience: times the least that a suspicion lasts which nobody confirms.
    confirmations: of others after which the least is enough.
    health_most: times by which an instance that is slow itself stretches its own timers, at most.
    gossip: words that wait go to some others in it, whatever the pace of probes: an instance that doubts itself probes
        rarely, and must not be the last to know.
    exchange: between two whole exchanges with one peer that nothing has called for.
    mend: the least between two exchanges that a difference has called for.
    try_first, try_most, try_late: the dead are tried after the first, each time later up to the second, and from
        `late_after` on up to the third.
    try_each: the least between two tries of whatever dead, which bounds what many dead cost.
    forget: the dead and those that left are remembered for so long.
    joining: an instance that hears nobody counts itself alone after this, and serves.
    hello: between two calls at seeds that are not known to live.
    hold: unchanged for so long, a view counts as settled.
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


#: By name, as `[fleet] profile` says it.
PROFILES: Mapping[str, Timers] = {
    # One data centre: answers within a few ms, half a second of pause is rare.
    "lan": Timers(),
    # Several of them: a lost datagram is usual, and 100 ms of way too; a crash is found in some 10 s.
    "wan": replace(Timers(), period=1.0, timeout=0.45, gossip=0.5, mend=2.0, try_first=2.0, try_most=16.0, joining=5.0,
                   hello=2.0, hold=5.0),
    # Tests on one machine that have to wait for deaths: all of it four times as fast, and as impatient.
    "swift": replace(Timers(), period=0.15, timeout=0.06, gossip=0.06, mend=0.15, try_first=0.25, try_most=1.0,
                     try_each=0.05, joining=0.6, hello=0.25, hold=0.5),
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Identity:
    """Who an instance is. `boot`: of this start of the process, drawn at random; never 0."""

    name: str
    boot: int
    address: Address  # at which others reach it
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    seeds: tuple[Address, ...] = ()
    instances: int = 1  # how many there should be
    timers: Timers = Timers()
