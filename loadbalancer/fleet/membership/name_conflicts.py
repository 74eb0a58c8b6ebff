"""What others state of this instance's own name: refutation, earlier generations, and two processes under one name.

Rules:

1. A suspicion, or worse, of this process is refuted by a greater incarnation. It also counts against the local health.
2. Another process under this name whose generation is over (it does not live, or had this instance's address) makes
   this one the generation after it.
3. Another process that may live is asked (name-conflict notice). Without an answer within ANSWER_TIMEOUTS probe
   timeouts it counts as over.
4. Of two living processes one stays out. A member stays before one that is not; of two members the one of the earlier
   generation (then the smaller boot id) stays, of two joining ones the one with the smaller boot id.
5. The one that stays takes a generation above the other's; the one that is out comes in once rule 2 applies.
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

#: Probe timeouts that another process under our name has for an answer.
ANSWER_TIMEOUTS = 8.0


class NameConflicts:
    """Decides which process has this instance's name; owns the check of another one and its timer."""

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
        self._rival: MemberState | None = None
        self._rival_answers_by = math.inf

    @property
    def is_undecided(self) -> bool:
        """Whether another process under this name has been asked whether it lives."""
        return self._rival is not None

    @property
    def next_timer(self) -> float:
        """When the other process counts as over without an answer."""
        return self._rival_answers_by

    def run_timers(self, now: float) -> None:
        """Take the name where the other process has not answered in time (rule 3)."""
        if self._rival is not None and now >= self._rival_answers_by:
            self._succeed(now, self._rival)

    # What is stated of our name.

    def on_state(self, now: float, state: MemberState) -> None:
        """Judge a state of this instance's own name that another one has sent."""
        local = self._local
        own = local.state
        if state.boot == local.identity.boot:
            self._refute(now, state)
        elif (state.generation, state.boot) < (own.generation, own.boot) and local.is_member:
            return  # a generation that is over
        elif not state.is_live or state.address == local.identity.address:
            self._succeed(now, state)
        elif self._rival is None or state.rank > self._rival.rank:
            self._rival = state
            self._rival_answers_by = now + ANSWER_TIMEOUTS * self._context.timers.timeout
            self._send_notice(state.address, state.boot, is_answer=False)

    def _refute(self, now: float, state: MemberState) -> None:
        """Raise the incarnation where this process is not held alive (rule 1)."""
        own = self._local.state
        is_accused = state.status != MemberStatus.ALIVE and state.incarnation >= own.incarnation
        if self._local.is_member and is_accused:
            self._context.counters["refuted"] += 1
            self._health.degrade()
            self._lifecycle.change_state(now, own.generation, state.incarnation + 1)

    def _succeed(self, now: float, ended: MemberState) -> None:
        """Become the generation after one that is over (rule 2)."""
        self._forget_rival()
        local = self._local
        generation = max(local.state.generation, ended.generation + 1)
        if local.is_member:
            self._lifecycle.change_state(now, generation, 0)
        elif local.is_out:
            self._lifecycle.join(now, generation)
        else:
            local.state = local.describe(generation, 0)

    def _forget_rival(self) -> None:
        self._rival = None
        self._rival_answers_by = math.inf

    # What another process under our name sends.

    def on_packet(self, now: float, packet: Packet) -> None:
        """Handle a message whose sender has this instance's name."""
        identity = self._local.identity
        if packet.boot == identity.boot:
            return
        message = packet.message
        if isinstance(message, NameConflictNotice) and packet.to == identity.boot:
            self._on_notice(now, packet.boot, message)
        elif isinstance(message, Hello) and self._local.is_member:
            address = message.host, message.port
            if address != identity.address:  # else an earlier process at this address has sent it
                self._keep_name(packet.boot, address, answers=True)

    def _on_notice(self, now: float, boot: int, message: NameConflictNotice) -> None:
        self._forget_rival()
        address = message.host, message.port
        if not self._has_precedence(boot, message):
            if not self._local.is_out:
                self._yield_name(now, boot, address, answers=not message.answer)
            return
        self._keep_name(boot, address, answers=not message.answer)
        if self._local.is_member and message.life >= self._local.state.generation:
            self._lifecycle.change_state(now, message.life + 1, 0)

    def _has_precedence(self, boot: int, message: NameConflictNotice) -> bool:
        """Return whether this process keeps the name (rule 4)."""
        own = self._local.state
        if message.joined != self._local.is_member:
            return self._local.is_member
        if self._local.is_member:
            return (own.generation, own.boot) < (message.life, boot)
        return own.boot < boot

    def _keep_name(self, boot: int, address: Address, answers: bool) -> None:
        self._report_conflict(address, " too; that one stays out")
        if answers:
            self._send_notice(address, boot, is_answer=True)

    def _yield_name(self, now: float, boot: int, address: Address, answers: bool) -> None:
        if self._local.is_member:
            self._lifecycle.leave(now)
        self._local.stay_out()
        self._report_conflict(address, "; this one stays out")
        if answers:
            self._send_notice(address, boot, is_answer=True)

    def _report_conflict(self, address: Address, decision: str) -> None:
        self._context.counters["clashes"] += 1
        place = f"{address[0]}:{address[1]}"
        text = f"{self._local.identity.name} is at {place}{decision}"
        self._context.notify("two instances under one name", text)

    def _send_notice(self, address: Address, boot: int, is_answer: bool) -> None:
        local = self._local
        generation = local.state.generation
        notice = NameConflictNotice(generation, *local.identity.address, local.is_member, is_answer)
        self._dissemination.send(address, boot, notice)
