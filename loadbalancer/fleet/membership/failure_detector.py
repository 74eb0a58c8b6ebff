"""The failure detector: probes one member at a time, directly and then through others (SWIM, section 3.1).

Rules:

1. In each probe interval the next member is sent a ping. Without an ack within the probe timeout some other members
   are asked to probe it (ping-req), and it is sent a second ping with this instance's own state, as it may not know
   this instance.
2. A member that has not answered by the end of the interval is suspected. The local health score of this instance is
   raised too: by the number of helpers that sent neither ack nor nack, or by one if no helper was asked.
3. The interval and the timeout are multiplied by the local health multiplier (local_health.py).
4. Time during which this instance itself was stopped is not counted against any member.
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
    """The probe in flight.

    Attributes:
        peer: The member that is probed.
        number: Sequence number that its pings carry.
        helpers: Number of other members that were asked to probe it.
        nacks: Number of helpers that have sent a nack.
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
        self.health = LocalHealth(context.timers.max_health_score)
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
        """Start probing after a random part of the first interval."""
        self._interval_ends_at = now + self._context.timers.probe_interval * self._context.random.random()

    @property
    def next_timer(self) -> float:
        """The earliest deadline of the probe in flight, the probe interval and the probes for other instances."""
        return min(self._interval_ends_at, self._timeout_at, self._indirect_probes.next_timer)

    def run_timers(self, now: float) -> None:
        """Handle expired deadlines: a stall, overdue nacks, the probe timeout and the end of the probe interval."""
        stall_s = now - self._interval_ends_at
        if stall_s > self._context.timers.timeout:
            self._handle_stall(now, stall_s)
        self._indirect_probes.run_timers(now)
        if now >= self._timeout_at:
            self._request_indirect_probes()
        if now >= self._interval_ends_at:
            self._conclude_probe(now)
            self._begin_interval(now)

    def _handle_stall(self, now: float, stall_s: float) -> None:
        """Abandon all open probes after this instance was stopped for `stall_s` seconds (rule 4)."""
        self._context.counters["stalls"] += 1
        self.health.degrade()
        self._end_probe()
        self._interval_ends_at = now
        self._indirect_probes.clear()
        self._updates.postpone_suspicions(now, stall_s)

    def _begin_interval(self, now: float) -> None:
        """Start the next probe interval and ping the next member (rules 1 and 3)."""
        timers = self._context.timers
        multiplier = self.health.multiplier
        jitter = 0.9 + 0.2 * self._context.random.random()
        self._interval_ends_at = now + timers.probe_interval * multiplier * jitter
        self._end_probe()
        peer = self._schedule.next_target()
        if peer is not None:
            self._probe = _Probe(peer, self._messages.send_ping(peer))
            self._timeout_at = now + timers.timeout * multiplier

    def _end_probe(self) -> None:
        self._probe = None
        self._timeout_at = math.inf

    def _request_indirect_probes(self) -> None:
        """Ask other members to probe the target, as only the direct path to it may have failed (rule 1)."""
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
        """Suspect the probed member if its probe is still open at the end of the interval (rule 2)."""
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
        """Send an ack to a known process; the state of an unknown one comes with its ping or soon after."""
        peer = self._context.table.get_process(packet.sender, packet.boot)
        if peer is None:
            return
        peer.phase = message.phase
        self._messages.send_ack(peer, message.number)
        self._synchronization.compare_digest(now, peer, message.digest)

    def on_ack(self, now: float, packet: Packet, message: Ack) -> None:
        """End the probe that an ack answers, whether the ack came directly or through a helper."""
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
        """Probe a member on behalf of another instance."""
        self._indirect_probes.on_request(now, packet, message)

    def on_nack(self, message: Nack) -> None:
        """Count a nack: the helper can be reached, but had no answer from the target."""
        probe = self._probe
        if probe is not None and message.number == probe.number:
            probe.nacks += 1
