"""Rolling restart of a fleet: one group after another, each once the previous one is in full service.

Rules:

1. No instance is restarted while any instance is down, recovering, or has not reported its recovery phase.
2. A group is complete once each of its instances runs as a new process and reports full service.
3. If a group is not complete within GROUP_TIMEOUT_S, or the fleet is not fully in service for that long, the restart
   halts. An operator has to investigate and start a new one. Instances that have restarted keep running.
4. The instance that coordinates the restart is the last of the last group, since its own restart ends the coordination.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Mapping, Sequence

#: Seconds that one group, or the wait until the fleet is fully in service, may take.
GROUP_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class MemberRestart:
    """The state of one instance in the membership view.

    Attributes:
        boot: Boot id of its process.
        is_live: Whether it is alive.
        in_full_service: Whether it has reported that its recovery is over.
    """

    boot: int
    is_live: bool
    in_full_service: bool

    @property
    def is_serving(self) -> bool:
        """Whether it is alive and in full service."""
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
        groups: Groups that are not complete; the first is in progress or next.
        done: Names of instances whose group is complete.
        halted: Why it has halted; empty if it has not. The caller also sets it when it could not restart an instance.
    """

    def __init__(self, coordinator: str, names: Sequence[str], group: int, now: float) -> None:
        """Plan the groups.

        Args:
            coordinator: The instance that coordinates the restart.
            names: All live instances.
            group: Number of instances that are restarted at once.
            now: Current time in seconds on a monotonic clock.
        """
        order = [*sorted(name for name in names if name != coordinator), coordinator]
        self.groups = [order[start : start + group] for start in range(0, len(order), group)]
        self.done: list[str] = []
        self.halted = ""
        self._waiting_since = now
        self._boots_before: dict[str, int] = {}  # boot ids of the group in progress, before its restart

    @property
    def is_over(self) -> bool:
        """Whether the restart has halted or is complete."""
        return bool(self.halted) or not self.groups

    def step(self, now: float, members: Mapping[str, MemberRestart]) -> list[RestartMember]:
        """Return the instances to restart now.

        Args:
            now: Current time in seconds on the clock of the constructor.
            members: All instances that have not left, by name.
        """
        if self.is_over:
            return []
        if self._boots_before:
            self._check_group(now, members)
            return []
        return self._begin_group(now, members)

    def _begin_group(self, now: float, members: Mapping[str, MemberRestart]) -> list[RestartMember]:
        """Start the next group if the whole fleet is in full service (rules 1 and 3)."""
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
        """Complete the group in progress once all of its instances are back (rules 2 and 3)."""
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
