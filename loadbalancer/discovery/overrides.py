"""Administrative overrides of one pool, above what its source lists. No I/O, no clock but the one handed in.

The order of the two layers, from what counts most:

1. An endpoint that no source lists and no operator has added gets nothing, whatever its override; the override stays
   for its return.
2. An operator's `cordon` (nothing at all), then `drain` (its sessions go on where the pool says so), stand above the
   source's state; `weight` above the source's. `drain` does not lift a stop of the source.
3. An endpoint that an operator has added stands beside the source's. Once the source lists its id, the source counts
   and the addition is over.
4. A frozen source is heard and not followed: its last list counts from the thaw on.

An override ends by its time, by `uncordon`, or by being set anew: of two operators the later counts, and who it was is
kept.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Callable, Literal, Mapping, Protocol

from loadbalancer.discovery.endpoint_source import Address, EndpointListener, Entry
from loadbalancer.policy.events import EndpointEntry, EndpointState

OverrideState = Literal["cordon", "drain"]


@dataclass(frozen=True, slots=True)
class AdminOverride:
    """What operators say of one endpoint of a pool. Its fields' names are keys in the store and on the wire."""

    word: OverrideState | None = None
    """The state; None for that of the source."""
    weight: float | None = None
    """The weight; None for that of the source."""
    until: float = 0.0
    """When it ends, in Unix seconds; 0 for never."""
    by: str = ""
    """Which operator has set it."""
    reason: str = ""
    """Why, in the operator's words."""
    at: float = 0.0
    """When it was set, in Unix seconds."""
    address: tuple[str, int] | None = None
    """Where an added endpoint listens."""
    since: float = 0.0
    """When it was added, in Unix seconds; it counts as started then."""

    def is_over(self, now: float) -> bool:
        """Whether it has ended by this Unix time, in seconds."""
        return 0 < self.until <= now

    def says_nothing(self) -> bool:
        """Whether it changes nothing."""
        return self.word is None and self.weight is None and self.address is None


class OverriddenListListener(EndpointListener, Protocol):
    """Who gets the list that both layers make."""

    def cordon(self, server: str, out: bool) -> None:
        """Leave this endpoint out, or use it again."""


@dataclass(slots=True)
class _Layers:
    listed: dict[str, Entry] = field(default_factory=dict)
    """As the source listed them last."""
    overrides: dict[str, AdminOverride] = field(default_factory=dict)
    """By endpoint."""


class EndpointOverrides:
    """Both layers of one pool, between its source and its policy; it takes the source's lists."""

    def __init__(
        self, told: OverriddenListListener, marks: Mapping[str, AdminOverride], now: Callable[[], float]
    ) -> None:
        """Begin without a list.

        Args:
            told: Gets the list that both layers make.
            marks: Overrides from before, by endpoint; those that have ended are dropped.
            now: Unix seconds.
        """
        self.frozen = False
        self._listener = told
        self._now = now
        current = {endpoint: override for endpoint, override in marks.items() if not override.is_over(now())}
        self._layers = _Layers(overrides=current)
        self._cordoned: set[str] = set()  # as the listener knows it
        self._heard: dict[str, Entry] | None = None  # the list of a frozen source

    @property
    def marks(self) -> Mapping[str, AdminOverride]:
        """The overrides, by endpoint."""
        return self._layers.overrides

    def listed(self) -> Mapping[str, Entry]:
        """The source's list, as it is followed."""
        return self._layers.listed

    def knows(self, member: str) -> bool:
        """Whether the source lists this endpoint, or an operator has added it."""
        return member in self._layers.listed or self._is_added(member)

    def _is_added(self, endpoint: str) -> bool:
        override = self._layers.overrides.get(endpoint)
        return override is not None and override.address is not None

    # Called by the source.

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        """Take a list of the source, or a change to it; see `EndpointListener`."""
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
        self._notify(stale)

    def list_failed(self, busy: bool = False) -> None:
        """Pass a failure of the source on."""
        self._listener.list_failed(busy)

    # Called for operators.

    def mark(self, member: str, mark: AdminOverride) -> None:
        """Set an endpoint's override, in place of the one before; one that says nothing removes it."""
        if mark.says_nothing():
            self._layers.overrides.pop(member, None)
        else:
            self._layers.overrides[member] = mark
        self._notify()

    def freeze(self, on: bool) -> None:
        """Stop following the source, or follow it again."""
        if on == self.frozen:
            return
        self.frozen = on
        heard = self._heard
        self._heard = None
        if not on and heard is not None:
            self._layers.listed = heard
            self._notify()

    def expire(self) -> list[str]:
        """Remove the overrides that have ended by now.

        Returns:
            Their endpoints.
        """
        now = self._now()
        ended = [endpoint for endpoint, override in self._layers.overrides.items() if override.is_over(now)]
        for endpoint in ended:
            del self._layers.overrides[endpoint]
        if ended:
            self._notify()
        return ended

    def entries(self) -> list[Entry]:
        """The list that both layers make."""
        layers = self._layers
        merged = {
            endpoint: (_override_entry(entry, layers.overrides.get(endpoint)), address)
            for endpoint, (entry, address) in layers.listed.items()
        }
        for endpoint, override in layers.overrides.items():
            if endpoint not in merged and override.address is not None:
                added = EndpointEntry(endpoint, started=override.since)
                merged[endpoint] = _override_entry(added, override), override.address
        return list(merged.values())

    def _notify(self, stale: bool = False) -> None:
        """The listener first hears who is cordoned, so that a new list brings nothing to them."""
        cordoned = {
            endpoint for endpoint, override in self._layers.overrides.items() if override.word == "cordon"
        }
        for endpoint in sorted(cordoned - self._cordoned):
            self._listener.cordon(endpoint, True)
        self._listener.take_list(self.entries(), whole=True, stale=stale)
        for endpoint in sorted(self._cordoned - cordoned):
            self._listener.cordon(endpoint, False)
        self._cordoned = cordoned


def _override_entry(entry: EndpointEntry, override: AdminOverride | None) -> EndpointEntry:
    """A source's entry with the override's weight and state."""
    if override is None:
        return entry
    if override.weight is not None:
        entry = entry._replace(weight=override.weight)
    if override.word == "drain" and entry.state == EndpointState.READY:
        entry = entry._replace(state=EndpointState.DRAINING)
    return entry


def merge_override(
    before: AdminOverride | None,
    now: float,
    by: str,
    reason: str,
    until: float = 0.0,
    *,
    word: OverrideState | None = None,
    weight: float | None = None,
    address: Address | None = None,
    lift: bool = False,
) -> AdminOverride:
    """An endpoint's override after one more change; what the change does not say stays as it was.

    Args:
        before: The override so far.
        now: Unix seconds.
        by: Which operator.
        reason: Why.
        until: When it ends, in Unix seconds; 0 for never.
        word: The new state.
        weight: The new weight.
        address: Where an added endpoint listens.
        lift: Whether cordon and drain end.
    """
    base = before or AdminOverride()
    added_at = now if address is not None else 0.0
    return replace(
        base,
        word=None if lift else word or base.word,
        weight=base.weight if weight is None else weight,
        address=address or base.address,
        until=until,
        by=by,
        reason=reason,
        at=now,
        since=base.since or added_at,
    )
