"""The log: segments in two copies, and the one place where bytes of them are written, cut off, sealed and removed."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import Callable

from loadbalancer.store.errors import FullError, ReadOnlyError, StoreError
from loadbalancer.store.files import File, Files
from loadbalancer.store.records import NUMBER, Kind, Record, Scan, Seal, encode_header
from loadbalancer.store.recovery import COPIES, Recovery


class Segment:
    """One segment. `end`: bytes that are on disk; `live`: records in it that still count."""

    __slots__ = ("number", "end", "live", "sealed", "files", "seal")

    def __init__(self, number: int, store: bytes, files: tuple[File, File] | None, end: int) -> None:
        self.number, self.files, self.end, self.live = number, files, end, 0
        self.sealed = False
        self.seal = Seal.of(store, number)


class Log:
    """The segments of one store, the oldest first."""

    def __init__(self, files: Files, new_id: Callable[[int], bytes]) -> None:
        self.files, self._new_id = files, new_id
        self.segments: dict[int, Segment] = {}
        self.store = b""  # its id
        self.first = 0  # segments before this one are gone
        self.read_only = ""  # why nothing is taken any more
        self._syncs = ThreadPoolExecutor(1, "store-sync")

    def size(self) -> int:
        """Bytes of one copy of all."""
        return sum(segment.end for segment in self.segments.values())

    def last(self) -> Segment:
        return self.segments[next(reversed(self.segments))]

    def begin(self) -> None:
        """The next segment, on disk with its name, and only then the SEAL of the one before."""
        before = self.last() if self.segments else None
        number = before.number + 1 if before is not None else self.first
        self.store = self.store or self._new_id(8)
        made = self._make(number)
        if before is not None:
            self.seal(before)
        self.segments[number] = made

    def seal(self, segment: Segment) -> None:
        if segment.sealed:
            return
        if segment.files is None:
            names = [f"{segment.number:016x}.{copy}" for copy in COPIES]
            segment.files = (self.files.open(names[0]), self.files.open(names[1]))
        self.write(segment, segment.seal.encode(segment.end, Kind.SEAL, b""))
        segment.sealed = True
        self._release(segment)

    def _make(self, number: int) -> Segment:
        head = encode_header(self.store, number)
        made: list[File] = []
        try:
            for copy in COPIES:
                file = self.files.create(f"{number:016x}.{copy}")
                made.append(file)
                file.write(head)
                file.sync()
            self.files.sync_folder()
        except OSError:
            for copy, file in zip(COPIES, made, strict=False):
                file.close()
                self.files.remove(f"{number:016x}.{copy}")
            raise
        return Segment(number, self.store, (made[0], made[1]), len(head))

    @staticmethod
    def _release(segment: Segment) -> None:
        """Its descriptors are given back; what is read of it is read by name."""
        if segment.files is not None:
            for file in segment.files:
                file.close()
            segment.files = None

    def remove(self, number: int) -> None:
        for copy in COPIES:
            name = f"{number:016x}.{copy}"
            if name in self.files.names():
                self.files.remove(name)

    def write(self, segment: Segment, data: bytes) -> None:
        """Bytes behind the segment's end, on disk in both copies when this returns.

        An fsync that fails is final: what it did not write is not written by asking again, so nothing more is taken.
        A write that fails (a full disk) is cut off again, and that cut must reach the disk: a batch that was refused
        may not come back after a restart."""
        assert segment.files is not None
        try:
            for file in segment.files:
                file.write(data)
        except OSError as problem:
            try:
                for file in segment.files:
                    file.cut(segment.end)
                    file.sync()
            except OSError as worse:
                self.fail(f"a write failed ({problem}) and could not be taken back ({worse})")
            raise FullError(f"the disk does not take it: {problem}") from None
        first = self._syncs.submit(segment.files[0].sync)
        problems: list[OSError] = []
        try:
            segment.files[1].sync()
        except OSError as problem:
            problems.append(problem)
        try:
            first.result()
        except OSError as problem:
            problems.append(problem)
        if problems:
            self.fail(f"fsync failed: {problems[0]}")
        segment.end += len(data)

    def fail(self, why: str) -> None:
        self.read_only = why
        raise ReadOnlyError(why)

    def mend(self, number: int, read: Scan, recovery: Recovery) -> None:
        """Write the copies that differ from what both say together anew, each by a rename: a cut leaves the old one."""
        if read.damage:
            return  # what is there may be of use to somebody
        whole = bytearray(encode_header(self.store, number))
        seal = Seal.of(self.store, number)
        for record in read.records:
            whole += seal.encode(record.at, record.kind, record.payload)
        for copy, wrong in zip(COPIES, read.wrong, strict=True):
            if not wrong:
                continue
            new, name = f"{number:016x}.{copy}.new", f"{number:016x}.{copy}"
            file = self.files.create(new)
            try:
                file.write(bytes(whole))
                file.sync()
            finally:
                file.close()
            self.files.replace(new, name)
            recovery.repaired.append(name)
        self.files.sync_folder()

    def value(self, segment: Segment, at: int, size: int) -> Record:
        """A PUT from either copy, checked anew: a disk may have rotted since it was opened. StoreError where neither
        copy gives it."""
        why: object = "its checksum does not fit"
        for which in range(len(COPIES)):
            try:
                record = segment.seal.decode_alone(self._read(segment, which, at, size), at)
            except OSError as problem:
                why = problem
                continue
            if record is not None and record.kind == Kind.PUT:
                return record
        raise StoreError(f"segment {segment.number}, byte {at}: neither copy can be read: {why}")

    def _read(self, segment: Segment, which: int, at: int, size: int) -> bytes:
        if segment.files is not None:
            return segment.files[which].read_at(at, size)
        file = self.files.open(f"{segment.number:016x}.{COPIES[which]}")
        try:
            return file.read_at(at, size)
        finally:
            file.close()

    def drop(self, oldest: Segment) -> None:
        """The oldest segment goes: first that is on disk, then its files."""
        segment = self.last()
        self.write(segment, segment.seal.encode(segment.end, Kind.DROP, NUMBER.pack(oldest.number + 1)))
        self.first = oldest.number + 1
        del self.segments[oldest.number]
        self._release(oldest)
        self.remove(oldest.number)
        self.files.sync_folder()

    def close(self) -> None:
        """Descriptors and the lock are given back; what is acknowledged is on disk already."""
        for segment in self.segments.values():
            self._release(segment)
        self._syncs.shutdown()
        self.files.unlock()
