"""Sending of pings and acks, which carry the sender's digest and recovery phase."""

from __future__ import annotations

from loadbalancer.fleet.member_state import MemberState
from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.dissemination import Dissemination
from loadbalancer.fleet.membership.member_table import Peer
from loadbalancer.fleet.wire import Ack, Ping


class ProbeMessages:
    """Sends pings and acks; owns the sequence numbers of this instance's pings, direct and on behalf of others."""

    def __init__(self, context: ViewContext, dissemination: Dissemination) -> None:
        self._context = context
        self._dissemination = dissemination
        self._last_number = 0

    def send_ping(self, peer: Peer) -> int:
        """Ping a member and return the sequence number of the ping, which its ack repeats."""
        self._last_number += 1
        self.repeat_ping(peer, self._last_number)
        return self._last_number

    def repeat_ping(self, peer: Peer, number: int, *own_states: MemberState) -> None:
        """Ping a member with an existing sequence number and additional states."""
        context = self._context
        message = Ping(number, context.table.digest, context.local.recovery_phase)
        self._dissemination.send_to(peer, message, *own_states)

    def send_ack(self, peer: Peer, number: int) -> None:
        """Answer a ping, or forward the answer of an indirect probe."""
        context = self._context
        message = Ack(number, context.table.digest, context.local.recovery_phase)
        self._dissemination.send_to(peer, message)
