"""What all parts of one membership view have in common."""

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
    """The subject of the view, its table, and where decisions go.

    Attributes:
        local: This instance.
        timers: The protocol's timers.
        random: Source of all random draws; their order is part of the view's behaviour.
        table: All other members.
        counters: Events by name, for `fleet status`.
    """

    local: LocalMember
    timers: Timers
    random: random.Random
    table: MemberTable = field(default_factory=MemberTable)
    counters: Counter[str] = field(default_factory=Counter)
    _actions: list[Action] = field(default_factory=list)

    def request(self, action: Action) -> None:
        """Have an action carried out after the event that is being handled, in the order of requests."""
        self._actions.append(action)

    def notify(self, event: str, text: str) -> None:
        """Have a line written to the log."""
        self.request(MembershipNotice(event, text))

    def take_actions(self) -> list[Action]:
        """Return the actions that were requested since the last call."""
        actions = self._actions
        self._actions = []
        return actions
