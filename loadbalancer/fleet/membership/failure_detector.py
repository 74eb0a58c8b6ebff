"""The failure detector: one member is probed at a time, directly and then through others (SWIM, section 3.1).

Rules:

1. In each probe interval the next member gets a ping. Without an ack in the probe timeout some others are asked to
   probe it (ping-req), and it gets a second ping with this instance's own state, as it may not know this instance.
2. Without any answer until the interval's end the member is suspected. The same silence counts against this instance's
   local health: all helpers that sent neither ack nor nack, or one where nobody was asked.
3. Interval and timeout are multiplied by the local health multiplier (local_health.py).
4. Time in which this instance itself was stopped counts against nobody.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.dissemination import Dissemination
from loadbalancer.fleet.membership.indirect_probes import IndirectProbes
from loadbalancer.fleet.membership.local_health import LocalHealth
from loadbalancer.fleet.membership.member_table import Peer
from loadbalancer.fleet.membership.member_updates import MemberUpdates
from loadbalancer.fleet.membership.probe_messages import ProbeMessages
from loadbalancer.fleet.membership.probe_schedule import ProbeSchedule
from loadbalancer.fleet.membership.state_synchronization import StateSynchronization
from loadbalancer.fleet.wire import Ack, IndirectProbe, Nack, Packet, Ping


@dataclass(slots=True)
class _Probe:
    """The probe that is under way.

    Attributes:
        peer: The member that is probed.
        number: Number of its pings.
        helpers: How many others were asked to probe it.
        nacks: How many of them have sent a nack.
    """

    peer: Peer
    number: int
    helpers: int = 0
    nacks: int = 0


class FailureDetector:
    """Probes members, answers probes, and reports members that do not answer to `MemberUpdates`.

    Attributes:
        health: This instance's local health.
    """

    def __init__(
        self,
        context: ViewContext,
        dissemination: Dissemination,
        updates: MemberUpdates,
        schedule: ProbeSchedule,
        synchronization: StateSynchronization,
    ) -> None:
        self.health = LocalHealth(context.timers.health_most)
        self._context = context
        self._dissemination = dissemination
        self._updates = updates
        self._schedule = schedule
        self._synchronization = synchronization
        self._messages = ProbeMessages(context, dissemination)
        self._indirect_probes = IndirectProbes(context, dissemination, self._messages)
        self._probe: _Probe | None = None
        self._interval_ends_at = math.inf
        self._timeout_at = math.inf

    # Time.

    def start(self, now: float) -> None:
        """Begin to probe, at a random time of the first interval."""
        self._interval_ends_at = now + self._context.timers.period * self._context.random.random()

    @property
    def next_timer(self) -> float:
        """When the probe under way, or one for another instance, needs attention."""
        return min(self._interval_ends_at, self._timeout_at, self._indirect_probes.next_timer)

    def run_timers(self, now: float) -> None:
        """Do what is due: excuse a stall, send nacks, ask helpers, end an interval and begin the next."""
        late = now - self._interval_ends_at
        if late > self._context.timers.timeout:
            self._excuse_stall(now, late)
        self._indirect_probes.run_timers(now)
        if now >= self._timeout_at:
            self._request_indirect_probes()
        if now >= self._interval_ends_at:
            self._conclude_probe(now)
            self._begin_interval(now)

    def _excuse_stall(self, now: float, late: float) -> None:
        """Give up all open probes after this instance was stopped for `late` seconds (rule 4)."""
        self._context.counters["stalls"] += 1
        self.health.degrade()
        self._end_probe()
        self._interval_ends_at = now
        self._indirect_probes.clear()
        self._updates.postpone_suspicions(now, late)

    def _begin_interval(self, now: float) -> None:
        """Ping the next member (rules 1 and 3)."""
        timers = self._context.timers
        multiplier = self.health.multiplier
        jitter = 0.9 + 0.2 * self._context.random.random()
        self._interval_ends_at = now + timers.period * multiplier * jitter
        self._end_probe()
        peer = self._schedule.next_target()
        if peer is not None:
            self._probe = _Probe(peer, self._messages.send_ping(peer))
            self._timeout_at = now + timers.timeout * multiplier

    def _end_probe(self) -> None:
        self._probe = None
        self._timeout_at = math.inf

    def _request_indirect_probes(self) -> None:
        """Have others probe the member: the direct way alone may be lost (rule 1)."""
        self._timeout_at = math.inf
        probe = self._probe
        if probe is None:
            return
        others = [peer for peer in self._context.table.living if peer is not probe.peer]
        helpers = self._context.random.sample(others, min(self._context.timers.helpers, len(others)))
        probe.helpers = len(helpers)
        for helper in helpers:
            self._dissemination.send_to(helper, IndirectProbe(probe.number, probe.peer.state.name))
        self._messages.repeat_ping(probe.peer, probe.number, self._context.local.state)

    def _conclude_probe(self, now: float) -> None:
        """Suspect the member whose probe is still open at the end of its interval (rule 2)."""
        probe = self._probe
        if probe is None:
            return
        self._probe = None
        silent_helpers = max(0, probe.helpers - probe.nacks)
        self.health.degrade(silent_helpers if probe.helpers else 1)
        if probe.peer.is_live:
            self._updates.suspect(now, probe.peer)

    # Messages.

    def on_ping(self, now: float, packet: Packet, message: Ping) -> None:
        """Answer a member that is known in this process; another one's own state comes with the ping or soon."""
        peer = self._context.table.get_process(packet.sender, packet.boot)
        if peer is None:
            return
        peer.phase = message.phase
        self._messages.send_ack(peer, message.number)
        self._synchronization.compare_digest(now, peer, message.digest)

    def on_ack(self, now: float, packet: Packet, message: Ack) -> None:
        """End the probe that this answers, directly or through a helper."""
        peer = self._context.table.get_process(packet.sender, packet.boot)
        if peer is not None:
            peer.phase = message.phase
            self._synchronization.compare_digest(now, peer, message.digest)
        self._indirect_probes.on_ack(message.number)
        probe = self._probe
        if probe is not None and message.number == probe.number:
            self._end_probe()
            if packet.sender == probe.peer.state.name:
                self.health.improve()

    def on_indirect_probe(self, now: float, packet: Packet, message: IndirectProbe) -> None:
        """Probe a member for another instance."""
        self._indirect_probes.on_request(now, packet, message)

    def on_nack(self, message: Nack) -> None:
        """Count a helper that can be reached, and has no answer either."""
        probe = self._probe
        if probe is not None and message.number == probe.number:
            probe.nacks += 1
