"""Administrative overrides on the platform: which endpoints are cordoned, by id. No I/O.

The overrides are stored through an `OverrideStore`. The owner of the store calls `follow` when another process has
changed them. The policy is notified of each change.
"""

from __future__ import annotations

import hashlib
from typing import Callable, Iterable, Mapping, Protocol

import orjson

from loadbalancer.discovery.errors import OverridesError

MAX_LISTED_IDS = 20_000
"""Maximum number of ids of listed endpoints that are remembered, the latest ones: new ids keep arriving over time."""
FORMAT_VERSION = 1
"""Version of the file format; a file of another version is rejected."""

CordonTimes = Mapping[str, float]
"""When each endpoint was cordoned, in Unix seconds, by id."""


def encode(overrides: CordonTimes) -> bytes:
    """Return the content of the file: a JSON object with a checksum of the overrides."""
    body = orjson.dumps(dict(overrides), option=orjson.OPT_SORT_KEYS)
    content = {"version": FORMAT_VERSION, "sum": hashlib.sha256(body).hexdigest(), "out": dict(overrides)}
    return orjson.dumps(content, option=orjson.OPT_SORT_KEYS) + b"\n"


def decode(data: bytes) -> dict[str, float]:
    """Read the file's content.

    Raises:
        OverridesError: The content is not what `encode` writes: truncated, corrupt, of another kind or version.
    """
    try:
        content = orjson.loads(data)
    except ValueError:
        raise OverridesError("not JSON: the file is truncated or of another kind") from None
    if not isinstance(content, dict) or "version" not in content:
        raise OverridesError("not a file of overrides: expected a JSON object with a version")
    if content["version"] != FORMAT_VERSION:
        raise OverridesError(f"expected version {FORMAT_VERSION}, found {content['version']!r}")
    out = content.get("out")
    if not isinstance(out, dict) or not all(isinstance(at, (int, float)) for at in out.values()):
        raise OverridesError("expected an object of times by endpoint id under the key out")
    cordoned = {str(endpoint): float(at) for endpoint, at in out.items()}
    if encode(cordoned) != data:
        raise OverridesError("the checksum does not match the content")
    return cordoned


class OverrideListener(Protocol):
    """Is notified of each change."""

    def cordon(self, server: str, out: bool) -> None:
        """Send the endpoint no requests if `out`, else use it again."""


Change = Callable[[dict[str, float]], None]
"""Applies a change to the stored overrides."""
StoreResult = CordonTimes | OSError | None
"""Result of a change: all overrides as stored now, the error, or None if storing takes long and has not ended."""


class OverrideStore(Protocol):
    """Stores overrides beyond the life of the process."""

    def save_change(self, change: Change, done: Callable[[StoreResult], None]) -> None:
        """Change the stored overrides, in the order of the calls.

        Args:
            change: Applies the change.
            done: Called with the result once, and before that with None if storing takes long.
        """


class _PendingChange:
    """Holds a change that is in effect and not confirmed as stored."""

    __slots__ = ("answered", "at", "cordoned", "endpoint")

    def __init__(self, endpoint: str, cordoned: bool, at: float) -> None:
        self.endpoint = endpoint
        self.cordoned = cordoned
        self.at = at  # Unix seconds
        self.answered = False  # whether the caller has been answered

    def apply(self, overrides: dict[str, float]) -> None:
        """Apply the change to these overrides."""
        if self.cordoned:
            overrides.setdefault(self.endpoint, self.at)
        else:
            overrides.pop(self.endpoint, None)


def _log_nothing(event: str, problem: object) -> None:
    """Discard an event."""


class PlatformOverrides:
    """Holds the endpoints that are cordoned, and the ids that may be cordoned.

    The stored overrides are in effect, with the pending changes applied over them in their order: a change takes effect
    at once, and nothing waits for the disk. A change that cannot be stored is undone, unless its caller was answered
    already because storing took long; then it stays in effect in this process.
    """

    def __init__(
        self,
        listener: OverrideListener,
        store: OverrideStore | None,
        clock: Callable[[], float],
        logger: Callable[[str, object], None] = _log_nothing,
    ) -> None:
        """Start without overrides.

        Args:
            listener: Is notified of each change.
            store: Stores changes; None if overrides end with the process.
            clock: Unix seconds.
            logger: Receives log events.
        """
        self.cordoned: dict[str, float] = {}  # in effect: when each endpoint was cordoned, in Unix seconds
        self._listener = listener
        self._store = store
        self._clock = clock
        self._logger = logger
        self._stored: dict[str, float] = {}
        self._pending: list[_PendingChange] = []
        self._listed: dict[str, None] = {}  # ids, the oldest first

    def add_listed(self, members: Iterable[str]) -> None:
        """Remember the ids of listed endpoints: these may be cordoned."""
        for endpoint in members:
            if endpoint not in self._listed:
                self._listed[endpoint] = None
                if len(self._listed) > MAX_LISTED_IDS:
                    del self._listed[next(iter(self._listed))]

    def set_cordoned(self, member: str, cordoned: bool, done: Callable[[str | None], None]) -> None:
        """Cordon an endpoint, or use it again. This takes effect at once, and is idempotent.

        Args:
            member: Its id.
            cordoned: Whether it is cordoned.
            done: Called with None once the change is stored or storing it takes long, or with the reason why it could
                not be stored and was undone.

        Raises:
            LookupError: No endpoint with this id was ever listed.
        """
        if member not in self._listed and member not in self.cordoned:
            raise LookupError(member)
        change = _PendingChange(member, cordoned, self._clock())
        if self._store is None:
            change.apply(self._stored)
            self._apply()
            done(None)
            return
        # An earlier change of the endpoint that was answered and could not be stored is superseded by this one.
        self._pending = [
            pending for pending in self._pending if pending.endpoint != member or not pending.answered
        ]
        self._pending.append(change)
        self._apply()
        self._store.save_change(change.apply, lambda result: self._on_result(change, result, done))

    def _on_result(
        self, change: _PendingChange, result: StoreResult, done: Callable[[str | None], None]
    ) -> None:
        if isinstance(result, OSError) and change.answered:
            self._logger("a mark is in force here and not kept", f"{change.endpoint}: {result}")
            return
        problem = None
        if result is None:
            self._logger("marks are kept late", change.endpoint)
        elif isinstance(result, OSError):
            self._discard(change)
            problem = f"the mark could not be kept, so nothing has changed: {result}"
            self._apply()
        else:
            self._discard(change)
            self.follow(result)
        if not change.answered:
            change.answered = True
            done(problem)

    def _discard(self, change: _PendingChange) -> None:
        if change in self._pending:
            self._pending.remove(change)

    def follow(self, overrides: CordonTimes) -> None:
        """Adopt overrides that were stored by any process; the listener is notified of the differences."""
        self._stored = dict(overrides)
        self._apply()

    def _apply(self) -> None:
        before = self.cordoned
        now = dict(self._stored)
        for change in self._pending:
            change.apply(now)
        self.cordoned = now
        for endpoint in [endpoint for endpoint in before if endpoint not in now]:
            self._listener.cordon(endpoint, False)
        for endpoint in [endpoint for endpoint in now if endpoint not in before]:
            self._listener.cordon(endpoint, True)
