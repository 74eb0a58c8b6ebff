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


class MarksError(ValueError):
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
        raise MarksError("not JSON; cut or foreign") from None
    if not isinstance(box, dict) or "version" not in box:
        raise MarksError("not a file of marks")
    if box["version"] != VERSION:
        raise MarksError(f"of version {box['version']!r}; this program knows {VERSION}")
    out = box.get("out")
    if not isinstance(out, dict) or not all(isinstance(at, (int, float)) for at in out.values()):
        raise MarksError("its marks are no times by id")
    marks = {str(member): float(at) for member, at in out.items()}
    if encode(marks) != data:
        raise MarksError("its check sum does not fit")
    return marks


class Told(Protocol):
    """Who is told of each change."""

    def cordon(self, server: str, out: bool) -> None: ...


#: Changes the kept marks by a function and returns all of them as they now are; OSError where they can't be kept.
Save = Callable[[Callable[[dict[str, float]], None]], Mapping[str, float]]


class Marks:
    """The members that are left out, and the ids that may be."""

    def __init__(self, told: Told, save: Save | None, clock: Callable[[], float]) -> None:
        """`save`: None where marks end with the process. `clock`: Unix seconds."""
        self.told, self._save, self._clock = told, save, clock
        self.out: dict[str, float] = {}
        self._listed: dict[str, None] = {}  # the oldest first

    def listed(self, members: Iterable[str]) -> None:
        """These are on a list now."""
        for member in members:
            if member not in self._listed:
                self._listed[member] = None
                if len(self._listed) > LISTED_MOST:
                    del self._listed[next(iter(self._listed))]

    def mark(self, member: str, out: bool) -> str | None:
        """Leave a member out, or use it again; why not, where that could not be kept. Calls may come twice.

        LookupError: no member of this id was ever listed."""
        if member not in self._listed and member not in self.out:
            raise LookupError(member)

        def change(marks: dict[str, float]) -> None:
            if out:
                marks.setdefault(member, self._clock())
            else:
                marks.pop(member, None)

        if self._save is None:
            marks = dict(self.out)
            change(marks)
            self.follow(marks)
            return None
        try:
            self.follow(self._save(change))
        except OSError as problem:
            return f"the mark could not be kept, so nothing has changed: {problem}"
        return None

    def follow(self, marks: Mapping[str, float]) -> None:
        """The marks are these from now on, whoever made them; what differs is told."""
        before, self.out = self.out, dict(marks)
        for member in [member for member in before if member not in marks]:
            self.told.cordon(member, False)
        for member in [member for member in marks if member not in before]:
            self.told.cordon(member, True)
