"""The state that all components of one membership view share."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from loadbalancer.fleet.membership.events import Action, MembershipNotice
from loadbalancer.fleet.membership.local_member import LocalMember
from loadbalancer.fleet.membership.member_table import MemberTable
from loadbalancer.fleet.settings import Timers


@dataclass(slots=True)
class ViewContext:
    """Holds the local member, the member table, and the actions that the components have requested.

    Attributes:
        local: This instance as a member of the fleet.
        timers: The protocol's timers.
        random: Source of all random numbers; the order of the draws is part of the view's behaviour.
        table: All other members.
        counters: Number of events by name, for `fleet status`.
    """

    local: LocalMember
    timers: Timers
    random: random.Random
    table: MemberTable = field(default_factory=MemberTable)
    counters: Counter[str] = field(default_factory=Counter)
    _actions: list[Action] = field(default_factory=list)

    def request(self, action: Action) -> None:
        """Queue an action; actions run in the order of requests, after the current event has been handled."""
        self._actions.append(action)

    def notify(self, event: str, text: str) -> None:
        """Request a log line."""
        self.request(MembershipNotice(event, text))

    def take_actions(self) -> list[Action]:
        """Return the actions that were requested since the last call, and clear the queue."""
        actions = self._actions
        self._actions = []
        return actions
