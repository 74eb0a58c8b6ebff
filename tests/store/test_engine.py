"""Tests of the storage engine under power cuts, damage and I/O errors.

No acknowledged write is lost silently, and nothing that was not written is read.
"""

from __future__ import annotations

from pathlib import Path
from typing import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from loadbalancer.store.engine import Delete, Engine, Put, StoreBounds
from loadbalancer.store.errors import FullError, LockedError, NewerError, ReadOnlyError, StoreError
from loadbalancer.store.files import DiskFiles
from loadbalancer.store.records import HEADER_LAYOUT, RecordCodec, RecordKind, decode_header, encode_header
from standins.disks import CutError, MemoryDisk

SMALL = StoreBounds(segment_bytes=600, max_bytes=1 << 20, max_keys=10_000)


class Clock:
    """A clock that tests set."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


def engine(disk: MemoryDisk, bounds: StoreBounds = SMALL, clock: Clock | None = None) -> Engine:
    return Engine(disk, clock or Clock(), bounds, lambda count: b"i" * count)


def opened_engine(disk: MemoryDisk, bounds: StoreBounds = SMALL, clock: Clock | None = None) -> Engine:
    store = engine(disk, bounds, clock)
    store.open()
    return store


def contents(store: Engine) -> dict[bytes, bytes]:
    found = {}
    for key in store.keys():
        value = store.get(key)
        assert value is not None
        found[key] = value
    return found


def filled_engine(disk: MemoryDisk, count: int = 24) -> tuple[Engine, dict[bytes, bytes]]:
    """Return a store that spans some segments, with batches of one or two puts and some deletes, and its contents."""
    store, expected = opened_engine(disk), {}
    for number in range(count):
        key, value = b"k%d" % (number % 17), b"v%d" % number * (1 + number % 5)
        store.commit([Put(key, value), Put(b"other%d" % number, b"x")] if number % 3 else [Put(key, value)])
        expected[key] = value
        if number % 3:
            expected[b"other%d" % number] = b"x"
        if number % 7 == 6:
            store.commit([Delete(key)])
            del expected[key]
    return store, expected


def damaged_variants(data: bytes, at: int) -> Iterator[tuple[str, bytes]]:
    """Yield kinds of damage at one byte, and the damaged data."""
    yield "truncated", data[:at]
    yield "flipped", data[:at] + bytes((data[at] ^ 1 << at % 8,)) + data[at + 1 :]
    yield "zeroed", data[:at] + b"\0" + data[at + 1 :]


# Damage.


def test_damage_to_one_copy_at_any_byte_loses_nothing() -> None:
    disk = MemoryDisk()
    store, expected = filled_engine(disk)
    store.close()
    whole = disk.copy()
    names = [name for name in whole.list_names() if name.endswith((".a", ".b"))]
    assert len(names) >= 6
    tried = 0
    for name in names:
        data = whole.read(name)
        for at in range(len(data)):
            for _, bad in damaged_variants(data, at):
                if bad == data:
                    continue
                damaged_disk = whole.copy()
                damaged_disk.files[name].data[:] = bad
                reopened = engine(damaged_disk)
                found = reopened.open()
                assert found.is_intact and contents(reopened) == expected
                assert name in found.repaired_files or len(bad) == len(data)
                reopened.close()
                tried += 1
    assert tried > 5000


def test_damage_to_both_copies_at_any_byte_is_reported_except_in_the_last_batch() -> None:
    """Lost data is reported with its segment, and nothing that was not written is read.

    Damage to the last batch cannot be distinguished from a batch that was never acknowledged, and neither can both
    copies of the newest segment truncated at the same byte.
    """
    disk = MemoryDisk()
    store, expected = filled_engine(disk, 20)
    last = store.log.newest()
    before = dict(expected)
    store.commit([Put(b"the last", b"batch")])
    expected[b"the last"] = b"batch"
    store.close()
    whole = disk.copy()
    for number in range(last.number + 1):
        names = [f"{number:016x}.{copy}" for copy in "ab"]
        if names[0] not in whole.files:
            continue
        data = whole.read(names[0])
        for at in range(len(data)):
            for kind, bad in damaged_variants(data, at):
                if bad == data:
                    continue
                damaged_disk = whole.copy()
                for name in names:
                    damaged_disk.files[name].data[:] = bad
                reopened = engine(damaged_disk)
                found = reopened.open()
                got = contents(reopened)
                for key, value in got.items():
                    assert value in written_values(key, expected), (number, at, kind)
                if kind == "truncated" and number == last.number and at >= HEADER_LAYOUT.size:
                    assert found.is_intact
                elif got not in (expected, before):
                    assert not found.is_intact and reopened.read_only, (number, at, kind, found)
                    with pytest.raises(ReadOnlyError, match="segment"):
                        reopened.commit([Put(b"new", b"x")])
                reopened.close()


def written_values(key: bytes, expected: dict[bytes, bytes]) -> set[bytes]:
    """Return all values that were ever written under a key."""
    found = {b"x", b"batch"} if not key.startswith(b"k") else set()
    return found | {b"v%d" % n * (1 + n % 5) for n in range(24) if key == b"k%d" % (n % 17)}


@pytest.mark.parametrize("which", ["first", "middle", "last"])
def test_a_missing_segment_is_reported_with_its_number(which: str) -> None:
    disk = MemoryDisk()
    store, _ = filled_engine(disk)
    store.close()
    numbers = sorted({name[:16] for name in disk.list_names() if name != "lock"})
    number = {"first": numbers[0], "middle": numbers[1], "last": numbers[-1]}[which]
    for copy in "ab":
        disk.remove(f"{number}.{copy}")
    reopened = engine(disk)
    found = reopened.open()
    assert (
        found.missing_segments == [int(number, 16)]
        and f"missing: segment {int(number, 16)}" in reopened.read_only
    )


def test_a_copy_from_another_store_or_segment_is_ignored_and_repaired() -> None:
    disk, other = MemoryDisk(), MemoryDisk()
    store, expected = filled_engine(disk)
    store.close()
    other_store = Engine(other, Clock(), SMALL, lambda count: b"j" * count)
    other_store.open()
    other_store.commit([Put(b"k1", b"of another store")])
    other_store.close()
    names = [name for name in disk.list_names() if name.endswith(".b")]
    disk.files[names[0]].data[:] = other.read(f"{0:016x}.a")
    disk.files[names[1]].data[:] = disk.read(names[2])  # a copy of another segment
    reopened = engine(disk)
    found = reopened.open()
    assert found.is_intact and contents(reopened) == expected
    assert found.foreign_files == names[:2]


def test_a_store_with_both_headers_damaged_is_not_opened_as_empty() -> None:
    disk = MemoryDisk()
    store = opened_engine(disk)
    store.commit([Put(b"a", b"b")])
    store.close()
    for name in disk.list_names():
        disk.files[name].data[0] ^= 1
    assert engine(disk).open().is_intact is False


def test_an_unreadable_copy_is_rewritten_from_the_other() -> None:
    disk = MemoryDisk()
    store, expected = filled_engine(disk)
    store.close()
    name = next(name for name in disk.list_names() if name.endswith(".a"))
    disk.unreadable.add(name)
    reopened = engine(disk)
    found = reopened.open()
    assert contents(reopened) == expected and found.unreadable_files and name in found.repaired_files


def test_damage_after_opening_is_detected_when_a_value_is_read() -> None:
    disk = MemoryDisk()
    store = opened_engine(disk)
    store.commit([Put(b"a", b"value")])
    disk.files[f"{0:016x}.a"].data[-3] ^= 1
    assert store.get(b"a") == b"value"  # read from the other copy
    disk.files[f"{0:016x}.b"].data[-3] ^= 1
    with pytest.raises(StoreError, match="neither copy"):
        store.get(b"a")


def test_a_newer_format_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    disk = MemoryDisk()
    with monkeypatch.context() as patch:
        patch.setattr("loadbalancer.store.records.FORMAT_VERSION", 2)
        opened_engine(disk).close()
    with pytest.raises(NewerError, match="version 2, and this program knows 1"):
        engine(disk).open()
    assert not disk.locked and disk.open_files == 0


# Power cuts.


def run_workload(disk: MemoryDisk, acknowledged: dict[bytes, list[bytes | None]]) -> None:
    """Run puts, deletes and compaction, and record the values that each key may have.

    That is the last acknowledged value, and a second one where a power cut interrupts its write.
    """
    store = opened_engine(disk, StoreBounds(segment_bytes=400, max_bytes=1 << 20))
    for number in range(26):
        key = b"k%d" % (number % 5)
        values = acknowledged.setdefault(key, [None])
        values.append(b"v%d" % number)
        store.commit([Put(key, b"v%d" % number)])
        del values[:-1]
        if number % 6 == 5:
            values.append(None)
            store.commit([Delete(key)])
            del values[:-1]
        while store.compact(2):
            pass
    store.close()


def test_a_power_cut_at_any_call_of_a_workload_loses_no_acknowledged_write() -> None:
    disk = MemoryDisk()
    run_workload(disk, {})
    calls = disk.calls
    # The first segments have been compacted away.
    assert calls > 150 and f"{0:016x}.a" not in disk.list_names()
    torn_batches = 0
    for at in range(1, calls + 1):
        for seed in (at, 7919 * at):
            disk = MemoryDisk(seed)
            disk.cut_at = at
            acknowledged: dict[bytes, list[bytes | None]] = {}
            with pytest.raises(CutError):
                run_workload(disk, acknowledged)
            left = disk.after_cut()
            store = engine(left)
            found = store.open()
            assert found.is_intact, (at, seed, found)
            got = contents(store)
            for key, values in acknowledged.items():
                assert got.get(key) in values, (at, seed, key)
            assert not got.keys() - acknowledged.keys()
            torn_batches += found.torn_bytes > 0
            store.commit([Put(b"goes on", b"1")])
            store.close()
            reopened = opened_engine(left.after_cut())
            assert reopened.get(b"goes on") == b"1"
            assert {k: v for k, v in contents(reopened).items() if k != b"goes on"} == got
            reopened.close()
    assert torn_batches > 10


def test_a_power_cut_while_the_store_opens_loses_nothing() -> None:
    disk = MemoryDisk()
    store, expected = filled_engine(disk)
    store.close()
    name = next(name for name in disk.list_names() if name.endswith(".a"))
    disk.files[name].data[40] ^= 1
    for at in range(1, 60):
        interrupted = disk.copy()
        interrupted.cut_at = at
        try:
            engine(interrupted).open()
        except CutError:
            left = interrupted.after_cut()
            reopened = engine(left)
            assert reopened.open().is_intact and contents(reopened) == expected
            reopened.close()


# Errors.


def test_a_failed_fsync_makes_the_store_read_only() -> None:
    disk = MemoryDisk()
    store = opened_engine(disk)
    store.commit([Put(b"a", b"1")])
    disk.sync_fails = 1
    with pytest.raises(ReadOnlyError, match="fsync failed"):
        store.commit([Put(b"b", b"2")])
    assert store.get(b"a") == b"1" and store.get(b"b") is None
    with pytest.raises(ReadOnlyError):
        store.commit([Put(b"c", b"3")])
    assert store.compact() is False


def test_a_full_disk_rejects_a_batch_and_accepts_writes_once_there_is_room() -> None:
    disk = MemoryDisk()
    store = opened_engine(disk, StoreBounds(segment_bytes=1 << 20))
    store.commit([Put(b"a", b"1")])
    disk.room = disk.used() + 40
    with pytest.raises(FullError, match="No space left"):
        store.commit([Put(b"b", b"2" * 100)])
    disk.room = 1 << 20
    store.commit([Put(b"c", b"3")])
    reopened = opened_engine(disk.after_cut())
    assert contents(reopened) == {b"a": b"1", b"c": b"3"}


def test_a_rejected_batch_that_cannot_be_truncated_makes_the_store_read_only() -> None:
    disk = MemoryDisk()
    store = opened_engine(disk, StoreBounds(segment_bytes=1 << 20))
    disk.room, disk.truncate_fails = disk.used() + 10, True
    with pytest.raises(ReadOnlyError, match="could not be taken back"):
        store.commit([Put(b"b", b"2" * 100)])


def test_a_full_disk_at_the_start_of_a_segment_leaves_no_file() -> None:
    disk = MemoryDisk()
    store = opened_engine(disk, StoreBounds(segment_bytes=60))
    store.commit([Put(b"a", b"1" * 60)])
    disk.room = disk.used() + 10
    names = disk.list_names()
    with pytest.raises(FullError, match="no new segment"):
        store.commit([Put(b"b", b"2")])
    assert disk.list_names() == names
    disk.room = 1 << 20
    store.commit([Put(b"b", b"2")])
    store.close()
    assert disk.open_files == 0 and contents(opened_engine(disk)) == {b"a": b"1" * 60, b"b": b"2"}


def test_at_a_limit_new_keys_are_rejected_and_existing_ones_can_be_changed_and_deleted() -> None:
    clock = Clock()
    store = opened_engine(MemoryDisk(), StoreBounds(max_keys=3), clock)
    store.commit([Put(b"a", b"1", 1010.0), Put(b"b", b"2"), Put(b"c", b"3")])
    with pytest.raises(FullError, match="3 keys are held"):
        store.commit([Put(b"d", b"4")])
    store.commit([Put(b"b", b"5")])
    clock.now = 1010.0  # a has expired and makes room
    store.commit([Put(b"d", b"4")])
    store.commit([Delete(b"c")])
    store.commit([Put(b"e", b"6")])
    assert contents(store) == {b"b": b"5", b"d": b"4", b"e": b"6"}
    full = opened_engine(MemoryDisk(), StoreBounds(segment_bytes=1 << 20, max_bytes=200))
    full.commit([Put(b"a", b"x" * 300)])
    with pytest.raises(FullError, match="200 bytes are held"):
        full.commit([Put(b"b", b"x")])


def test_a_second_engine_on_the_same_directory_cannot_open_it(tmp_path: Path) -> None:
    first = Engine(DiskFiles(tmp_path / "s"), Clock())
    first.open()
    second = Engine(DiskFiles(tmp_path / "s"), Clock())
    with pytest.raises(LockedError, match="one writer at a time"):
        second.open()
    first.close()
    third = Engine(DiskFiles(tmp_path / "s"), Clock())
    third.open()
    third.close()


def test_contents_survive_compaction_and_a_restart_on_a_real_disk(tmp_path: Path) -> None:
    store = Engine(DiskFiles(tmp_path / "s"), Clock(), SMALL)
    store.open()
    for number in range(60):
        store.commit([Put(b"%d" % (number % 9), b"v%d" % number * 9)])
        store.compact()
    assert len(store.log.segments) < 20
    before = contents(store)
    store.close()
    reopened = Engine(DiskFiles(tmp_path / "s"), Clock(), SMALL)
    assert reopened.open().is_intact and contents(reopened) == before and len(before) == 9
    reopened.close()


# Time.


def test_an_expired_key_stays_expired_when_the_clock_steps_back_across_a_restart() -> None:
    disk, clock = MemoryDisk(), Clock(2000.0)
    store = opened_engine(disk, clock=clock)
    store.commit([Put(b"a", b"1", 2010.0), Put(b"b", b"2", 3000.0)])
    clock.now = 2020.0
    store.commit([Put(b"c", b"3")])
    assert store.get(b"a") is None
    store.close()
    reopened = opened_engine(disk, clock=Clock(100.0))
    assert reopened.get(b"a") is None and reopened.get(b"b") == b"2"
    assert reopened.now() == pytest.approx(2020.0)


def test_a_later_put_with_an_earlier_expiry_applies_after_a_restart_too() -> None:
    disk, clock = MemoryDisk(), Clock()
    store = opened_engine(disk, clock=clock)
    store.commit([Put(b"a", b"long", 5000.0)])
    store.commit([Put(b"a", b"short", 1001.0)])
    clock.now = 1002.0
    assert store.expire() == 1 and store.get(b"a") is None
    store.close()
    assert contents(opened_engine(disk, clock=clock)) == {}


# Compaction.


def test_compaction_keeps_current_values_and_reclaims_the_rest() -> None:
    disk = MemoryDisk()
    store = opened_engine(disk, StoreBounds(segment_bytes=500))
    for number in range(400):
        store.commit(
            [
                Put(b"hot%d" % (number % 4), b"v%d" % number),
                *([Put(b"cold%d" % number, b"c")] if number < 9 else []),
            ]
        )
        store.compact(3)
    assert len(contents(store)) == 13 and contents(store)[b"cold0"] == b"c"
    assert store.log.size_bytes() < 2 * store.index.bytes + 3 * 500
    before = contents(store)
    store.close()
    assert contents(opened_engine(disk)) == before


def test_a_failed_compaction_step_loses_no_records() -> None:
    disk = MemoryDisk()
    store = opened_engine(disk, StoreBounds(segment_bytes=200))
    for number in range(40):
        store.commit([Put(b"k%d" % (number % 8), b"v" * 20)])
    before = contents(store)
    failed = 0
    while store.wants_compaction():
        disk.room = disk.used()
        try:
            store.compact(2)  # a step that only removes a segment needs no space except for a DROP
        except FullError:
            failed += 1
        disk.room = 1 << 20
        store.compact(2)
    assert failed > 3
    assert contents(store) == before
    store.close()
    assert contents(opened_engine(disk)) == before


# Records.


def test_a_record_is_valid_only_at_its_own_position() -> None:
    codec = RecordCodec.for_segment(b"i" * 8, 3)
    data = codec.encode(100, RecordKind.DELETE, b"\1\0a")
    assert codec.decode(b"\0" * 100 + data, 100) is not None
    assert codec.decode(b"\0" * 101 + data, 101) is None
    assert RecordCodec.for_segment(b"i" * 8, 4).decode(b"\0" * 100 + data, 100) is None
    assert RecordCodec.for_segment(b"j" * 8, 3).decode(b"\0" * 100 + data, 100) is None
    assert decode_header(encode_header(b"i" * 8, 3)) == (b"i" * 8, 3)
    assert decode_header(encode_header(b"i" * 8, 3)[: HEADER_LAYOUT.size - 1]) is None


@pytest.mark.parametrize("key, value", [(b"", b""), (b"k" * 1025, b""), (b"k", b"v" * (1 << 20))])
def test_an_invalid_key_or_value_size_rejects_the_whole_batch(key: bytes, value: bytes) -> None:
    store = opened_engine(MemoryDisk())
    with pytest.raises(StoreError, match="bytes"):
        store.commit([Put(b"fine", b""), Put(key, value)])
    assert contents(store) == {}


# Comparison with a dictionary.


class EngineMachine(RuleBasedStateMachine):
    """Compares the store with a dictionary under power cuts, errors, clock steps either way, and restarts."""

    @initialize(seed=st.integers(0, 1 << 30))
    def begin(self, seed: int) -> None:
        self.disk, self.clock = MemoryDisk(seed), Clock()
        self.expected: dict[bytes, tuple[bytes, float]] = {}
        self.unsure: dict[bytes, set[bytes | None]] = {}
        self.store = opened_engine(self.disk, StoreBounds(segment_bytes=300), self.clock)

    def now(self) -> float:
        return self.store.now()

    def unexpired(self) -> dict[bytes, bytes]:
        return {
            key: value
            for key, (value, expires) in self.expected.items()
            if not expires or expires > self.now()
        }

    @rule(
        key=st.integers(0, 6),
        value=st.binary(max_size=40),
        lifetime=st.sampled_from([0.0, 5.0, 50.0]),
        cut=st.integers(0, 12),
    )
    def put(self, key: int, value: bytes, lifetime: float, cut: int) -> None:
        name = b"k%d" % key
        expires = self.now() + lifetime if lifetime else 0.0
        self.commit(cut, [Put(name, value, expires)], {name: (value, expires)})

    @rule(key=st.integers(0, 6), cut=st.integers(0, 12))
    def delete(self, key: int, cut: int) -> None:
        self.commit(cut, [Delete(b"k%d" % key)], {b"k%d" % key: None})

    def commit(
        self, cut: int, changes: list[Put | Delete], new: dict[bytes, tuple[bytes, float] | None]
    ) -> None:
        """Commit changes, with a power cut after `cut` calls unless that is 0; `new` is their effect."""
        self.disk.cut_at = self.disk.calls + cut if cut else -1
        try:
            self.store.commit(changes)
        except CutError:
            self.reopen(self.disk.after_cut(), new)
            return
        self.disk.cut_at = -1
        self.apply(new)

    def apply(self, new: dict[bytes, tuple[bytes, float] | None]) -> None:
        """Apply the effect of changes to the dictionary."""
        for key, value in new.items():
            if value is None:
                self.expected.pop(key, None)
            else:
                self.expected[key] = value

    def reopen(self, disk: MemoryDisk, new: dict[bytes, tuple[bytes, float] | None]) -> None:
        """Reopen the store; each change that was not acknowledged is applied or not, and stays so."""
        self.disk = disk
        self.store = engine(disk, StoreBounds(segment_bytes=300), self.clock)
        assert self.store.open().is_intact
        for key, value in new.items():
            if self.store.get(key) == (value[0] if value is not None else None):
                self.apply({key: value})

    @rule(cut=st.integers(1, 25))
    def compact(self, cut: int) -> None:
        self.disk.cut_at = self.disk.calls + cut
        try:
            self.store.compact(2)
        except CutError:
            self.reopen(self.disk.after_cut(), {})
        self.disk.cut_at = -1

    @rule()
    def restart(self) -> None:
        self.store.close()
        self.reopen(self.disk.after_cut(), {})

    @rule(by=st.sampled_from([-30.0, 3.0, 20.0]))
    def step_clock(self, by: float) -> None:
        self.clock.now += by

    @rule()
    @precondition(lambda self: not self.store.read_only)
    def fill_disk(self) -> None:
        self.disk.room = self.disk.used() + 5
        with pytest.raises(FullError):
            self.store.commit([Put(b"too much", b"x" * 40)])
        self.disk.room = 1 << 40

    @invariant()
    def contents_equal_the_dictionary(self) -> None:
        if hasattr(self, "store"):
            assert contents(self.store) == self.unexpired()


EngineMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestEngineMachine = EngineMachine.TestCase
