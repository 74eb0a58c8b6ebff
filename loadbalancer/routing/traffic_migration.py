"""A part of a pool's traffic that operators send to another pool: which request goes where. Pure: times and draws by
the caller.

*No effect twice* holds over it. Members of one pool drop repeats of a key for a while, those of another know nothing of
them; so a key stays with the pool that first got it for as long as its window, whatever operators change meanwhile:

1. Every keyed request is noted with the pool that it went to, while a move is in force and for a window after that.
2. Keys that are not noted may have been used before the noting began: for one window after that they stay at home.
3. Where the table is full, a key can't be noted and stays at home; and for one window after that so do all that are not
   noted.

A key's draw is by its digest, so that a process that starts anew places it as the one before did; what is noted ends
with the process. **What that leaves open**: a share that was changed less than a window before a crash. Who can't
bear it remembers keys in the store, whose ledger stands ahead of this.

A session stays where its member is. All else goes by a random draw.
"""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from typing import Annotated

from msgspec import Meta, Struct

#: Keys noted at once; some 200 bytes each.
KEYS_MOST = 65_536


class Migration(Struct, frozen=True):
    """What operators say: `share` of a pool's requests go to the pool `other`. `until`: Unix seconds, 0 for no end."""

    other: Annotated[str, Meta(max_length=400)]
    share: Annotated[float, Meta(ge=0, le=1)]
    until: float = 0.0
    by: str = ""
    reason: str = ""
    at: float = 0.0

    def is_over(self, now: float) -> bool:
        return 0 < self.until <= now


class Migrations:
    """The moves of one pool. It outlasts reloads, since keys do."""

    def __init__(self, window: float, most: int = KEYS_MOST) -> None:
        """`window`: the longest time in seconds for which members of the pool drop repeats of a key."""
        self.window, self._most = window, most
        self.move: Migration | None = None
        self._noted: OrderedDict[bytes, tuple[float, str | None]] = (
            OrderedDict()
        )  # oldest first: until when, where
        self._since = -math.inf  # from then on all keys are noted
        self._noting_until = -math.inf

    def say(self, move: Migration | None, now: float) -> None:
        """Operators say this from now on; None ends it."""
        if self.move is None and now > self._noting_until:
            self._since = now
        self.move = move
        self._noting_until = math.inf if move is not None else now + self.window

    def resume(self, move: Migration) -> None:
        """Go on with what a process before this one was told: keys are placed as it has placed them."""
        self.move, self._since, self._noting_until = move, move.at, math.inf

    def is_idle(self, now: float) -> bool:
        """Whether every request stays at home, and nothing has to be noted."""
        return self.move is None and now > self._noting_until

    def place(self, now: float, draw: float, key: bytes | None, at_home: bool | None = None) -> str | None:
        """The pool that a request goes to, None for its own. `draw`: from 0 to 1, uniform. `at_home`: where its session
        is, if it has one."""
        if self.is_idle(now):
            self._noted.clear()
            return None
        if key is not None:
            return self._place_key(now, key, at_home)
        return self._draw(draw, at_home)

    def _draw(self, draw: float, at_home: bool | None) -> str | None:
        move = self.move
        if move is None or at_home:
            return None
        return move.other if at_home is False or draw < move.share else None

    def _place_key(self, now: float, key: bytes, at_home: bool | None) -> str | None:
        self._forget(now)
        noted = self._noted.get(key)
        if noted is not None:
            return noted[1]
        if len(self._noted) >= self._most:
            self._since = now
            return None
        draw = int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big") / 2**64
        where = self._draw(draw, at_home) if now >= self._since + self.window else None
        self._noted[key] = now + self.window, where
        return where

    def _forget(self, now: float) -> None:
        while self._noted:
            key, (until, _) = next(iter(self._noted.items()))
            if until > now:
                return
            del self._noted[key]

    def __len__(self) -> int:
        return len(self._noted)
