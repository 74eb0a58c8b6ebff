"""Probes on behalf of other instances (ping-req of SWIM; nacks are an addition of Lifeguard).

An instance that gets no answer from a member asks this instance to probe that member. An answer is forwarded to the
requester as an ack. Without an answer in time the requester is sent a nack, which tells it that at least this instance
can be reached.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.dissemination import Dissemination
from loadbalancer.fleet.membership.member_table import Peer
from loadbalancer.fleet.membership.probe_messages import ProbeMessages
from loadbalancer.fleet.wire import IndirectProbe, Nack, Packet

#: Maximum number of open probes for others; above it the oldest is dropped.
MAX_INDIRECT_PROBES = 256
#: A nack is sent after this share of the probe timeout, so that it arrives while the requester still waits.
NACK_AFTER_TIMEOUTS = 0.8
#: Time after the nack, in probe timeouts, during which a late answer is still forwarded.
LATE_ACK_TIMEOUTS = 4.0


@dataclass(slots=True)
class _IndirectProbe:
    """One probe on behalf of another instance.

    Attributes:
        requester: Name of the instance that asked.
        number: Sequence number of its probe, which the answer repeats.
        due: Time at which the nack is sent; once it is sent, time at which the probe is dropped.
        nack_sent: Whether the nack has been sent.
    """

    requester: str
    number: int
    due: float
    nack_sent: bool = False


class IndirectProbes:
    """Probes members on behalf of other instances; owns the open probes and their timer."""

    def __init__(self, context: ViewContext, dissemination: Dissemination, messages: ProbeMessages) -> None:
        self._context = context
        self._dissemination = dissemination
        self._messages = messages
        self._open: dict[int, _IndirectProbe] = {}  # by sequence number of our own ping
        self._next_due = math.inf

    @property
    def next_timer(self) -> float:
        """The earliest time at which a nack is due or a probe is to be dropped."""
        return self._next_due

    def clear(self) -> None:
        """Drop all open probes."""
        self._open.clear()

    def on_request(self, now: float, packet: Packet, message: IndirectProbe) -> None:
        """Probe a member on behalf of the sender of a packet."""
        target = self._context.table.get(message.target)
        if target is None or self._context.table.get(packet.sender) is None:
            return
        if len(self._open) >= MAX_INDIRECT_PROBES:
            del self._open[next(iter(self._open))]
        due = now + NACK_AFTER_TIMEOUTS * self._context.timers.timeout
        number = self._messages.send_ping(target)
        self._open[number] = _IndirectProbe(packet.sender, message.number, due)
        self._next_due = min(self._next_due, due)

    def on_ack(self, number: int) -> None:
        """Forward an ack to the requester if it answers a probe on behalf of another instance."""
        probe = self._open.pop(number, None)
        requester = self._requester(probe) if probe is not None else None
        if probe is not None and requester is not None:
            self._messages.send_ack(requester, probe.number)

    def _requester(self, probe: _IndirectProbe) -> Peer | None:
        return self._context.table.get(probe.requester)

    def run_timers(self, now: float) -> None:
        """Send nacks for probes without an answer, and drop those whose answer would come too late."""
        if now < self._next_due:
            return
        self._next_due = math.inf
        for number, probe in list(self._open.items()):
            if now >= probe.due:
                if probe.nack_sent:
                    del self._open[number]
                    continue
                self._send_nack(now, probe)
            self._next_due = min(self._next_due, probe.due)

    def _send_nack(self, now: float, probe: _IndirectProbe) -> None:
        probe.nack_sent = True
        probe.due = now + LATE_ACK_TIMEOUTS * self._context.timers.timeout
        requester = self._requester(probe)
        if requester is not None:
            self._dissemination.send_to(requester, Nack(probe.number))
