"""Where each key's record stands. Pure; a million keys fit in a few hundred megabytes.

An entry is one integer: expiry (ms, 48 bits), segment (32), place (32), size (24). A key's segment is looked up by the
lists that compaction walks, one for each segment, in which what has moved on is passed over.
"""

from __future__ import annotations

import heapq
from typing import Iterator, NamedTuple

_SIZE, _AT, _NUMBER = 24, 32, 32
_MASK_SIZE, _MASK_AT, _MASK_NUMBER = (1 << _SIZE) - 1, (1 << _AT) - 1, (1 << _NUMBER) - 1


class Found(NamedTuple):
    """`expires_ms`: Unix milliseconds, 0 for never."""

    number: int
    at: int
    size: int
    expires_ms: int

    def is_over(self, now: float) -> bool:
        return 0 < self.expires_ms <= now * 1000


def _unpack(entry: int) -> Found:
    size = entry & _MASK_SIZE
    entry >>= _SIZE
    at = entry & _MASK_AT
    entry >>= _AT
    return Found(entry & _MASK_NUMBER, at, size, entry >> _NUMBER)


class Index:
    def __init__(self) -> None:
        self._entries: dict[bytes, int] = {}
        self._by_segment: dict[int, list[bytes]] = {}
        self._expiring: list[tuple[int, bytes]] = []  # a heap; what was put again has another entry
        self.bytes = 0  # of the records that count

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: bytes) -> bool:
        return key in self._entries

    def keys(self) -> Iterator[bytes]:
        return iter(self._entries)

    def find(self, key: bytes) -> Found | None:
        entry = self._entries.get(key)
        return None if entry is None else _unpack(entry)

    def put(self, key: bytes, number: int, at: int, size: int, expires: int) -> int | None:
        """The key's record stands here now; number of the segment where it stood before."""
        before = self._forget(key) if key in self._entries else None
        self._entries[key] = ((expires << _NUMBER | number) << _AT | at) << _SIZE | size
        self.bytes += size
        if number not in self._by_segment:
            self._by_segment[number] = []
        self._by_segment[number].append(key)
        if expires:
            heapq.heappush(self._expiring, (expires, key))
        return before

    def drop(self, key: bytes) -> int | None:
        """There is no such key any more; number of the segment where it stood."""
        return self._forget(key)

    def _forget(self, key: bytes) -> int | None:
        entry = self._entries.pop(key, None)
        if entry is None:
            return None
        found = _unpack(entry)
        self.bytes -= found.size
        return found.number

    def over(self, now: float) -> list[bytes]:
        """The keys that have expired by now, each told once."""
        keys = []
        while self._expiring and self._expiring[0][0] <= now * 1000:
            expires, key = heapq.heappop(self._expiring)
            found = self.find(key)
            if found is not None and found.expires_ms == expires:
                keys.append(key)
        return list(dict.fromkeys(keys))

    def of(self, number: int, most: int) -> list[tuple[bytes, Found]]:
        """Up to `most` keys whose records stand in a segment, from its end; what has moved on is forgotten here."""
        those = self._by_segment.get(number, [])
        found: list[tuple[bytes, Found]] = []
        seen: set[bytes] = set()
        while those and len(found) < most:
            key = those.pop()
            one = self.find(key)
            if one is not None and one.number == number and key not in seen:
                seen.add(key)
                found.append((key, one))
        if not those:
            self._by_segment.pop(number, None)
        return found

    def keep(self, number: int, keys: list[bytes]) -> None:
        """What `of` has told could not be moved: it is told again."""
        self._by_segment.setdefault(number, []).extend(keys)
