"""Restarting a whole fleet: group after group, the next once the one before is in full service.

Rules:

1. Nobody is restarted while another instance is down, recovering, or has not reported its recovery phase.
2. A group is over once each of its instances runs as another process and reports full service.
3. A group that is not over in GROUP_TIMEOUT_S, or a fleet that is not whole for so long, halts the restart. An operator
   looks, and begins anew. Instances that have restarted run on.
4. The instance that drives the restart is the last of the last group, as its own restart ends it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Mapping, Sequence

#: Seconds that one group, or the wait for a whole fleet, may take.
GROUP_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class MemberRestart:
    """One instance, as the membership view has it now.

    Attributes:
        boot: Boot id of its process.
        is_live: Whether it lives.
        in_full_service: Whether it has reported that its recovery is over.
    """

    boot: int
    is_live: bool
    in_full_service: bool

    @property
    def is_serving(self) -> bool:
        """Whether it lives and is in full service."""
        return self.is_live and self.in_full_service


@dataclass(frozen=True, slots=True)
class RestartMember:
    """Restart one instance.

    Attributes:
        name: The instance.
    """

    name: str


class RollingRestart:
    """One rolling restart of the fleet.

    Attributes:
        groups: Groups that are not over, the first of which is under way or next.
        done: Names of instances whose group is over.
        halted: Why it has halted; empty while it has not. A driver that could not restart an instance sets it too.
    """

    def __init__(self, me: str, names: Sequence[str], group: int, now: float) -> None:
        """Plan the groups.

        Args:
            me: The instance that drives.
            names: All instances that live.
            group: How many are restarted at once.
            now: Seconds on a clock that does not run backwards.
        """
        order = [*sorted(name for name in names if name != me), me]
        self.groups = [order[start : start + group] for start in range(0, len(order), group)]
        self.done: list[str] = []
        self.halted = ""
        self._waiting_since = now
        self._boots_before: dict[str, int] = {}  # of the group that is under way

    @property
    def over(self) -> bool:
        """Whether nothing follows any more."""
        return bool(self.halted) or not self.groups

    def step(self, now: float, members: Mapping[str, MemberRestart]) -> list[RestartMember]:
        """Return whom to restart now.

        Args:
            now: Seconds on the clock of the constructor.
            members: All instances that have not left, by name.
        """
        if self.over:
            return []
        if self._boots_before:
            self._check_group(now, members)
            return []
        return self._begin_group(now, members)

    def _begin_group(self, now: float, members: Mapping[str, MemberRestart]) -> list[RestartMember]:
        """Begin the next group if the fleet is whole (rules 1 and 3)."""
        group = self.groups[0]
        missing = [name for name in group if name not in members or not members[name].is_live]
        if missing:
            self.halted = f"{', '.join(missing)} does not live"
            return []
        not_serving = sorted(name for name, member in members.items() if not member.is_serving)
        if not_serving:
            if self._is_overdue(now):
                self.halted = f"not whole for {GROUP_TIMEOUT_S:.0f} s: {', '.join(not_serving)}"
            return []
        self._boots_before = {name: members[name].boot for name in group}
        self._waiting_since = now
        return [RestartMember(name) for name in group]

    def _check_group(self, now: float, members: Mapping[str, MemberRestart]) -> None:
        """End the group that is under way once all of it are back (rules 2 and 3)."""
        missing = [name for name in self.groups[0] if not self._is_back(name, members)]
        if not missing:
            self.done += self.groups.pop(0)
            self._boots_before = {}
            self._waiting_since = now
        elif self._is_overdue(now):
            self.halted = f"not back in {GROUP_TIMEOUT_S:.0f} s: {', '.join(missing)}"

    def _is_overdue(self, now: float) -> bool:
        return now - self._waiting_since > GROUP_TIMEOUT_S

    def _is_back(self, name: str, members: Mapping[str, MemberRestart]) -> bool:
        member = members.get(name)
        return member is not None and member.is_serving and member.boot != self._boots_before[name]
