"""What operators say of members, over what sources say. Pure: no I/O, and no clock but the times that are handed in.

The order of the two layers, from what counts most:

1. A member that no source lists and no operator has added gets nothing, whatever marks say. The mark stays for its
   return.
2. An operator's `cordon` (nothing at all), then `drain` (its sessions go on where the pool says so), stand above the
   source's state; `weight` above the source's. `drain` does not lift a source's stop.
3. A member that an operator has added stands beside the source's. Once the source lists its id, the source's word
   counts and the addition is over.
4. A frozen source is heard and not followed: what it says last counts from the thaw on.

A mark ends by its time, by `uncordon`, or by being set anew: of two operators the later counts, and who it was is kept.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Callable, Literal, Mapping, Protocol

from loadbalancer.discovery.endpoint_source import EndpointListener, Entry
from loadbalancer.policy.events import (
    EndpointEntry,
    EndpointState,
)

OverrideState = Literal["cordon", "drain"]


@dataclass(frozen=True, slots=True)
class AdminOverride:
    """What is said of one member of a pool. `until`: Unix seconds, 0 for no end. `address`: of an added one."""

    word: OverrideState | None = None
    weight: float | None = None
    until: float = 0.0
    by: str = ""
    reason: str = ""
    at: float = 0.0
    address: tuple[str, int] | None = None
    since: float = 0.0  # when it was added: it counts as started then

    def is_over(self, now: float) -> bool:
        return 0 < self.until <= now

    def says_nothing(self) -> bool:
        return self.word is None and self.weight is None and self.address is None


class OverriddenListListener(EndpointListener, Protocol):
    """Who gets the list that both layers make."""

    def cordon(self, server: str, out: bool) -> None:
        """Leave this member out, or use it again."""


@dataclass(slots=True)
class _Layers:
    listed: dict[str, Entry] = field(default_factory=dict)  # as the source has said last
    marks: dict[str, AdminOverride] = field(default_factory=dict)


class EndpointOverrides:
    """The layers of one pool, between its source and its module. It is the taker of the source's lists."""

    def __init__(
        self, told: OverriddenListListener, marks: Mapping[str, AdminOverride], now: Callable[[], float]
    ) -> None:
        self.told, self._now = told, now
        self._layers = _Layers(marks={name: mark for name, mark in marks.items() if not mark.is_over(now())})
        self._out: set[str] = set()  # cordoned, as the module knows it
        self.frozen = False
        self._heard: dict[str, Entry] | None = None  # of a frozen source

    @property
    def marks(self) -> Mapping[str, AdminOverride]:
        return self._layers.marks

    def listed(self) -> Mapping[str, Entry]:
        """As the source has it and is followed."""
        return self._layers.listed

    def knows(self, member: str) -> bool:
        return member in self._layers.listed or self._added(member) is not None

    def _added(self, member: str) -> AdminOverride | None:
        mark = self._layers.marks.get(member)
        return mark if mark is not None and mark.address is not None else None

    # The source's side.

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        listed = {} if whole else dict(self._layers.listed if self._heard is None else self._heard)
        for entry, address in entries:
            if entry.state == EndpointState.GONE:
                listed.pop(entry.endpoint, None)
            else:
                listed[entry.endpoint] = entry, address
        if self.frozen:
            self._heard = listed
            return
        self._layers.listed = listed
        self._tell(stale)

    def list_failed(self, busy: bool = False) -> None:
        self.told.list_failed(busy)

    # The operators' side.

    def mark(self, member: str, mark: AdminOverride) -> None:
        """Say this of a member, in place of what was said before."""
        if mark.says_nothing():
            self._layers.marks.pop(member, None)
        else:
            self._layers.marks[member] = mark
        self._tell()

    def freeze(self, on: bool) -> None:
        if on == self.frozen:
            return
        self.frozen = on
        heard, self._heard = self._heard, None
        if not on and heard is not None:
            self._layers.listed = heard
            self._tell()

    def expire(self) -> list[str]:
        """The members whose marks have ended by now."""
        now = self._now()
        over = [member for member, mark in self._layers.marks.items() if mark.is_over(now)]
        for member in over:
            del self._layers.marks[member]
        if over:
            self._tell()
        return over

    # Both.

    def entries(self) -> list[Entry]:
        """The list that both layers make."""
        layers = self._layers
        found = {
            name: (self._under(entry, layers.marks.get(name)), address)
            for name, (entry, address) in layers.listed.items()
        }
        for name, mark in layers.marks.items():
            if name not in found and mark.address is not None:
                found[name] = self._under(EndpointEntry(name, started=mark.since), mark), mark.address
        return list(found.values())

    @staticmethod
    def _under(entry: EndpointEntry, mark: AdminOverride | None) -> EndpointEntry:
        if mark is None:
            return entry
        if mark.weight is not None:
            entry = entry._replace(weight=mark.weight)
        if mark.word == "drain" and entry.state == EndpointState.READY:
            entry = entry._replace(state=EndpointState.DRAINING)
        return entry

    def _tell(self, stale: bool = False) -> None:
        """The module first hears who is out, so that a new list brings nothing to them."""
        out = {name for name, mark in self._layers.marks.items() if mark.word == "cordon"}
        for name in sorted(out - self._out):
            self.told.cordon(name, True)
        self.told.take_list(self.entries(), whole=True, stale=stale)
        for name in sorted(self._out - out):
            self.told.cordon(name, False)
        self._out = out


def merge_override(
    before: AdminOverride | None,
    now: float,
    by: str,
    reason: str,
    until: float = 0.0,
    *,
    word: OverrideState | None = None,
    weight: float | None = None,
    address: tuple[str, int] | None = None,
    lift: bool = False,
) -> AdminOverride:
    """What stands of a member after one more word: the rest of what was said before stays. `lift`: cordon and drain
    end."""
    base = before or AdminOverride()
    return replace(
        base,
        word=None if lift else word or base.word,
        weight=base.weight if weight is None else weight,
        address=address or base.address,
        until=until,
        by=by,
        reason=reason,
        at=now,
        since=base.since or (now if address is not None else 0.0),
    )
