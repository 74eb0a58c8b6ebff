"""Administrative overrides on the platform: which endpoints are cordoned, by id. No I/O.

Whoever stores the overrides hands over an `OverrideStore`, and calls `follow` when another process has changed them.
The policy is notified of each change.
"""

from __future__ import annotations

import hashlib
from typing import Callable, Iterable, Mapping, Protocol

import orjson

from loadbalancer.discovery.errors import OverridesError

MAX_LISTED_IDS = 20_000
"""Ids that were listed once and are remembered, the latest ones: a long day brings new ones without end."""
FORM_VERSION = 1
"""Version of the file's form; another one is refused as a whole."""

CordonTimes = Mapping[str, float]
"""When each endpoint was cordoned, in Unix seconds, by id."""


def encode(marks: CordonTimes) -> bytes:
    """The file's content: a JSON object with a checksum over what it holds."""
    body = orjson.dumps(dict(marks), option=orjson.OPT_SORT_KEYS)
    content = {"version": FORM_VERSION, "sum": hashlib.sha256(body).hexdigest(), "out": dict(marks)}
    return orjson.dumps(content, option=orjson.OPT_SORT_KEYS) + b"\n"


def decode(data: bytes) -> dict[str, float]:
    """Read the file's content.

    Raises:
        OverridesError: Anything is not as `encode` wrote it: cut, damaged, foreign, of a later form.
    """
    try:
        content = orjson.loads(data)
    except ValueError:
        raise OverridesError("not JSON; cut or foreign") from None
    if not isinstance(content, dict) or "version" not in content:
        raise OverridesError("not a file of marks")
    if content["version"] != FORM_VERSION:
        raise OverridesError(f"of version {content['version']!r}; this program knows {FORM_VERSION}")
    out = content.get("out")
    if not isinstance(out, dict) or not all(isinstance(at, (int, float)) for at in out.values()):
        raise OverridesError("its marks are no times by id")
    cordoned = {str(endpoint): float(at) for endpoint, at in out.items()}
    if encode(cordoned) != data:
        raise OverridesError("its check sum does not fit")
    return cordoned


class OverrideListener(Protocol):
    """Who is notified of each change."""

    def cordon(self, server: str, out: bool) -> None:
        """Leave an endpoint out, or use it again."""


Change = Callable[[dict[str, float]], None]
"""Applies a change to the stored overrides."""
Kept = CordonTimes | OSError | None
"""What became of a change: all overrides as they are stored now, why they could not be, or None while it takes long."""


class OverrideStore(Protocol):
    """Where overrides outlive the process."""

    def keep(self, change: Change, done: Callable[[Kept], None]) -> None:
        """Change the stored overrides, in the order of the calls.

        Args:
            change: Applies the change.
            done: Gets the result once, and None before it where it takes long.
        """


class _PendingChange:
    """A change that is in force and not known to be stored."""

    __slots__ = ("answered", "at", "cordoned", "endpoint")

    def __init__(self, endpoint: str, cordoned: bool, at: float) -> None:
        self.endpoint = endpoint
        self.cordoned = cordoned
        self.at = at  # Unix seconds
        self.answered = False  # the caller has had an answer

    def apply(self, overrides: dict[str, float]) -> None:
        """Change these overrides."""
        if self.cordoned:
            overrides.setdefault(self.endpoint, self.at)
        else:
            overrides.pop(self.endpoint, None)


def _log_nothing(event: str, problem: object) -> None:
    """Drop an event."""


class PlatformOverrides:
    """The endpoints that are cordoned, and the ids that may be.

    In force is what is stored and, over it, in their order, the changes asked for since: a call counts at once, and no
    wait for a disk holds anything up. A change that cannot be stored is taken back, unless its caller has had its
    answer because storing took long; then it stays in force here.
    """

    def __init__(
        self,
        told: OverrideListener,
        keeper: OverrideStore | None,
        clock: Callable[[], float],
        logger: Callable[[str, object], None] = _log_nothing,
    ) -> None:
        """Begin without overrides.

        Args:
            told: Is notified of each change.
            keeper: Stores changes; None where overrides end with the process.
            clock: Unix seconds.
            logger: Gets events.
        """
        self.out: dict[str, float] = {}  # in force: when each was cordoned, Unix seconds
        self._listener = told
        self._store = keeper
        self._clock = clock
        self._logger = logger
        self._stored: dict[str, float] = {}
        self._pending: list[_PendingChange] = []
        self._listed: dict[str, None] = {}  # ids, the oldest first

    def listed(self, members: Iterable[str]) -> None:
        """Note that these endpoints are on a list."""
        for endpoint in members:
            if endpoint not in self._listed:
                self._listed[endpoint] = None
                if len(self._listed) > MAX_LISTED_IDS:
                    del self._listed[next(iter(self._listed))]

    def mark(self, member: str, out: bool, done: Callable[[str | None], None]) -> None:
        """Cordon an endpoint, or use it again; it is so at once. Calls may come twice.

        Args:
            member: Its id.
            out: Whether it is cordoned.
            done: Gets None once that is stored or storing it takes long, or why it could not be stored and is taken
                back.

        Raises:
            LookupError: No endpoint of this id was ever listed.
        """
        if member not in self._listed and member not in self.out:
            raise LookupError(member)
        change = _PendingChange(member, out, self._clock())
        if self._store is None:
            change.apply(self._stored)
            self._apply()
            done(None)
            return
        # An answered change of the same endpoint that could not be stored ends with this one.
        self._pending = [
            pending for pending in self._pending if pending.endpoint != member or not pending.answered
        ]
        self._pending.append(change)
        self._apply()
        self._store.keep(change.apply, lambda kept: self._on_result(change, kept, done))

    def _on_result(self, change: _PendingChange, kept: Kept, done: Callable[[str | None], None]) -> None:
        if isinstance(kept, OSError) and change.answered:
            self._logger("a mark is in force here and not kept", f"{change.endpoint}: {kept}")
            return
        problem = None
        if kept is None:
            self._logger("marks are kept late", change.endpoint)
        elif isinstance(kept, OSError):
            self._forget(change)
            problem = f"the mark could not be kept, so nothing has changed: {kept}"
            self._apply()
        else:
            self._forget(change)
            self.follow(kept)
        if not change.answered:
            change.answered = True
            done(problem)

    def _forget(self, change: _PendingChange) -> None:
        if change in self._pending:
            self._pending.remove(change)

    def follow(self, marks: CordonTimes) -> None:
        """Take these overrides as stored, whoever made them; the listener is notified of what differs."""
        self._stored = dict(marks)
        self._apply()

    def _apply(self) -> None:
        before = self.out
        now = dict(self._stored)
        for change in self._pending:
            change.apply(now)
        self.out = now
        for endpoint in [endpoint for endpoint in before if endpoint not in now]:
            self._listener.cordon(endpoint, False)
        for endpoint in [endpoint for endpoint in now if endpoint not in before]:
            self._listener.cordon(endpoint, True)
