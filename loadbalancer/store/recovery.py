"""Reads the segments of a store from both copies, and reports damage, when the store is opened.

The only change made here is the removal of files that an interrupted repair has left. This module decides what counts
as a loss of acknowledged data: damage at the same place in both copies, and a segment that must exist and does not.
"""

from __future__ import annotations

import string
from dataclasses import dataclass, field

from loadbalancer.store.files import Files
from loadbalancer.store.records import (
    HEADER_LAYOUT,
    RecordCodec,
    RecordKind,
    decode_header,
    decode_number,
    encode_header,
)
from loadbalancer.store.segment_scan import Damage, SegmentScan, scan_segment

COPIES = ("a", "b")
"""File name endings of a segment's two copies."""
REPAIR_ENDING = "new"
"""File name ending of a copy that is being rewritten."""
LOCK_NAME = "lock"
NUMBER_DIGITS = 16
"""Hexadecimal digits of a segment's number in its file names."""


def copy_name(number: int, copy: str) -> str:
    """Return the file name of a segment's copy."""
    return f"{number:0{NUMBER_DIGITS}x}.{copy}"


@dataclass(slots=True)
class RecoveryReport:
    """The contents and the damage that were found when a store was opened."""

    segments: int = 0
    """Number of segments."""
    records: int = 0
    """Number of valid records in the segments."""
    keys: int = 0
    """Number of keys that have a value."""
    damage: list[Damage] = field(default_factory=list)
    """Ranges of acknowledged bytes that are valid in neither copy."""
    missing_segments: list[int] = field(default_factory=list)
    """Numbers of segments that must exist and do not."""
    foreign_files: list[str] = field(default_factory=list)
    """Files that do not belong to this store, or not to the segment in their name."""
    repaired_files: list[str] = field(default_factory=list)
    """Files that were rewritten from the other copy."""
    unreadable_files: list[str] = field(default_factory=list)
    """Files that could not be read, each with the error."""
    torn_bytes: int = 0
    """Bytes after the last valid record of a segment, from a batch that was never acknowledged."""

    @property
    def is_intact(self) -> bool:
        """Whether no acknowledged data is lost."""
        return not (self.damage or self.missing_segments)

    def lines(self) -> list[str]:
        """Return the report for operators, one line for each finding; the first is a summary."""
        lines = [f"{self.segments} segments, {self.records} records, {self.keys} keys"]
        for damage in self.damage:
            place = f"segment {damage.segment_number}, bytes {damage.start} to {damage.end}"
            lines.append(f"damaged in both copies: {place}")
        lines += [f"missing: segment {number}" for number in self.missing_segments]
        lines += [f"not of this store, left alone: {name}" for name in self.foreign_files]
        lines += [f"could not be read: {name}" for name in self.unreadable_files]
        lines += [f"written anew from its other copy: {name}" for name in self.repaired_files]
        if self.torn_bytes:
            lines.append(f"{self.torn_bytes} bytes of a batch that was never acknowledged")
        return lines


class StoreReader:
    """Reads the files of a store once.

    After `read`, `scans` holds the segments of the store by number, `first_segment` is the first one that must exist,
    and `obsolete_segments` holds the numbers whose files never were, or no longer are, part of the store.
    """

    def __init__(self, files: Files) -> None:
        self.files = files
        self.report = RecoveryReport()
        self.store_id = b""  # taken from the first valid header
        self.first_segment = 0
        self.scans: dict[int, SegmentScan] = {}
        self.obsolete_segments: list[int] = []

    def read(self) -> RecoveryReport:
        """Read all segments.

        Returns:
            A report of the contents and the damage.

        Raises:
            NewerError: The store has a newer format.
            OSError: The directory cannot be read.
        """
        invalid_sizes: dict[int, int] = {}
        for number, copies in sorted(self._list_segments().items()):
            data = self._read_copies(number, copies)
            own = self._select_own(number, data)
            if any(own):
                codec = RecordCodec.for_segment(self.store_id, number)
                self.scans[number] = scan_segment(number, codec, own)
            else:
                invalid_sizes[number] = max(map(len, data))
        self._check_completeness(invalid_sizes)
        self._discard_dropped()
        return self.report

    def _list_segments(self) -> dict[int, set[str]]:
        """Return the existing copies by segment number, and remove files that an interrupted repair has left."""
        found: dict[int, set[str]] = {}
        for name in self.files.list_names():
            stem, _, ending = name.partition(".")
            if ending in COPIES and _is_segment_number(stem):
                found.setdefault(int(stem, 16), set()).add(ending)
            elif ending == REPAIR_ENDING:
                self.files.remove(name)
            elif name != LOCK_NAME:
                self.report.foreign_files.append(name)
        return found

    def _read_copies(self, number: int, copies: set[str]) -> tuple[bytes, bytes]:
        """Read both copies of a segment; one that is missing or cannot be read is returned as empty."""
        first, second = (self._read_copy(number, copy) if copy in copies else b"" for copy in COPIES)
        return first, second

    def _read_copy(self, number: int, copy: str) -> bytes:
        name = copy_name(number, copy)
        try:
            return self.files.read(name)
        except OSError as problem:
            self.report.unreadable_files.append(f"{name}: {problem.strerror or problem}")
            return b""

    def _select_own(self, number: int, data: tuple[bytes, bytes]) -> tuple[bytes, bytes]:
        """Return the copies that belong to this store and this segment; others are returned as empty.

        A damaged header is replaced by that of the other copy.
        """
        own = list(data)
        headers = [decode_header(content) for content in data]
        for which, header in enumerate(headers):
            if header is None:
                continue
            self.store_id = self.store_id or header[0]
            if header != (self.store_id, number):
                self.report.foreign_files.append(copy_name(number, COPIES[which]))
                own[which] = b""
                headers[which] = None
        if not any(headers):
            return b"", b""
        expected = encode_header(self.store_id, number)
        for which, content in enumerate(own):
            if headers[which] is None and content:
                own[which] = expected + content[HEADER_LAYOUT.size :]
        return own[0], own[1]

    def _check_completeness(self, invalid_sizes: dict[int, int]) -> None:
        """Report missing segments and damage.

        The segments from the latest DROP up to the one after the last sealed one must exist.

        Args:
            invalid_sizes: Sizes in bytes of segments without a valid header, by number. Such a segment after the last
                readable one is the remains of an interrupted creation, unless the last readable one is sealed or the
                segment holds more than a header.
        """
        self.first_segment = self._find_first_segment()
        required = [number for number in self.scans if number >= self.first_segment]
        last = max([*required, self.first_segment])
        if last in self.scans and self.scans[last].sealed:
            last += 1
        for number, size in invalid_sizes.items():
            has_records = size > HEADER_LAYOUT.size
            if number >= self.first_segment and (number <= last or has_records) and self.scans:
                last = max(last, number)
            elif has_records and number >= self.first_segment:
                self.report.damage.append(Damage(number, 0, size))
            else:
                self.obsolete_segments.append(number)
        if required or self.first_segment:
            expected = range(self.first_segment, last + 1)
            self.report.missing_segments += [number for number in expected if number not in self.scans]
        for number in required:
            self._check_end(number)

    def _find_first_segment(self) -> int:
        """Return the number in the latest DROP; 0 where there is none."""
        drops = [
            decode_number(record.payload)
            for scan in self.scans.values()
            for record in scan.records
            if record.kind == RecordKind.DROP
        ]
        return max([*drops, 0])

    def _check_end(self, number: int) -> None:
        """Report damage inside a segment, and a lost end.

        The end of an unsealed segment is lost where the next segment has records other than a SEAL, since nothing is
        written to a segment before the SEAL of the previous one is on disk.
        """
        scan = self.scans[number]
        self.report.damage += scan.damage
        following = self.scans.get(number + 1)
        if following is None or scan.sealed:
            return
        if any(record.kind != RecordKind.SEAL for record in following.records):
            self.report.damage.append(Damage(number, scan.end, scan.end))

    def _discard_dropped(self) -> None:
        """Discard segments that a DROP has removed, but whose files are still there after an interruption."""
        for number in [number for number in self.scans if number < self.first_segment]:
            del self.scans[number]
            self.obsolete_segments.append(number)


def _is_segment_number(stem: str) -> bool:
    return len(stem) == NUMBER_DIGITS and all(character in string.hexdigits.lower() for character in stem)
