"""States of this instance's own name: refutation, earlier generations, and two processes under one name.

Rules:

1. A state that records this process as suspect, dead or left is refuted by a greater incarnation. It also raises the
   local health score.
2. If another process under this name has ended (its state is dead or left, or it had this instance's address), this
   process takes the generation after it.
3. Another process under this name that may live is sent a name-conflict notice. Without an answer within
   ANSWER_TIMEOUTS probe timeouts it is considered ended.
4. Of two living processes one yields the name. A member has precedence over a process that is not one; of two members
   the earlier generation (then the smaller boot id) has precedence, of two joining processes the smaller boot id.
5. The member that keeps the name takes a generation above the other's; the process that yielded it joins once rule 2
   applies.
"""

from __future__ import annotations

import math

from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.dissemination import Dissemination
from loadbalancer.fleet.membership.lifecycle import Lifecycle
from loadbalancer.fleet.membership.local_health import LocalHealth
from loadbalancer.fleet.settings import Address
from loadbalancer.fleet.wire import Hello, NameConflictNotice, Packet

#: Time limit, in probe timeouts, for the answer of another process under our name.
ANSWER_TIMEOUTS = 8.0


class NameConflicts:
    """Decides which process keeps this instance's name; owns the pending check of another one and its timer."""

    def __init__(
        self,
        context: ViewContext,
        dissemination: Dissemination,
        lifecycle: Lifecycle,
        health: LocalHealth,
    ) -> None:
        self._context = context
        self._local = context.local
        self._dissemination = dissemination
        self._lifecycle = lifecycle
        self._health = health
        self._other_process: MemberState | None = None
        self._answer_deadline = math.inf

    @property
    def is_undecided(self) -> bool:
        """Whether the answer of another process under this name is awaited."""
        return self._other_process is not None

    @property
    def next_timer(self) -> float:
        """The deadline for the answer of the other process; infinity while none is awaited."""
        return self._answer_deadline

    def run_timers(self, now: float) -> None:
        """Take over the name if the other process has not answered in time (rule 3)."""
        if self._other_process is not None and now >= self._answer_deadline:
            self._take_over_name(now, self._other_process)

    # Received states of our own name.

    def on_state(self, now: float, state: MemberState) -> None:
        """Handle a received state of this instance's own name."""
        local = self._local
        own = local.state
        if state.boot == local.identity.boot:
            self._refute(now, state)
        elif (state.generation, state.boot) < (own.generation, own.boot) and local.is_member:
            return  # an earlier generation
        elif not state.is_live or state.address == local.identity.address:
            self._take_over_name(now, state)
        elif self._other_process is None or state.rank > self._other_process.rank:
            self._other_process = state
            self._answer_deadline = now + ANSWER_TIMEOUTS * self._context.timers.timeout
            self._send_notice(state.address, state.boot, is_answer=False)

    def _refute(self, now: float, state: MemberState) -> None:
        """Raise the incarnation if a state records this process as not alive (rule 1)."""
        own = self._local.state
        needs_refutation = state.status != MemberStatus.ALIVE and state.incarnation >= own.incarnation
        if self._local.is_member and needs_refutation:
            self._context.counters["refuted"] += 1
            self._health.degrade()
            self._lifecycle.change_state(now, own.generation, state.incarnation + 1)

    def _take_over_name(self, now: float, ended: MemberState) -> None:
        """Take the generation after a process that has ended (rule 2)."""
        self._clear_other_process()
        local = self._local
        generation = max(local.state.generation, ended.generation + 1)
        if local.is_member:
            self._lifecycle.change_state(now, generation, 0)
        elif local.has_yielded_name:
            self._lifecycle.join(now, generation)
        else:
            local.state = local.describe(generation, 0)

    def _clear_other_process(self) -> None:
        self._other_process = None
        self._answer_deadline = math.inf

    # Messages of another process under our name.

    def on_packet(self, now: float, packet: Packet) -> None:
        """Handle a packet whose sender has this instance's name."""
        identity = self._local.identity
        if packet.boot == identity.boot:
            return
        message = packet.message
        if isinstance(message, NameConflictNotice) and packet.to == identity.boot:
            self._on_notice(now, packet.boot, message)
        elif isinstance(message, Hello) and self._local.is_member:
            address = message.host, message.port
            if address != identity.address:  # otherwise an earlier process at this address sent it
                self._keep_name(packet.boot, address, answers=True)

    def _on_notice(self, now: float, boot: int, message: NameConflictNotice) -> None:
        self._clear_other_process()
        address = message.host, message.port
        if not self._has_precedence(boot, message):
            if not self._local.has_yielded_name:
                self._yield_name(now, boot, address, answers=not message.answer)
            return
        self._keep_name(boot, address, answers=not message.answer)
        if self._local.is_member and message.life >= self._local.state.generation:
            self._lifecycle.change_state(now, message.life + 1, 0)

    def _has_precedence(self, boot: int, message: NameConflictNotice) -> bool:
        """Return whether this process has precedence over the sender of the notice (rule 4)."""
        own = self._local.state
        if message.joined != self._local.is_member:
            return self._local.is_member
        if self._local.is_member:
            return (own.generation, own.boot) < (message.life, boot)
        return own.boot < boot

    def _keep_name(self, boot: int, address: Address, answers: bool) -> None:
        self._report_conflict(address, " too; the other process stays out")
        if answers:
            self._send_notice(address, boot, is_answer=True)

    def _yield_name(self, now: float, boot: int, address: Address, answers: bool) -> None:
        if self._local.is_member:
            self._lifecycle.leave(now)
        self._local.yield_name()
        self._report_conflict(address, "; this process stays out")
        if answers:
            self._send_notice(address, boot, is_answer=True)

    def _report_conflict(self, address: Address, decision: str) -> None:
        self._context.counters["clashes"] += 1
        location = f"{address[0]}:{address[1]}"
        text = f"{self._local.identity.name} is at {location}{decision}"
        self._context.notify("two instances under one name", text)

    def _send_notice(self, address: Address, boot: int, is_answer: bool) -> None:
        local = self._local
        generation = local.state.generation
        notice = NameConflictNotice(generation, *local.identity.address, local.is_member, is_answer)
        self._dissemination.send(address, boot, notice)
