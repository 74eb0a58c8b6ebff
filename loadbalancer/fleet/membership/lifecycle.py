"""Joining the fleet, changes of this instance's own state, and leaving."""

from __future__ import annotations

from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.dissemination import Dissemination
from loadbalancer.fleet.membership.failure_detector import FailureDetector
from loadbalancer.fleet.membership.state_synchronization import StateSynchronization

#: Number of members that are sent the leave directly; they disseminate it further.
LEAVE_FANOUT = 16


class Lifecycle:
    """Changes this instance's own state, updates the table's digest, and announces the change at once."""

    def __init__(
        self,
        context: ViewContext,
        dissemination: Dissemination,
        detector: FailureDetector,
        synchronization: StateSynchronization,
    ) -> None:
        self._context = context
        self._dissemination = dissemination
        self._detector = detector
        self._synchronization = synchronization

    def join(self, now: float, generation: int) -> None:
        """Become a member of the fleet, start probing and anti-entropy, and announce it to some members at once."""
        local = self._context.local
        local.become_member(local.describe(max(1, generation), 0))
        self._context.table.replace_own_state(local.state, None, now)
        self._detector.start(now)
        self._synchronization.start(now)
        self._announce(local.state, self._context.timers.helpers)

    def change_state(self, now: float, generation: int, incarnation: int) -> None:
        """Replace this member's own state by one of greater rank, and announce it to some members at once."""
        local = self._context.local
        previous = local.state
        local.become_member(local.describe(generation, incarnation))
        self._context.table.replace_own_state(local.state, previous, now)
        self._announce(local.state, self._context.timers.helpers)

    def leave(self, now: float) -> None:
        """Leave the fleet, and announce it to LEAVE_FANOUT members at once."""
        local = self._context.local
        previous = local.state
        left = local.describe(previous.generation, previous.incarnation, MemberStatus.LEFT)
        self._context.table.replace_own_state(left, previous, now)
        local.cease_membership(left)
        self._announce(left, LEAVE_FANOUT)

    def _announce(self, state: MemberState, fanout: int) -> None:
        self._dissemination.queue.add(state)
        self._dissemination.spread(fanout)
