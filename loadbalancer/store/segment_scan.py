"""Combines the two copies of a segment into one sequence of records. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.store.records import HEADER_LAYOUT, Record, RecordCodec, RecordKind


class Damage(NamedTuple):
    """A range of bytes before a valid record that are not a record in either copy."""

    segment_number: int
    """The number of the segment."""
    start: int
    """Offset of the first damaged byte from the segment's start."""
    end: int
    """Offset of the byte after the last damaged one from the segment's start."""


class SegmentScan(NamedTuple):
    """The combined content of the two copies of a segment."""

    records: list[Record]
    """The valid records, in order."""
    damage: list[Damage]
    """Ranges of acknowledged bytes that are valid in neither copy."""
    end: int
    """Offset of the end of the last valid record from the segment's start."""
    torn_bytes: int
    """Number of bytes after that end, from a batch that was never acknowledged."""
    needs_repair: tuple[bool, bool]
    """For each copy, whether it has to be rewritten."""
    sealed: bool
    """Whether the last record is a SEAL."""


def scan_segment(number: int, codec: RecordCodec, copies: tuple[bytes, bytes]) -> SegmentScan:
    """Combine two copies: at each offset, take the record from either copy that has a valid one.

    One copy may be truncated, overwritten or lost while the other is intact. Bytes that are not a record in either copy
    count as damage where a valid record follows, since a batch is begun only once the previous one is on disk in both
    copies; at the end of the segment they count as a batch that was never acknowledged. Two cases of damage cannot be
    distinguished from such a batch: damage to both copies of the last batch, and both copies of the newest segment
    truncated at the same byte.

    Args:
        number: The segment's number.
        codec: Decodes its records.
        copies: The content of both files; empty where one is lost.
    """
    records: list[Record] = []
    damage: list[Damage] = []
    differs = [False, False]
    identical = copies[0] == copies[1]
    longest = max(map(len, copies))
    offset = HEADER_LAYOUT.size
    while offset < longest:
        record = _decode_either(codec, copies, offset, identical, differs)
        if record is None:
            following = _find_next_record(codec, copies, offset + 1)
            if following is None:
                break
            damage.append(Damage(number, offset, following))
            offset = following
            continue
        records.append(record)
        offset = record.end
        if record.kind == RecordKind.SEAL:
            break
    sealed = bool(records) and records[-1].kind == RecordKind.SEAL
    needs_repair = (
        differs[0] or len(copies[0]) != offset,
        differs[1] or len(copies[1]) != offset,
    )
    return SegmentScan(records, damage, offset, max(0, longest - offset), needs_repair, sealed)


def _decode_either(
    codec: RecordCodec, copies: tuple[bytes, bytes], offset: int, identical: bool, differs: list[bool]
) -> Record | None:
    """Return the record at an offset of either copy, and record in `differs` which copies lack it."""
    first = codec.decode(copies[0], offset)
    if first is None:
        differs[0] = True
    if identical:
        differs[1] = differs[0]
        return first
    second = codec.decode(copies[1], offset)
    if second is None:
        differs[1] = True
    return first if first is not None else second


def _find_next_record(codec: RecordCodec, copies: tuple[bytes, bytes], start: int) -> int | None:
    """Return the offset of the next valid record; every offset is tried, since a damaged length can't be followed."""
    for offset in range(start, max(map(len, copies))):
        if any(codec.decode(data, offset) is not None for data in copies):
            return offset
    return None
