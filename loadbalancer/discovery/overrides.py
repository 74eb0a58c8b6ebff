"""Administrative overrides of one pool, applied over the list of its source. No I/O; the clock is passed in.

Rules of precedence, the highest first:

1. An endpoint that neither the source lists nor an operator has added gets no requests, whatever its override. The
   override is kept in case the endpoint returns.
2. An operator's `cordon` (no requests at all), then `drain` (its sessions continue if the pool allows that), take
   precedence over the source's state, and `weight` over the source's weight. `drain` does not undo a stop by the
   source.
3. An endpoint that an operator has added is used in addition to those of the source. Once the source lists its id, the
   source's entry is used instead.
4. While the source is frozen, its lists are received and not applied; the last one is applied when it is thawed.

An override ends when it expires, by `uncordon`, or when it is replaced: the later of two operators wins, and the
override records who set it.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Callable, Literal, Mapping, Protocol

from loadbalancer.discovery.endpoint_source import Address, EndpointListener, Entry
from loadbalancer.policy.events import EndpointEntry, EndpointState

OverrideState = Literal["cordon", "drain"]


@dataclass(frozen=True, slots=True)
class AdminOverride:
    """Holds the override of one endpoint of a pool. The names of its fields are keys in the store and on the wire."""

    word: OverrideState | None = None
    """The state; None to use that of the source."""
    weight: float | None = None
    """The weight; None to use that of the source."""
    until: float = 0.0
    """When it ends, in Unix seconds; 0 for never."""
    by: str = ""
    """The operator who set it."""
    reason: str = ""
    """The operator's reason."""
    at: float = 0.0
    """When it was set, in Unix seconds."""
    address: tuple[str, int] | None = None
    """Address of an endpoint that an operator has added."""
    since: float = 0.0
    """When the endpoint was added, in Unix seconds; used as its start time."""

    def is_over(self, now: float) -> bool:
        """Return whether it has expired at this Unix time in seconds."""
        return 0 < self.until <= now

    def is_empty(self) -> bool:
        """Return whether it overrides nothing."""
        return self.word is None and self.weight is None and self.address is None


class OverriddenListListener(EndpointListener, Protocol):
    """Receives the source's list with the overrides applied."""

    def cordon(self, server: str, out: bool) -> None:
        """Send the endpoint no requests if `out`, else use it again."""


@dataclass(slots=True)
class _Layers:
    listed: dict[str, Entry] = field(default_factory=dict)
    """The source's entries that are in use, by endpoint."""
    overrides: dict[str, AdminOverride] = field(default_factory=dict)
    """The overrides, by endpoint."""


class EndpointOverrides:
    """Receives the lists of a pool's source, applies the overrides, and passes the result to the pool's policy."""

    def __init__(
        self,
        listener: OverriddenListListener,
        overrides: Mapping[str, AdminOverride],
        now: Callable[[], float],
    ) -> None:
        """Start without a list.

        Args:
            listener: Receives the lists with the overrides applied.
            overrides: Stored overrides by endpoint; expired ones are dropped.
            now: Unix seconds.
        """
        self.frozen = False
        self._listener = listener
        self._now = now
        current = {
            endpoint: override for endpoint, override in overrides.items() if not override.is_over(now())
        }
        self._layers = _Layers(overrides=current)
        self._cordoned: set[str] = set()  # as last reported to the listener
        self._deferred: dict[str, Entry] | None = None  # last list of the source while it is frozen

    @property
    def overrides(self) -> Mapping[str, AdminOverride]:
        """Return the overrides by endpoint."""
        return self._layers.overrides

    def listed(self) -> Mapping[str, Entry]:
        """Return the source's entries that are in use, by endpoint."""
        return self._layers.listed

    def knows(self, member: str) -> bool:
        """Return whether the source lists this endpoint, or an operator has added it."""
        return member in self._layers.listed or self._is_added(member)

    def _is_added(self, endpoint: str) -> bool:
        override = self._layers.overrides.get(endpoint)
        return override is not None and override.address is not None

    # Called by the source.

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        """Apply a list of the source, or changes to it; see `EndpointListener`."""
        listed = {} if whole else dict(self._layers.listed if self._deferred is None else self._deferred)
        for entry, address in entries:
            if entry.state == EndpointState.GONE:
                listed.pop(entry.endpoint, None)
            else:
                listed[entry.endpoint] = entry, address
        if self.frozen:
            self._deferred = listed
            return
        self._layers.listed = listed
        self._notify(stale)

    def list_failed(self, busy: bool = False) -> None:
        """Report a failed call of the source to the listener."""
        self._listener.list_failed(busy)

    # Called for operators.

    def set_override(self, member: str, override: AdminOverride) -> None:
        """Replace an endpoint's override; an empty one removes it."""
        if override.is_empty():
            self._layers.overrides.pop(member, None)
        else:
            self._layers.overrides[member] = override
        self._notify()

    def freeze(self, on: bool) -> None:
        """Stop applying the lists of the source, or start again with its last list."""
        if on == self.frozen:
            return
        self.frozen = on
        deferred = self._deferred
        self._deferred = None
        if not on and deferred is not None:
            self._layers.listed = deferred
            self._notify()

    def expire(self) -> list[str]:
        """Remove the overrides that have expired.

        Returns:
            The endpoints that had them.
        """
        now = self._now()
        ended = [endpoint for endpoint, override in self._layers.overrides.items() if override.is_over(now)]
        for endpoint in ended:
            del self._layers.overrides[endpoint]
        if ended:
            self._notify()
        return ended

    def entries(self) -> list[Entry]:
        """Return the source's list with the overrides applied."""
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
        """Notify the listener: new cordons before the list, so that the list sends no requests to those endpoints."""
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
    """Return a source's entry with the override's weight and state applied."""
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
    """Return an endpoint's override after a change; fields that the change does not set keep their values.

    Args:
        before: The current override, if there is one.
        now: Unix seconds.
        by: The operator.
        reason: The operator's reason.
        until: When it ends, in Unix seconds; 0 for never.
        word: The new state.
        weight: The new weight.
        address: Address of an added endpoint.
        lift: Whether a cordon or drain is removed.
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
