"""Opening a store: its segments, read as both copies say together, and what is wrong with them.

Nothing is changed here but the remains of an interrupted repair. What counts as acknowledged and lost is decided here:
damage that both copies share, and a segment that must exist and does not.
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
"""Endings of the names of a segment's two copies."""
REPAIR_ENDING = "new"
"""Ending of the name of a copy that is being written anew."""
LOCK_NAME = "lock"
NUMBER_DIGITS = 16
"""Hexadecimal digits of a segment's number in a name."""


def copy_name(number: int, copy: str) -> str:
    """The name of a segment's copy."""
    return f"{number:0{NUMBER_DIGITS}x}.{copy}"


@dataclass(slots=True)
class RecoveryReport:
    """What opening a store has found."""

    segments: int = 0
    """Segments of the store."""
    records: int = 0
    """Valid records in them."""
    keys: int = 0
    """Keys that have a value."""
    damage: list[Damage] = field(default_factory=list)
    """Acknowledged bytes that neither copy has."""
    missing_segments: list[int] = field(default_factory=list)
    """Numbers of segments that must exist and do not."""
    foreign_files: list[str] = field(default_factory=list)
    """Files that are not of this store, or not of the segment that their name says."""
    repaired_files: list[str] = field(default_factory=list)
    """Files that were written anew from their other copy."""
    unreadable_files: list[str] = field(default_factory=list)
    """Files that the disk did not give, with its reason."""
    torn_bytes: int = 0
    """Bytes behind the last valid record, of a batch that was never acknowledged."""

    @property
    def is_intact(self) -> bool:
        """Whether all that was acknowledged is there."""
        return not (self.damage or self.missing_segments)

    def lines(self) -> list[str]:
        """What an operator should read, a line each; the first is a summary."""
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
    """One look at a directory.

    After `read`, `scans` has the segments of the store by number, `first_segment` the first that must exist, and
    `obsolete_segments` the numbers whose files were never part of the store or are so no longer.
    """

    def __init__(self, files: Files) -> None:
        self.files = files
        self.report = RecoveryReport()
        self.store_id = b""  # known once a header has told it
        self.first_segment = 0
        self.scans: dict[int, SegmentScan] = {}
        self.obsolete_segments: list[int] = []

    def read(self) -> RecoveryReport:
        """Read all segments.

        Returns:
            What was found, and what is wrong with the files.

        Raises:
            NewerError: The store is of a newer format.
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
        """The copies that exist, by segment number; removes what an interrupted repair has left."""
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
        """Both copies; one that cannot be read counts as lost."""
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
        """The copies that are of this store and this segment.

        A damaged header is replaced by that of the other copy; a foreign file counts as nothing.
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
        """Note the segments that must exist: from the latest DROP on, each up to the one after the last sealed one.

        Args:
            invalid_sizes: Bytes of segments of which nothing is valid. The one after the last that can be read was
                interrupted while it was made, unless that last one is sealed or it holds more than a header.
        """
        self.first_segment = self._find_first_segment()
        wanted = [number for number in self.scans if number >= self.first_segment]
        last = max([*wanted, self.first_segment])
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
        if wanted or self.first_segment:
            expected = range(self.first_segment, last + 1)
            self.report.missing_segments += [number for number in expected if number not in self.scans]
        for number in wanted:
            self._check_end(number)

    def _find_first_segment(self) -> int:
        """The number that the latest DROP names."""
        drops = [
            decode_number(record.payload)
            for scan in self.scans.values()
            for record in scan.records
            if record.kind == RecordKind.DROP
        ]
        return max([*drops, 0])

    def _check_end(self, number: int) -> None:
        """Note damage inside a segment, and a lost end.

        Nothing is written to a segment before the SEAL of the one before is on disk.
        """
        scan = self.scans[number]
        self.report.damage += scan.damage
        following = self.scans.get(number + 1)
        if following is None or scan.sealed:
            return
        if any(record.kind != RecordKind.SEAL for record in following.records):
            self.report.damage.append(Damage(number, scan.end, scan.end))

    def _discard_dropped(self) -> None:
        """Leave out segments whose removal was interrupted after its DROP."""
        for number in [number for number in self.scans if number < self.first_segment]:
            del self.scans[number]
            self.obsolete_segments.append(number)


def _is_segment_number(stem: str) -> bool:
    return len(stem) == NUMBER_DIGITS and all(character in string.hexdigits.lower() for character in stem)
