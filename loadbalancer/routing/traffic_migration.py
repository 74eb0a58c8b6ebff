"""Migration of a share of a pool's traffic to another pool: assigns each request to a pool.

Pure: the caller supplies the time and the random draws.

The guarantee *No effect twice* holds during a migration. Members of a pool deduplicate repeats of an idempotency key
for a time window, but know nothing of the keys of another pool. So a key stays with the pool that first got it for its
whole window, whatever operators change in the meantime:

1. Every keyed request is recorded with the pool that it went to, while a migration is active and for one window after.
2. A key that is not recorded may have been used before recording began: for one window from then on it stays with its
   own pool.
3. If the table is full, a new key can't be recorded and stays with its own pool; for one window after that, so do all
   keys that are not recorded.

A key is assigned by its digest, so that a restarted process assigns it as the process before did; the recorded keys are
lost with the process. **Not covered**: a share that was changed less than one window before a crash. Operators who need
that case covered have keys remembered in the store, whose ledger is consulted before this.

A session stays with the pool of its member. All other requests are assigned by a random draw.
"""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from typing import Annotated

from msgspec import Meta, Struct

#: Limit on the keys recorded at one time; each takes some 200 bytes.
MAX_RECORDED_KEYS = 65_536


class Migration(Struct, frozen=True):
    """An operator's order to send a `share` of a pool's requests to the pool `other`."""

    other: Annotated[str, Meta(max_length=400)]
    share: Annotated[float, Meta(ge=0, le=1)]
    until: float = 0.0  # Unix seconds, 0 for no end
    by: str = ""
    reason: str = ""
    at: float = 0.0

    def is_over(self, now: float) -> bool:
        """Return whether its end has passed."""
        return 0 < self.until <= now


class Migrations:
    """Holds the migration of one pool and the keys recorded for it; kept across reloads, since keys stay in use."""

    def __init__(self, window: float, max_keys: int = MAX_RECORDED_KEYS) -> None:
        """Start without a migration.

        Args:
            window: Longest time for which members of the pool deduplicate repeats of a key, in seconds.
            max_keys: Limit on the keys recorded at one time.
        """
        self.window, self._max_keys = window, max_keys
        self.current: Migration | None = None
        # By key, the oldest first: the time at which the entry expires, and the pool, None for the pool's own.
        self._recorded: OrderedDict[bytes, tuple[float, str | None]] = OrderedDict()
        self._recorded_since = -math.inf  # every key used from then on is recorded
        self._recording_until = -math.inf

    def set_migration(self, move: Migration | None, now: float) -> None:
        """Replace the migration by another; None ends it."""
        if self.current is None and now > self._recording_until:
            self._recorded_since = now
        self.current = move
        self._recording_until = math.inf if move is not None else now + self.window

    def resume(self, move: Migration) -> None:
        """Continue the migration of the previous process: keys are assigned as that process assigned them."""
        self.current, self._recorded_since, self._recording_until = move, move.at, math.inf

    def is_idle(self, now: float) -> bool:
        """Return whether every request stays with the pool itself and no key has to be recorded."""
        return self.current is None and now > self._recording_until

    def assign(self, now: float, draw: float, key: bytes | None, at_home: bool | None = None) -> str | None:
        """Return the pool that a request goes to; None for the pool itself.

        Args:
            now: Unix seconds.
            draw: Uniform random number from 0 to 1.
            key: The idempotency key of the request, if it has one.
            at_home: Whether the member of its session belongs to the pool itself; None without a session.
        """
        if self.is_idle(now):
            self._recorded.clear()
            return None
        if key is not None:
            return self._assign_key(now, key, at_home)
        return self._draw(draw, at_home)

    def _draw(self, draw: float, at_home: bool | None) -> str | None:
        move = self.current
        if move is None or at_home:
            return None
        return move.other if at_home is False or draw < move.share else None

    def _assign_key(self, now: float, key: bytes, at_home: bool | None) -> str | None:
        self._drop_expired(now)
        recorded = self._recorded.get(key)
        if recorded is not None:
            return recorded[1]
        if len(self._recorded) >= self._max_keys:
            self._recorded_since = now
            return None
        draw = int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big") / 2**64
        pool = self._draw(draw, at_home) if now >= self._recorded_since + self.window else None
        self._recorded[key] = now + self.window, pool
        return pool

    def _drop_expired(self, now: float) -> None:
        while self._recorded:
            key, (expires_at, _) = next(iter(self._recorded.items()))
            if expires_at > now:
                return
            del self._recorded[key]

    def __len__(self) -> int:
        return len(self._recorded)
