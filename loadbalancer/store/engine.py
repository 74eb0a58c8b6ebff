"""The storage engine: a key-value store on a segmented log, written in batches and compacted.

It has no thread, event loop or clock of its own.

**What an acknowledgement means**: `Engine.commit` returns once the batch is on disk in both copies of its segment, by
an fsync of each file; the directory was synced when the segment was created. A batch for which `commit` raises is not
in the store.

**Files**: `NUMBER.a` and `NUMBER.b`, identical byte for byte, and `lock`. A segment is sealed once the next one exists,
so a missing segment can be distinguished from one that was never created. Opening always begins a new segment: nothing
is appended after bytes that this process has not written.

**Compaction** removes the oldest segment: its current records are appended to the newest segment, then a DROP is
written and both copies are removed. An interruption in between leaves a record twice, with the same value. A DELETE
may be removed with the oldest segment, since no older value is left that it would have to hide.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Callable, Iterator, NamedTuple, Sequence

from loadbalancer.store.errors import FullError, LockedError, ReadOnlyError
from loadbalancer.store.files import Files
from loadbalancer.store.index import Index, RecordLocation
from loadbalancer.store.log import Segment, SegmentLog
from loadbalancer.store.records import (
    NUMBER_LAYOUT,
    Record,
    RecordKind,
    decode_delete,
    decode_number,
    decode_put,
    decode_put_key,
    encode_delete,
    encode_put,
)
from loadbalancer.store.recovery import RecoveryReport, StoreReader

MS_PER_S = 1000


class Put(NamedTuple):
    """A write that stores a value under a key."""

    key: bytes
    """The key."""
    value: bytes
    """The value."""
    expires: float = 0.0
    """Unix seconds after which the key is gone; 0 for never."""


class Delete(NamedTuple):
    """A write that removes a key."""

    key: bytes
    """The key."""


Write = Put | Delete


class EncodedBatch(NamedTuple):
    """A batch encoded for its position in a segment."""

    data: bytes
    """The bytes to append."""
    offsets: list[int]
    """The segment offset at which the record of each write begins, and, last, the one at which the batch ends."""


@dataclass(frozen=True, slots=True)
class StoreBounds:
    """Limits on the size of a store."""

    segment_bytes: int = 8 << 20
    """Size of a segment, in bytes, at which the next one is begun."""
    max_bytes: int = 256 << 20
    """Total size of all segments, in bytes, with one of the two copies counted."""
    max_keys: int = 1_000_000
    """Number of keys that have a value."""


DEFAULT_BOUNDS = StoreBounds()
COMPACTION_STEP = 256
"""The most records that one step of compaction moves."""


class Engine:
    """A key-value store in one directory.

    It must be used by one thread at a time, and owns the segment log until `close`.
    """

    def __init__(
        self,
        files: Files,
        clock: Callable[[], float],
        bounds: StoreBounds = DEFAULT_BOUNDS,
        new_id: Callable[[int], bytes] = os.urandom,
    ) -> None:
        """Create an engine for a directory; `open` reads it.

        Args:
            files: The directory.
            clock: Returns Unix seconds; it may step back.
            bounds: Limits on the size of the store.
            new_id: Creates the id of a new store, with the given number of bytes.
        """
        self.bounds = bounds
        self.log = SegmentLog(files, new_id)
        self.index = Index()
        self.recovery = RecoveryReport()
        self._clock = clock
        self._latest_time = 0.0  # the latest Unix time of all batches, in seconds

    @property
    def read_only(self) -> str:
        """The reason why changes are rejected; empty while they are accepted."""
        return self.log.read_only

    def now(self) -> float:
        """Return Unix seconds that never go back, not even across restarts, so that an expired key stays expired.

        If the clock was once far ahead, keys expire late, since time stands still until the correct time has caught up.
        """
        self._latest_time = max(self._latest_time, self._clock())
        return self._latest_time

    def open(self) -> RecoveryReport:
        """Read the directory, repair damaged copies and begin a new segment.

        Where acknowledged data is damaged in both copies, or a segment is missing, the remaining data can be read and
        the store is read-only, since the lost keys are unknown.

        Returns:
            A report of the contents and of any damage.

        Raises:
            LockedError: Another process has the store open.
            NewerError: The store has a newer format.
            OSError: The directory cannot be read, or a new segment cannot be created.
        """
        try:
            self.log.files.lock()
        except BlockingIOError:
            raise LockedError("another process has the store open; one writer at a time") from None
        try:
            self._read_segments()
            self._begin_writing()
        except BaseException:
            self.close()
            raise
        return self.recovery

    def _begin_writing(self) -> None:
        log = self.log
        if not self.recovery.is_intact:
            log.read_only = "acknowledged data is damaged: " + "; ".join(self.recovery.lines()[1:])
            return
        for segment in list(log.segments.values())[:-1]:
            log.seal_segment(segment)
        log.begin_segment()

    def _read_segments(self) -> None:
        reader = StoreReader(self.log.files)
        report = self.recovery = reader.read()
        self.log.store_id = reader.store_id
        self.log.first_segment = reader.first_segment
        for number, scan in reader.scans.items():
            segment = Segment(number, self.log.store_id, None, scan.end)
            segment.sealed = scan.sealed
            self.log.segments[number] = segment
            report.records += len(scan.records)
            report.torn_bytes += scan.torn_bytes
            for record in scan.records:
                self._apply(segment, record)
        report.segments = len(self.log.segments)
        report.keys = len(self.index)
        if report.is_intact:  # otherwise the files stay unchanged for a manual rescue
            self._repair(reader)

    def _repair(self, reader: StoreReader) -> None:
        """Remove segments that are not part of the store, and rewrite damaged copies."""
        for number in reader.obsolete_segments:
            self.log.remove(number)
        for number, scan in reader.scans.items():
            if any(scan.needs_repair):
                self.log.repair(number, scan, self.recovery)

    def _apply(self, segment: Segment, record: Record) -> None:
        if record.kind == RecordKind.PUT:
            key, expires_ms = decode_put_key(record.payload)
            location = RecordLocation(segment.number, record.offset, record.size, expires_ms)
            self._count_put(segment, key, location)
        elif record.kind == RecordKind.DELETE:
            self._count_removed(self.index.remove(decode_delete(record.payload)))
        elif record.kind == RecordKind.TIME:
            self._latest_time = max(self._latest_time, decode_number(record.payload) / MS_PER_S)

    def _count_put(self, segment: Segment, key: bytes, location: RecordLocation) -> None:
        before = self.index.put(key, location)
        segment.live_records += 1
        self._count_removed(before)

    def _count_removed(self, number: int | None) -> None:
        """Decrement the number of current records in this segment; do nothing for None."""
        if number is None:
            return
        segment = self.log.segments.get(number)
        if segment is not None:
            segment.live_records -= 1

    def commit(self, writes: Sequence[Write]) -> None:
        """Write a batch atomically: either all of it is on disk, or an error is raised and none of it is in the store.

        Raises:
            FullError: A size limit is reached, or the disk is full.
            ReadOnlyError: The store rejects changes.
            StoreError: A key or a value is too long.
        """
        if self.read_only:
            raise ReadOnlyError(self.read_only)
        self._check_room(writes)
        self._append(writes)

    def _append(self, writes: Sequence[Write]) -> None:
        """Write a batch without a check of the size limits; compaction moves records that are already counted."""
        if self.log.newest().end >= self.bounds.segment_bytes:
            try:
                self.log.begin_segment()
            except OSError as problem:
                raise FullError(f"no new segment could be begun: {problem}") from None
        segment = self.log.newest()
        batch = self._encode(segment, self.now(), writes)
        self.log.write(segment, batch.data)
        self._count(segment, writes, batch.offsets)

    def _check_room(self, writes: Sequence[Write]) -> None:
        """Raise FullError for new keys at a size limit; deletes and changes of existing keys are still accepted.

        A full store rejects writes rather than evict stored keys.
        """
        new = {write.key for write in writes if isinstance(write, Put) and write.key not in self.index}
        if not new:
            return
        max_keys = self.bounds.max_keys
        if len(self.index) + len(new) > max_keys:
            self.expire()
            if len(self.index) + len(new) > max_keys:
                raise FullError(f"{max_keys} keys are held, the bound; raise keys or wait until some expire")
        max_bytes = self.bounds.max_bytes
        if self.log.size_bytes() > max_bytes:
            raise FullError(f"{max_bytes} bytes are held, the bound; raise bytes or wait until some expire")

    @staticmethod
    def _encode(segment: Segment, now: float, writes: Sequence[Write]) -> EncodedBatch:
        """Encode a batch for the end of a segment; `now` is in Unix seconds."""
        encode = segment.codec.encode
        parts = [encode(segment.end, RecordKind.TIME, NUMBER_LAYOUT.pack(int(now * MS_PER_S)))]
        offset = segment.end + len(parts[0])
        offsets = [offset]
        for write in writes:
            if isinstance(write, Put):
                payload = encode_put(write.key, write.value, int(write.expires * MS_PER_S))
                data = encode(offset, RecordKind.PUT, payload)
            else:
                data = encode(offset, RecordKind.DELETE, encode_delete(write.key))
            parts.append(data)
            offset += len(data)
            offsets.append(offset)
        return EncodedBatch(b"".join(parts), offsets)

    def _count(self, segment: Segment, writes: Sequence[Write], offsets: Sequence[int]) -> None:
        """Add a batch that is on disk to the index."""
        for write, offset, end in zip(writes, offsets, offsets[1:], strict=False):
            if isinstance(write, Put):
                expires_ms = int(write.expires * MS_PER_S)
                location = RecordLocation(segment.number, offset, end - offset, expires_ms)
                self._count_put(segment, write.key, location)
            else:
                self._count_removed(self.index.remove(write.key))

    def get(self, key: bytes) -> bytes | None:
        """Return the value of a key; None where there is none or it has expired.

        Raises:
            StoreError: The value can be read from neither copy.
        """
        location = self.index.find(key)
        if location is None or location.has_expired(self.now()):
            return None
        return self._read_value(location)

    def _read_value(self, location: RecordLocation) -> bytes:
        segment = self.log.segments[location.segment_number]
        record = self.log.read_record(segment, location.offset, location.size)
        return decode_put(record.payload).value

    def keys(self, prefix: bytes = b"") -> Iterator[bytes]:
        """Yield the keys with a prefix that have not expired."""
        now = self.now()
        for key in list(self.index.keys()):
            if not key.startswith(prefix):
                continue
            location = self.index.find(key)
            if location is not None and not location.has_expired(now):
                yield key

    def expire(self) -> int:
        """Remove expired keys from the index; compaction reclaims their bytes.

        Returns:
            The number of keys removed.
        """
        expired = self.index.take_expired(self.now())
        for key in expired:
            self._count_removed(self.index.remove(key))
        return len(expired)

    def wants_compaction(self) -> bool:
        """Return whether compaction is worthwhile.

        This is the case where over half of the bytes, and more than a segment's worth, are not current, or where the
        oldest segment has no current records.
        """
        if self.read_only or len(self.log.segments) < 2:
            return False
        if self.log.oldest().live_records <= 0:
            return True
        return self.log.size_bytes() > 2 * self.index.bytes + self.bounds.segment_bytes

    def compact(self, limit: int = COMPACTION_STEP) -> bool:
        """Run one step of compaction: move records of the oldest segment, or remove it once none is current.

        A step writes one batch, which bounds how long a concurrent append waits.

        Args:
            limit: The most records to move.

        Returns:
            Whether there is more to compact.
        """
        self.expire()
        if not self.wants_compaction():
            return False
        oldest = self.log.oldest()
        moving = self.index.take_keys_of_segment(oldest.number, limit)
        if moving:
            self._move(oldest, moving)
        elif oldest.live_records:
            reason = f"{oldest.live_records} records that the index does not know"
            self.log.fail(f"segment {oldest.number} holds {reason}")
        else:
            self.log.drop_oldest()
        return self.wants_compaction()

    def _move(self, segment: Segment, moving: list[tuple[bytes, RecordLocation]]) -> None:
        """Append records of a segment to the newest segment; on failure they stay listed for the next step."""
        try:
            self._append(
                [
                    Put(key, self._read_value(location), location.expires_ms / MS_PER_S)
                    for key, location in moving
                ]
            )
        except BaseException:
            self.index.restore_keys_of_segment(segment.number, [key for key, _ in moving])
            raise

    def close(self) -> None:
        """Release the files and the lock; acknowledged writes are on disk already."""
        self.log.close()
