"""Reading the two copies of a segment as one. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.store.records import HEADER_LAYOUT, Record, RecordCodec, RecordKind


class Damage(NamedTuple):
    """Bytes between valid records that are no record in either copy."""

    segment_number: int
    """The segment that they stand in."""
    start: int
    """Bytes from the segment's start to the first of them."""
    end: int
    """Bytes from the segment's start to the byte behind the last of them."""


class SegmentScan(NamedTuple):
    """What the two copies of a segment say together."""

    records: list[Record]
    """The valid records, in order."""
    damage: list[Damage]
    """Acknowledged bytes that neither copy has."""
    end: int
    """Bytes from the segment's start to the end of its last valid record."""
    torn_bytes: int
    """Bytes behind that end: a batch that was never acknowledged."""
    needs_repair: tuple[bool, bool]
    """For each copy, whether it has to be written anew."""
    sealed: bool
    """Whether the last record is a SEAL."""


def scan_segment(number: int, codec: RecordCodec, copies: tuple[bytes, bytes]) -> SegmentScan:
    """Read two copies as one: at each offset, the record that either has.

    A copy may be cut, overwritten or lost while the other is not. Bytes that are no record in either copy are damage
    where a valid record follows, since a batch is begun only once the one before is on disk in both; at the end they
    are a batch that was never acknowledged. Two cases cannot be told from that: damage to both copies of the last
    batch, and both copies of the newest segment cut at the same byte.

    Args:
        number: The segment's number.
        codec: Decodes its records.
        copies: Both files, empty where one is lost.
    """
    records: list[Record] = []
    damage: list[Damage] = []
    differs = [False, False]
    alike = copies[0] == copies[1]
    longest = max(map(len, copies))
    offset = HEADER_LAYOUT.size
    while offset < longest:
        record = _decode_either(codec, copies, offset, alike, differs)
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
    codec: RecordCodec, copies: tuple[bytes, bytes], offset: int, alike: bool, differs: list[bool]
) -> Record | None:
    """The record at an offset of either copy; notes in `differs` which copy does not have it."""
    first = codec.decode(copies[0], offset)
    if first is None:
        differs[0] = True
    if alike:
        differs[1] = differs[0]
        return first
    second = codec.decode(copies[1], offset)
    if second is None:
        differs[1] = True
    return first if first is not None else second


def _find_next_record(codec: RecordCodec, copies: tuple[bytes, bytes], start: int) -> int | None:
    """The offset of the next valid record. Every byte is tried: a damaged length leads nowhere."""
    for offset in range(start, max(map(len, copies))):
        if any(codec.decode(data, offset) is not None for data in copies):
            return offset
    return None
