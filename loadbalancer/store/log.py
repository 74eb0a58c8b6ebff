"""The segment log: two copies of each segment. Only this module writes, seals and removes them."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import Callable, NoReturn

from loadbalancer.store.errors import FullError, ReadOnlyError, StoreError
from loadbalancer.store.files import File, Files
from loadbalancer.store.records import NUMBER_LAYOUT, Record, RecordCodec, RecordKind, encode_header
from loadbalancer.store.recovery import COPIES, RecoveryReport, copy_name
from loadbalancer.store.segment_scan import SegmentScan

STORE_ID_BYTES = 8


class Segment:
    """One segment of the log, with its two files while it is written to."""

    __slots__ = ("codec", "end", "files", "live_records", "number", "sealed")

    def __init__(self, number: int, store_id: bytes, files: tuple[File, File] | None, end: int) -> None:
        """Describe a segment that is on disk.

        Args:
            number: Its number.
            store_id: The id of the store.
            files: Its two open copies; None where the segment is not written to, and is read by file name.
            end: Size of each copy on disk, in bytes.
        """
        self.number = number
        self.files = files
        self.end = end
        self.live_records = 0  # records that are the current ones of their keys
        self.sealed = False
        self.codec = RecordCodec.for_segment(store_id, number)


class SegmentLog:
    """The segments of one store, the oldest first. It owns their files and the directory's lock until `close`."""

    def __init__(self, files: Files, new_id: Callable[[int], bytes]) -> None:
        """Create an empty log for a directory.

        Args:
            files: The directory.
            new_id: Creates the id of a new store, with the given number of bytes.
        """
        self.files = files
        self.segments: dict[int, Segment] = {}
        self.store_id = b""
        self.first_segment = 0  # all segments before this number have been removed
        self.read_only = ""  # the reason why writes are rejected; empty while they are accepted
        self._new_id = new_id
        self._sync_pool = ThreadPoolExecutor(1, "store-sync")

    def size_bytes(self) -> int:
        """Return the total size of all segments in bytes, with one copy counted."""
        return sum(segment.end for segment in self.segments.values())

    def oldest(self) -> Segment:
        """Return the segment that was begun first."""
        return next(iter(self.segments.values()))

    def newest(self) -> Segment:
        """Return the segment that is written to."""
        return self.segments[next(reversed(self.segments))]

    def begin_segment(self) -> None:
        """Begin the next segment; the previous one is sealed only once the new one and its name are on disk.

        Raises:
            OSError: The segment could not be created; its files are removed.
        """
        before = self.newest() if self.segments else None
        number = before.number + 1 if before is not None else self.first_segment
        self.store_id = self.store_id or self._new_id(STORE_ID_BYTES)
        segment = self._create_segment(number)
        if before is not None:
            self.seal_segment(before)
        self.segments[number] = segment

    def seal_segment(self, segment: Segment) -> None:
        """Write the SEAL of a segment and close its files; do nothing if it is sealed already."""
        if segment.sealed:
            return
        if segment.files is None:
            first, second = (self.files.open(copy_name(segment.number, copy)) for copy in COPIES)
            segment.files = first, second
        self.write(segment, segment.codec.encode(segment.end, RecordKind.SEAL, b""))
        segment.sealed = True
        self._release(segment)

    def _create_segment(self, number: int) -> Segment:
        header = encode_header(self.store_id, number)
        created: list[File] = []
        try:
            for copy in COPIES:
                file = self.files.create(copy_name(number, copy))
                created.append(file)
                file.write(header)
                file.sync()
            self.files.sync_directory()
        except OSError:
            for copy, file in zip(COPIES, created, strict=False):
                file.close()
                self.files.remove(copy_name(number, copy))
            raise
        return Segment(number, self.store_id, (created[0], created[1]), len(header))

    @staticmethod
    def _release(segment: Segment) -> None:
        """Close a segment's files; from now on it is read by file name."""
        if segment.files is not None:
            for file in segment.files:
                file.close()
            segment.files = None

    def remove(self, number: int) -> None:
        """Remove both copies of a segment, where they exist."""
        for copy in COPIES:
            name = copy_name(number, copy)
            if name in self.files.list_names():
                self.files.remove(name)

    def write(self, segment: Segment, data: bytes) -> None:
        """Append to a segment; the bytes are on disk in both copies when this returns.

        Raises:
            FullError: The write failed. The files are truncated to their previous size, and the truncation is synced,
                since a rejected batch must not reappear after a restart.
            ReadOnlyError: An fsync or the truncation failed. All further writes are rejected, since a second fsync does
                not write the data that a failed one has dropped.
        """
        assert segment.files is not None
        self._append(segment, segment.files, data)
        self._sync(segment.files)
        segment.end += len(data)

    def _append(self, segment: Segment, files: tuple[File, File], data: bytes) -> None:
        try:
            for file in files:
                file.write(data)
        except OSError as problem:
            self._truncate_failed_write(segment, files, problem)
            raise FullError(f"the disk does not take it: {problem}") from None

    def _truncate_failed_write(self, segment: Segment, files: tuple[File, File], problem: OSError) -> None:
        """Remove the bytes that a failed write has left after the segment's end."""
        try:
            for file in files:
                file.truncate(segment.end)
                file.sync()
        except OSError as truncate_problem:
            self.fail(f"a write failed ({problem}) and could not be taken back ({truncate_problem})")

    def _sync(self, files: tuple[File, File]) -> None:
        """Sync both copies in parallel."""
        first = self._sync_pool.submit(files[0].sync)
        problems: list[OSError] = []
        for wait in (files[1].sync, first.result):
            try:
                wait()
            except OSError as problem:
                problems.append(problem)
        if problems:
            self.fail(f"fsync failed: {problems[0]}")

    def fail(self, reason: str) -> NoReturn:
        """Make the log read-only, for this reason.

        Raises:
            ReadOnlyError: Always.
        """
        self.read_only = reason
        raise ReadOnlyError(reason)

    def repair(self, number: int, scan: SegmentScan, report: RecoveryReport) -> None:
        """Rewrite each copy that differs from the combined content of both.

        A copy is replaced by a rename, so that an interruption leaves the old one.
        """
        if scan.damage:
            return  # the files stay unchanged for a manual rescue
        content = bytearray(encode_header(self.store_id, number))
        codec = RecordCodec.for_segment(self.store_id, number)
        for record in scan.records:
            content += codec.encode(record.offset, record.kind, record.payload)
        for copy, needs_repair in zip(COPIES, scan.needs_repair, strict=True):
            if needs_repair:
                self._write_copy(copy_name(number, copy), bytes(content))
                report.repaired_files.append(copy_name(number, copy))
        self.files.sync_directory()

    def _write_copy(self, name: str, content: bytes) -> None:
        file = self.files.create(f"{name}.new")
        try:
            file.write(content)
            file.sync()
        finally:
            file.close()
        self.files.replace(f"{name}.new", name)

    def read_record(self, segment: Segment, offset: int, size: int) -> Record:
        """Read a PUT from either copy.

        Its checksum is verified again, since data on disk may have decayed after the store was opened.

        Raises:
            StoreError: The record can be read from neither copy.
        """
        reason: object = "its checksum does not fit"
        for which in range(len(COPIES)):
            try:
                record = segment.codec.decode_alone(self._read(segment, which, offset, size), offset)
            except OSError as problem:
                reason = problem
                continue
            if record is not None and record.kind == RecordKind.PUT:
                return record
        raise StoreError(f"segment {segment.number}, byte {offset}: neither copy can be read: {reason}")

    def _read(self, segment: Segment, which: int, offset: int, size: int) -> bytes:
        if segment.files is not None:
            return segment.files[which].read_at(offset, size)
        file = self.files.open(copy_name(segment.number, COPIES[which]))
        try:
            return file.read_at(offset, size)
        finally:
            file.close()

    def drop_oldest(self) -> None:
        """Remove the oldest segment: write a DROP first, and remove the files once it is on disk."""
        oldest = self.oldest()
        segment = self.newest()
        following = oldest.number + 1
        self.write(segment, segment.codec.encode(segment.end, RecordKind.DROP, NUMBER_LAYOUT.pack(following)))
        self.first_segment = following
        del self.segments[oldest.number]
        self._release(oldest)
        self.remove(oldest.number)
        self.files.sync_directory()

    def close(self) -> None:
        """Release the files, the sync thread and the lock; acknowledged writes are on disk already."""
        for segment in self.segments.values():
            self._release(segment)
        self._sync_pool.shutdown()
        self.files.unlock()
