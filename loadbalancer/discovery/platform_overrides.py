"""What operators say of members, over what lists say: which are left out, by id.

No I/O: who keeps the marks hands over `save`, and tells when another process has changed them. The module hears of
each change and rules; this is the memory of it, and of which ids were ever listed.
"""

from __future__ import annotations

import hashlib
from typing import Callable, Iterable, Mapping, Protocol

import orjson

#: Ids that were listed once, the latest ones; a long day brings new ones without end.
LISTED_MOST = 20_000
#: Form of the file. One of a later form is not half believed.
VERSION = 1


class OverridesError(ValueError):
    """What is no list of marks."""


def encode(marks: Mapping[str, float]) -> bytes:
    """Marks as bytes: a JSON object with a check sum over what it holds. `marks`: when each was made, Unix seconds."""
    body = orjson.dumps(dict(marks), option=orjson.OPT_SORT_KEYS)
    box = {"version": VERSION, "sum": hashlib.sha256(body).hexdigest(), "out": dict(marks)}
    return orjson.dumps(box, option=orjson.OPT_SORT_KEYS) + b"\n"


def decode(data: bytes) -> dict[str, float]:
    """MarksError where anything is not as `encode` wrote it: cut, flipped, foreign, of a later form."""
    try:
        box = orjson.loads(data)
    except ValueError:
        raise OverridesError("not JSON; cut or foreign") from None
    if not isinstance(box, dict) or "version" not in box:
        raise OverridesError("not a file of marks")
    if box["version"] != VERSION:
        raise OverridesError(f"of version {box['version']!r}; this program knows {VERSION}")
    out = box.get("out")
    if not isinstance(out, dict) or not all(isinstance(at, (int, float)) for at in out.values()):
        raise OverridesError("its marks are no times by id")
    marks = {str(member): float(at) for member, at in out.items()}
    if encode(marks) != data:
        raise OverridesError("its check sum does not fit")
    return marks


class OverrideListener(Protocol):
    """Who is told of each change."""

    def cordon(self, server: str, out: bool) -> None: ...


Change = Callable[[dict[str, float]], None]
#: What became of a change: all marks as they are kept now, why they could not be kept, or None while that takes long.
Kept = Mapping[str, float] | OSError | None


class OverrideStore(Protocol):
    """Where marks outlive the process."""

    def keep(self, change: Change, done: Callable[[Kept], None]) -> None:
        """Change the kept marks, in the order of the calls. `done` hears the result once, and None before it where
        it takes long."""


class _Asked:
    """A change that is in force and not known to be kept."""

    __slots__ = ("member", "out", "at", "answered")

    def __init__(self, member: str, out: bool, at: float) -> None:
        self.member, self.out, self.at, self.answered = member, out, at, False

    def change(self, marks: dict[str, float]) -> None:
        if self.out:
            marks.setdefault(self.member, self.at)
        else:
            marks.pop(self.member, None)


class PlatformOverrides:
    """The members that are left out, and the ids that may be.

    What is in force is what is kept, and over it, in their order, the changes asked for since: a call counts at
    once, and no wait for a disk holds anything up. A change that can't be kept is taken back, unless its caller
    has been told yes because keeping took long; then it stays in force here."""

    def __init__(
        self,
        told: OverrideListener,
        keeper: OverrideStore | None,
        clock: Callable[[], float],
        logger: Callable[[str, object], None] = lambda what, problem: None,
    ) -> None:
        """`keeper`: None where marks end with the process. `clock`: Unix seconds."""
        self.told, self._keeper, self._clock, self._logger = told, keeper, clock, logger
        self.out: dict[str, float] = {}
        self._kept: dict[str, float] = {}
        self._asked: list[_Asked] = []
        self._listed: dict[str, None] = {}  # the oldest first

    def listed(self, members: Iterable[str]) -> None:
        """These are on a list now."""
        for member in members:
            if member not in self._listed:
                self._listed[member] = None
                if len(self._listed) > LISTED_MOST:
                    del self._listed[next(iter(self._listed))]

    def mark(self, member: str, out: bool, done: Callable[[str | None], None]) -> None:
        """Leave a member out, or use it again; it is so at once. `done` hears None once that is kept or keeping it
        takes long, or why it could not be kept and is taken back. Calls may come twice.

        LookupError: no member of this id was ever listed."""
        if member not in self._listed and member not in self.out:
            raise LookupError(member)
        asked = _Asked(member, out, self._clock())
        if self._keeper is None:
            asked.change(self._kept)
            self._apply()
            done(None)
            return
        # A call on the same member that could not be kept ends with this one.
        self._asked = [one for one in self._asked if one.member != member or not one.answered]
        self._asked.append(asked)
        self._apply()
        self._keeper.keep(asked.change, lambda kept: self._result(asked, kept, done))

    def _result(self, asked: _Asked, kept: Kept, done: Callable[[str | None], None]) -> None:
        if isinstance(kept, OSError) and asked.answered:
            self._logger("a mark is in force here and not kept", f"{asked.member}: {kept}")
            return
        problem = None
        if kept is None:
            self._logger("marks are kept late", asked.member)
        else:
            if asked in self._asked:
                self._asked.remove(asked)
            if isinstance(kept, OSError):
                problem = f"the mark could not be kept, so nothing has changed: {kept}"
                self._apply()
            else:
                self.follow(kept)
        if not asked.answered:
            asked.answered = True
            done(problem)

    def follow(self, marks: Mapping[str, float]) -> None:
        """These are kept from now on, whoever made them; what differs is told."""
        self._kept = dict(marks)
        self._apply()

    def _apply(self) -> None:
        before, now = self.out, dict(self._kept)
        for asked in self._asked:
            asked.change(now)
        self.out = now
        for member in [member for member in before if member not in now]:
            self.told.cordon(member, False)
        for member in [member for member in now if member not in before]:
            self.told.cordon(member, True)
