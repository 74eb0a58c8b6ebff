"""The store as one thread sees it: opened, appended to in batches, compacted, closed. No thread, loop or clock of its
own.

**What an acknowledgement means**: `commit` returns once the batch is on disk in both copies of its segment, by fsync of
each file; the folder was synced when the segment was made. What `commit` raises for is not in the store.

Files: `SEGMENT.a` and `SEGMENT.b`, alike byte for byte, and `lock`. A segment is sealed once the next one exists, so
one that is missing is told from one that was never made. Opening always begins a new segment: nothing is appended
behind bytes that were not written by this process.

**Compaction** takes the oldest segment: what still counts in it is appended anew, then DROP is written and both copies
are removed. A cut in between leaves a value twice, which is the same value; a DELETE may go with the oldest segment,
since nothing older is left that it could hide.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Callable, Iterator, NamedTuple, Sequence

from loadbalancer.store.errors import FullError, LockedError, ReadOnlyError
from loadbalancer.store.files import Files
from loadbalancer.store.index import Index
from loadbalancer.store.log import Log, Segment
from loadbalancer.store.records import (
    NUMBER,
    Kind,
    Record,
    delete_payload,
    put_payload,
    read_delete,
    read_key,
    read_number,
    read_put,
)  # fmt: skip
from loadbalancer.store.recovery import Reading, Recovery


class Put(NamedTuple):
    """`expires`: Unix seconds, 0 for never."""

    key: bytes
    value: bytes
    expires: float = 0.0


class Delete(NamedTuple):
    key: bytes


Change = Put | Delete


@dataclass(frozen=True, slots=True)
class Bounds:
    """`segment`: bytes after which the next one is begun. `bytes`: of all segments, one copy counted. `keys`: alive."""

    segment: int = 8 << 20
    bytes: int = 256 << 20
    keys: int = 1_000_000


class Engine:
    """One store. Every call is from one thread at a time."""

    def __init__(
        self,
        files: Files,
        clock: Callable[[], float],
        bounds: Bounds = Bounds(),
        new_id: Callable[[int], bytes] = os.urandom,
    ) -> None:
        """`clock`: Unix seconds; it may go back. `new_id`: bytes for the id of a new store."""
        self.bounds, self._clock = bounds, clock
        self.log = Log(files, new_id)
        self.index = Index()
        self.recovery = Recovery()
        self._latest = 0.0  # the latest time that any batch was written at

    @property
    def read_only(self) -> str:
        """Why nothing is taken any more, or nothing."""
        return self.log.read_only

    def now(self) -> float:
        """Unix seconds that never go back, over restarts neither: what has expired has, whatever the clock does.

        Harm: a clock that once was far ahead makes keys last until the right time has come to it."""
        self._latest = max(self._latest, self._clock())
        return self._latest

    # Opening.

    def open(self) -> Recovery:
        """Read what is there, mend copies, begin a new segment. LockedError, NewerError, OSError where that can't be.

        Where acknowledged data is damaged in both copies, or a segment is missing, what is left is read, and the store
        is read-only: nobody can say which keys it has lost."""
        log = self.log
        try:
            log.files.lock()
        except BlockingIOError:
            raise LockedError("another process has the store open; one writer at a time") from None
        try:
            self._read()
            if self.recovery.sound:
                for segment in list(log.segments.values())[:-1]:
                    log.seal(segment)  # one that a cut has left so
                log.begin()
            else:
                log.read_only = "acknowledged data is damaged: " + "; ".join(self.recovery.words()[1:])
        except BaseException:
            self.close()
            raise
        return self.recovery

    def _read(self) -> None:
        reading, log = Reading(self.log.files), self.log
        found = self.recovery = reading.read()
        log.store, log.first = reading.store, reading.first
        for number, read in reading.scans.items():
            segment = log.segments[number] = Segment(number, log.store, None, read.end)
            segment.sealed = read.sealed
            found.records += len(read.records)
            found.torn += read.torn
            for record in read.records:
                self._apply(segment, record)
        found.segments, found.keys = len(log.segments), len(self.index)
        if found.sound:  # else what is there may be of use to somebody as it is
            for number in reading.useless:
                log.remove(number)
            for number, read in reading.scans.items():
                if any(read.wrong):
                    log.mend(number, read, found)

    def _apply(self, segment: Segment, record: Record) -> None:
        if record.kind == Kind.PUT:
            key, expires = read_key(record.payload)
            before = self.index.put(key, segment.number, record.at, record.size, expires)
            segment.live += 1
            self._uncount(before)
        elif record.kind == Kind.DELETE:
            self._uncount(self.index.drop(read_delete(record.payload)))
        elif record.kind == Kind.TIME:
            self._latest = max(self._latest, read_number(record.payload) / 1000)

    def _uncount(self, before: int | None) -> None:
        """`before`: number of the segment in which a record has ceased to count."""
        if before is not None and (old := self.log.segments.get(before)) is not None:
            old.live -= 1

    # Writing.

    def commit(self, changes: Sequence[Change]) -> None:
        """All of them on disk, or an error and none of them in the store: FullError, ReadOnlyError, StoreError."""
        if self.read_only:
            raise ReadOnlyError(self.read_only)
        self._check_room(changes)
        self._append(changes)

    def _append(self, changes: Sequence[Change]) -> None:
        """Past the bounds: what is moved is there already."""
        log = self.log
        if log.last().end >= self.bounds.segment:
            try:
                log.begin()
            except OSError as problem:
                raise FullError(f"no new segment could be begun: {problem}") from None
        segment = log.last()
        data, places = self._encode(segment, self.now(), changes)
        log.write(segment, data)
        self._note(segment, changes, places)

    def _check_room(self, changes: Sequence[Change]) -> None:
        """Refuse rather than forget: at a bound nothing new is taken, and deletes still are."""
        new = {c.key for c in changes if isinstance(c, Put) and c.key not in self.index}
        if not new:
            return
        if len(self.index) + len(new) > self.bounds.keys:
            self.expire()
            if len(self.index) + len(new) > self.bounds.keys:
                raise FullError(
                    f"{self.bounds.keys} keys are held, the bound; raise keys or wait until some expire"
                )
        if self.log.size() > self.bounds.bytes:
            raise FullError(
                f"{self.bounds.bytes} bytes are held, the bound; raise bytes or wait until some expire"
            )

    @staticmethod
    def _encode(segment: Segment, now: float, changes: Sequence[Change]) -> tuple[bytes, list[int]]:
        """The batch's bytes, and where each change's record begins, and the last one ends."""
        encode = segment.seal.encode
        parts = [encode(segment.end, Kind.TIME, NUMBER.pack(int(now * 1000)))]
        at = segment.end + len(parts[0])
        places = [at]
        for change in changes:
            if isinstance(change, Put):
                data = encode(at, Kind.PUT, put_payload(change.key, change.value, int(change.expires * 1000)))
            else:
                data = encode(at, Kind.DELETE, delete_payload(change.key))
            parts.append(data)
            at += len(data)
            places.append(at)
        return b"".join(parts), places

    def _note(self, segment: Segment, changes: Sequence[Change], places: Sequence[int]) -> None:
        """What is on disk now counts."""
        for change, at, end in zip(changes, places, places[1:], strict=False):
            if isinstance(change, Put):
                before = self.index.put(change.key, segment.number, at, end - at, int(change.expires * 1000))
                segment.live += 1
            else:
                before = self.index.drop(change.key)
            self._uncount(before)

    # Reading.

    def get(self, key: bytes) -> bytes | None:
        """The value, None where there is none or it has expired. StoreError where both copies fail to give it."""
        found = self.index.find(key)
        if found is None or found.is_over(self.now()):
            return None
        return read_put(self.log.value(self.log.segments[found.number], found.at, found.size).payload)[1]

    def keys(self, prefix: bytes = b"") -> Iterator[bytes]:
        """Those that have not expired."""
        now = self.now()
        for key in list(self.index.keys()):
            if (
                key.startswith(prefix)
                and (found := self.index.find(key)) is not None
                and not found.is_over(now)
            ):
                yield key

    # Keeping it small.

    def expire(self) -> int:
        """Forget what has expired; how many that were. Its bytes go with their segment."""
        over = self.index.over(self.now())
        for key in over:
            self._uncount(self.index.drop(key))
        return len(over)

    def wants_compaction(self) -> bool:
        """Whether more than half of what is held counts no more, past a segment, or the oldest holds nothing at all."""
        if self.read_only or len(self.log.segments) < 2:
            return False
        oldest = next(iter(self.log.segments.values()))
        return oldest.live <= 0 or self.log.size() > 2 * self.index.bytes + self.bounds.segment

    def compact(self, most: int = 256) -> bool:
        """One step: up to `most` records of the oldest segment are appended anew, and once none counts there it goes.
        Whether there is more to do. A step is one batch, so an append waits for no more than that."""
        self.expire()
        if not self.wants_compaction():
            return False
        oldest = next(iter(self.log.segments.values()))
        those = self.index.of(oldest.number, most)
        if those:
            try:
                self._append(
                    [self._moved(oldest, key, found.at, found.size, found.expires_ms) for key, found in those]
                )
            except BaseException:
                self.index.keep(oldest.number, [key for key, _ in those])
                raise
        elif oldest.live:
            self.log.fail(f"segment {oldest.number} holds {oldest.live} records that the index does not know")
        else:
            self.log.drop(oldest)
        return self.wants_compaction()

    def _moved(self, segment: Segment, key: bytes, at: int, size: int, expires_ms: int) -> Put:
        return Put(key, read_put(self.log.value(segment, at, size).payload)[1], expires_ms / 1000)

    def close(self) -> None:
        self.log.close()
