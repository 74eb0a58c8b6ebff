"""Status changes of the other members: joined, suspected, dead, left, returned, forgotten.

Rules:

1. Received states are applied by rank (member_state.py). A state that changes the table is disseminated further.
2. A failed probe only makes the member suspect. It is declared dead when the suspicion expires.
3. A member that lives here and that a received whole table records as dead becomes only suspect, as the other instance
   may come from the other side of a healed partition.
4. An instance that receives a suspicion may probe the suspect at once, so that the suspicion is confirmed or refuted
   within one probe interval. On average MEAN_SUSPICION_CHECKERS instances of the whole fleet do so.
"""

from __future__ import annotations

import math

from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.dissemination import Dissemination
from loadbalancer.fleet.membership.member_deadlines import MemberDeadlines
from loadbalancer.fleet.membership.member_table import Peer
from loadbalancer.fleet.membership.probe_schedule import ProbeSchedule
from loadbalancer.fleet.membership.reconnection import Reconnection

#: Mean number of living members that probe the suspect of a received suspicion: enough to confirm it.
MEAN_SUSPICION_CHECKERS = 6.0


class MemberUpdates:
    """Applies member states to the table and acts on each change: gossip, log, suspicion, reconnection."""

    def __init__(
        self,
        context: ViewContext,
        dissemination: Dissemination,
        reconnection: Reconnection,
        probe_schedule: ProbeSchedule,
    ) -> None:
        self._context = context
        self._dissemination = dissemination
        self._reconnection = reconnection
        self._probe_schedule = probe_schedule
        self._deadlines = MemberDeadlines(context)

    # States received from other instances.

    def apply_synchronized(self, now: float, state: MemberState) -> None:
        """Apply a state of another member that was received in a whole table (rule 3)."""
        peer = self._context.table.get_process(state.name, state.boot)
        if (
            peer is not None
            and peer.is_live
            and state.status == MemberStatus.DEAD
            and state.generation == peer.state.generation
        ):
            state = self._restate(state, MemberStatus.SUSPECT)
        self.apply(now, state)

    def apply(self, now: float, state: MemberState) -> None:
        """Apply a state of another member (rule 1)."""
        known = self._context.table.get(state.name)
        if known is not None and state.status == MemberStatus.SUSPECT and state.rank == known.state.rank:
            self._confirm_suspicion(known, state)
            return
        previous = known.state.status if known is not None else None
        peer = self._context.table.apply(state, now)
        if peer is not None:
            self._dissemination.queue.add(state)
            self._on_change(now, peer, previous)

    def restore(self, now: float, state: MemberState) -> None:
        """Restore a state from the previous process without disseminating it; a suspicion is restarted."""
        peer = self._context.table.apply(state, now)
        if peer is not None and state.status == MemberStatus.SUSPECT:
            peer.suspicion.restart(now, state.reported_by)
            self._deadlines.update(peer)

    def _confirm_suspicion(self, peer: Peer, state: MemberState) -> None:
        """Record a further reporter of a suspicion, and disseminate it while more confirmations are needed."""
        reporters = peer.suspicion.reporters
        if state.reported_by in reporters or len(reporters) > self._context.timers.confirmations:
            return
        reporters.add(state.reported_by)
        self._dissemination.queue.add(state)
        self._deadlines.update(peer)

    def _on_change(self, now: float, peer: Peer, previous: MemberStatus | None) -> None:
        """Act on a changed row; `previous` is its earlier status, None for a new name."""
        state = peer.state
        context = self._context
        match state.status:
            case MemberStatus.SUSPECT:
                self._on_suspected(now, peer)
            case MemberStatus.DEAD:
                context.counters["died"] += 1
                self._reconnection.schedule_first(now, peer)
                context.notify(
                    "an instance is held dead", f"{state.name}, by {state.reported_by or 'others'}"
                )
            case MemberStatus.LEFT:
                context.notify("an instance has left", state.name)
            case MemberStatus.ALIVE:
                self._on_alive(now, peer, previous)
        self._deadlines.update(peer)

    def _on_suspected(self, now: float, peer: Peer) -> None:
        """Start a suspicion; if another instance reported it, request a probe of the suspect by rule 4."""
        context = self._context
        peer.suspicion.restart(now, peer.state.reported_by)
        context.counters["suspected"] += 1
        if peer.state.reported_by != context.local.identity.name:
            share = MEAN_SUSPICION_CHECKERS / context.table.fleet_size
            if context.random.random() < share:
                self._probe_schedule.request(peer)

    def _on_alive(self, now: float, peer: Peer, previous: MemberStatus | None) -> None:
        """Log that a member has joined or returned; after the return of a dead one, contact the other dead early."""
        state = peer.state
        context = self._context
        if previous is None:
            context.notify("an instance has joined", f"{state.name} at {state.host}:{state.port}")
        elif previous in (MemberStatus.DEAD, MemberStatus.LEFT):
            context.counters["returned"] += 1
            context.notify("an instance is back", state.name)
            if previous == MemberStatus.DEAD:
                self._deadlines.check_by(self._reconnection.schedule_early_hellos(now))

    # Findings of this instance.

    def suspect(self, now: float, peer: Peer) -> None:
        """Suspect a member whose probe has failed (rule 2)."""
        self.apply(now, self._restate(peer.state, MemberStatus.SUSPECT))

    def postpone_suspicions(self, now: float, seconds: float) -> None:
        """Extend all suspicions by the last `seconds`, during which this instance could not receive refutations."""
        for peer in self._context.table:
            if peer.state.status == MemberStatus.SUSPECT:
                peer.suspicion.postpone(now, seconds)
        self._deadlines.check_by(now)

    def _restate(self, state: MemberState, status: MemberStatus) -> MemberState:
        """Return a copy of a state with another status, reported by this instance."""
        return MemberState(
            state.name,
            state.boot,
            state.generation,
            state.incarnation,
            status,
            state.host,
            state.port,
            state.zone,
            self._context.local.identity.name,
        )

    # Time.

    def next_timer(self, now: float) -> float:
        """Return the time at which the next row is due. `now` is the time of the last event."""
        earliest = self._deadlines.earliest
        if earliest < now:  # dead members are due and wait for the rate limit of reconnection
            return max(earliest, self._reconnection.next_hello_at)
        return earliest

    def run_timers(self, now: float) -> None:
        """Handle all rows that are due."""
        for peer in self._deadlines.due(now):
            self._handle_due(now, peer)

    def _handle_due(self, now: float, peer: Peer) -> None:
        if peer.state.status == MemberStatus.SUSPECT:
            self.apply(now, self._restate(peer.state, MemberStatus.DEAD))
        elif now >= self._deadlines.forget_at(peer):
            self._context.table.forget(peer.state.name)
            peer.status_since = math.inf  # so that its deadline is not included in the next earliest one
        else:
            self._reconnection.send_hello_if_allowed(now, peer)
