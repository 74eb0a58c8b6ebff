"""Restarting a fleet on purpose: group after group, the next once the one before is in full service. Pure.

Rules:

1. Nobody is restarted while another instance that is not of the group is down, coming back, or not heard of.
2. A group is over once each of it lives another life and says that it is full.
3. A group that is not over in GROUP_S, or a fleet that is not whole for so long, halts it; an operator looks, and
   begins anew. Nothing is taken back: those that have restarted run.
4. The instance that drives is the last of the last group: it ends with its own restart.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Mapping, Sequence

#: Seconds that one group, or the wait for a whole fleet, may take.
GROUP_S = 60.0


@dataclass(frozen=True, slots=True)
class MemberRestart:
    """One instance, as the view has it now."""

    boot: int
    is_live: bool
    in_full_service: bool


@dataclass(frozen=True, slots=True)
class RestartMember:
    """Restart this one."""

    name: str


class RollingRestart:
    """One pass over the fleet."""

    def __init__(self, me: str, names: Sequence[str], group: int, now: float) -> None:
        """`names`: all that live; `group`: how many at once."""
        order = [*sorted(name for name in names if name != me), me]
        self.groups = [order[at : at + group] for at in range(0, len(order), group)]
        self.done: list[str] = []
        self.halted = ""
        self._since = now
        self._before: dict[str, int] = {}  # boots of the group that is under way

    @property
    def over(self) -> bool:
        return bool(self.halted) or not self.groups

    def step(self, now: float, lives: Mapping[str, MemberRestart]) -> list[RestartMember]:
        if self.over:
            return []
        group = self.groups[0]
        if self._before:
            return self._wait(now, group, lives)
        gone = [name for name in group if name not in lives or not lives[name].is_live]
        if gone:
            self.halted = f"{', '.join(gone)} does not live"
            return []
        sick = sorted(name for name, life in lives.items() if not (life.is_live and life.in_full_service))
        if sick:
            if now - self._since > GROUP_S:
                self.halted = f"not whole for {GROUP_S:.0f} s: {', '.join(sick)}"
            return []
        self._before = {name: lives[name].boot for name in group}
        self._since = now
        return [RestartMember(name) for name in group]

    def _wait(
        self, now: float, group: Sequence[str], lives: Mapping[str, MemberRestart]
    ) -> list[RestartMember]:
        late = [name for name in group if not self._is_back(name, lives)]
        if not late:
            self.done += self.groups.pop(0)
            self._before, self._since = {}, now
        elif now - self._since > GROUP_S:
            self.halted = f"not back in {GROUP_S:.0f} s: {', '.join(late)}"
        return []

    def _is_back(self, name: str, lives: Mapping[str, MemberRestart]) -> bool:
        life = lives.get(name)
        return life is not None and life.is_live and life.in_full_service and life.boot != self._before[name]
