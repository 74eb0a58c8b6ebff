"""The store's index: the location of each key's current record. No I/O.

An entry is one integer that packs expiry (ms, 48 bits), segment number (32), offset (32) and size (24), so that a
million keys fit in a few hundred megabytes.
"""

from __future__ import annotations

import heapq
from typing import Iterator, NamedTuple

_SIZE_BITS = 24
_OFFSET_BITS = 32
_SEGMENT_BITS = 32
_SIZE_MASK = (1 << _SIZE_BITS) - 1
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1
_SEGMENT_MASK = (1 << _SEGMENT_BITS) - 1


class RecordLocation(NamedTuple):
    """The location of a key's record, and its expiry."""

    segment_number: int
    """The number of the segment that holds the record."""
    offset: int
    """The record's offset from the segment's start, in bytes."""
    size: int
    """The size of the record in bytes."""
    expires_ms: int
    """Unix milliseconds after which the key is gone; 0 for never."""

    def has_expired(self, now: float) -> bool:
        """Return whether the key has expired by this Unix time, in seconds."""
        return 0 < self.expires_ms <= now * 1000


def _pack(location: RecordLocation) -> int:
    entry = location.expires_ms
    entry = entry << _SEGMENT_BITS | location.segment_number
    entry = entry << _OFFSET_BITS | location.offset
    return entry << _SIZE_BITS | location.size


def _unpack(entry: int) -> RecordLocation:
    size = entry & _SIZE_MASK
    entry >>= _SIZE_BITS
    offset = entry & _OFFSET_MASK
    entry >>= _OFFSET_BITS
    return RecordLocation(entry & _SEGMENT_MASK, offset, size, entry >> _SEGMENT_BITS)


class Index:
    """Maps each key to the location of its current record.

    Compaction walks a list of keys for each segment; a key whose record has moved to another segment stays in the old
    list and is skipped there.
    """

    def __init__(self) -> None:
        self.bytes = 0  # total size of the current records
        self._entries: dict[bytes, int] = {}
        self._keys_by_segment: dict[int, list[bytes]] = {}
        self._expiring: list[
            tuple[int, bytes]
        ] = []  # heap by expiry; each put with an expiry adds an entry, and outdated entries are skipped

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: bytes) -> bool:
        return key in self._entries

    def keys(self) -> Iterator[bytes]:
        """Iterate over all keys, including expired ones."""
        return iter(self._entries)

    def find(self, key: bytes) -> RecordLocation | None:
        """Return the location of the key's record; None where the key is not in the index."""
        entry = self._entries.get(key)
        return None if entry is None else _unpack(entry)

    def put(self, key: bytes, location: RecordLocation) -> int | None:
        """Set the location of the key's record.

        Returns:
            The number of the segment that held the previous record; None where there was none.
        """
        before = self.remove(key)
        self._entries[key] = _pack(location)
        self.bytes += location.size
        self._keys_by_segment.setdefault(location.segment_number, []).append(key)
        if location.expires_ms:
            heapq.heappush(self._expiring, (location.expires_ms, key))
        return before

    def remove(self, key: bytes) -> int | None:
        """Remove a key.

        Returns:
            The number of the segment that holds its record; None where the key was not in the index.
        """
        entry = self._entries.pop(key, None)
        if entry is None:
            return None
        location = _unpack(entry)
        self.bytes -= location.size
        return location.segment_number

    def take_expired(self, now: float) -> list[bytes]:
        """Return the keys that have expired by this Unix time, in seconds; each key is returned once."""
        expired = []
        while self._expiring and self._expiring[0][0] <= now * 1000:
            expires_ms, key = heapq.heappop(self._expiring)
            location = self.find(key)
            if location is not None and location.expires_ms == expires_ms:
                expired.append(key)
        return list(dict.fromkeys(expired))

    def take_keys_of_segment(self, number: int, limit: int) -> list[tuple[bytes, RecordLocation]]:
        """Return up to `limit` keys whose current records are in a segment, the latest first.

        Each key is returned once, unless `restore_keys_of_segment` puts it back.
        """
        keys = self._keys_by_segment.get(number, [])
        found: list[tuple[bytes, RecordLocation]] = []
        seen: set[bytes] = set()
        while keys and len(found) < limit:
            key = keys.pop()
            location = self.find(key)
            if location is not None and location.segment_number == number and key not in seen:
                seen.add(key)
                found.append((key, location))
        if not keys:
            self._keys_by_segment.pop(number, None)
        return found

    def restore_keys_of_segment(self, number: int, keys: list[bytes]) -> None:
        """Put back keys that `take_keys_of_segment` returned and that could not be moved."""
        self._keys_by_segment.setdefault(number, []).extend(keys)
