"""The store under cuts, damage and errors: nothing acknowledged is forgotten, nothing else is believed."""

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
    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


def engine(disk: MemoryDisk, bounds: StoreBounds = SMALL, clock: Clock | None = None) -> Engine:
    return Engine(disk, clock or Clock(), bounds, lambda count: b"i" * count)


def opened(disk: MemoryDisk, bounds: StoreBounds = SMALL, clock: Clock | None = None) -> Engine:
    made = engine(disk, bounds, clock)
    made.open()
    return made


def contents(store: Engine) -> dict[bytes, bytes]:
    found = {}
    for key in store.keys():
        value = store.get(key)
        assert value is not None
        found[key] = value
    return found


def filled(disk: MemoryDisk, count: int = 24) -> tuple[Engine, dict[bytes, bytes]]:
    """Some segments of batches of one to three changes, some deleted, and what must be there."""
    store, truth = opened(disk), {}
    for number in range(count):
        key, value = b"k%d" % (number % 17), b"v%d" % number * (1 + number % 5)
        store.commit([Put(key, value), Put(b"other%d" % number, b"x")] if number % 3 else [Put(key, value)])
        truth[key] = value
        if number % 3:
            truth[b"other%d" % number] = b"x"
        if number % 7 == 6:
            store.commit([Delete(key)])
            del truth[key]
    return store, truth


def damaged(data: bytes, at: int) -> Iterator[tuple[str, bytes]]:
    yield "cut", data[:at]
    yield "flipped", data[:at] + bytes((data[at] ^ 1 << at % 8,)) + data[at + 1 :]
    yield "zeroed", data[:at] + b"\0" + data[at + 1 :]


# Damage.


def test_one_copy_damaged_at_every_byte_loses_nothing_and_believes_nothing() -> None:
    disk = MemoryDisk()
    store, truth = filled(disk)
    store.close()
    whole = disk.copy()
    names = [name for name in whole.list_names() if name.endswith((".a", ".b"))]
    assert len(names) >= 6
    tried = 0
    for name in names:
        data = whole.read(name)
        for at in range(len(data)):
            for _, bad in damaged(data, at):
                if bad == data:
                    continue
                one = whole.copy()
                one.files[name].data[:] = bad
                again = engine(one)
                found = again.open()
                assert found.is_intact and contents(again) == truth
                assert name in found.repaired_files or len(bad) == len(data)
                again.close()
                tried += 1
    assert tried > 5000


def test_both_copies_damaged_at_every_byte_is_told_or_was_the_last_batch() -> None:
    """What is lost is told by name, and nothing that was not written is there; the last batch alone can't be told
    from one that was never acknowledged, and both copies of the newest segment cut alike lose what is behind."""
    disk = MemoryDisk()
    store, truth = filled(disk, 20)
    last = store.log.newest()
    before = dict(truth)
    store.commit([Put(b"the last", b"batch")])
    truth[b"the last"] = b"batch"
    store.close()
    whole = disk.copy()
    for number in range(last.number + 1):
        names = [f"{number:016x}.{copy}" for copy in "ab"]
        if names[0] not in whole.files:
            continue
        data = whole.read(names[0])
        for at in range(len(data)):
            for kind, bad in damaged(data, at):
                if bad == data:
                    continue
                one = whole.copy()
                for name in names:
                    one.files[name].data[:] = bad
                again = engine(one)
                found = again.open()
                got = contents(again)
                for key, value in got.items():
                    assert value in history(key, truth), (number, at, kind)
                if kind == "cut" and number == last.number and at >= HEADER_LAYOUT.size:
                    assert found.is_intact
                elif got not in (truth, before):
                    assert not found.is_intact and again.read_only, (number, at, kind, found)
                    with pytest.raises(ReadOnlyError, match="segment"):
                        again.commit([Put(b"new", b"x")])
                again.close()


def history(key: bytes, truth: dict[bytes, bytes]) -> set[bytes]:
    """Values that were once written under a key."""
    found = {b"x", b"batch"} if not key.startswith(b"k") else set()
    return found | {b"v%d" % n * (1 + n % 5) for n in range(24) if key == b"k%d" % (n % 17)}


@pytest.mark.parametrize("which", ["first", "middle", "last"])
def test_a_segment_that_is_missing_is_told_by_name(which: str) -> None:
    disk = MemoryDisk()
    store, _ = filled(disk)
    store.close()
    numbers = sorted({name[:16] for name in disk.list_names() if name != "lock"})
    number = {"first": numbers[0], "middle": numbers[1], "last": numbers[-1]}[which]
    for copy in "ab":
        disk.remove(f"{number}.{copy}")
    again = engine(disk)
    found = again.open()
    assert (
        found.missing_segments == [int(number, 16)]
        and f"missing: segment {int(number, 16)}" in again.read_only
    )


def test_a_copy_of_another_store_or_of_another_segment_is_not_believed() -> None:
    disk, other = MemoryDisk(), MemoryDisk()
    store, truth = filled(disk)
    store.close()
    strange = Engine(other, Clock(), SMALL, lambda count: b"j" * count)
    strange.open()
    strange.commit([Put(b"k1", b"of another store")])
    strange.close()
    names = [name for name in disk.list_names() if name.endswith(".b")]
    disk.files[names[0]].data[:] = other.read(f"{0:016x}.a")
    disk.files[names[1]].data[:] = disk.read(names[2])  # doubled
    again = engine(disk)
    found = again.open()
    assert found.is_intact and contents(again) == truth
    assert found.foreign_files == names[:2]


def test_both_headers_gone_is_no_empty_store() -> None:
    disk = MemoryDisk()
    store = opened(disk)
    store.commit([Put(b"a", b"b")])
    store.close()
    for name in disk.list_names():
        disk.files[name].data[0] ^= 1
    assert engine(disk).open().is_intact is False


def test_a_copy_that_the_disk_does_not_give_is_written_anew() -> None:
    disk = MemoryDisk()
    store, truth = filled(disk)
    store.close()
    name = next(name for name in disk.list_names() if name.endswith(".a"))
    disk.unreadable.add(name)
    again = engine(disk)
    found = again.open()
    assert contents(again) == truth and found.unreadable_files and name in found.repaired_files


def test_rot_after_opening_is_found_when_a_value_is_read() -> None:
    disk = MemoryDisk()
    store = opened(disk)
    store.commit([Put(b"a", b"value")])
    disk.files[f"{0:016x}.a"].data[-3] ^= 1
    assert store.get(b"a") == b"value"  # of the other copy
    disk.files[f"{0:016x}.b"].data[-3] ^= 1
    with pytest.raises(StoreError, match="neither copy"):
        store.get(b"a")


def test_a_newer_format_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    disk = MemoryDisk()
    with monkeypatch.context() as patch:
        patch.setattr("loadbalancer.store.records.FORMAT_VERSION", 2)
        opened(disk).close()
    with pytest.raises(NewerError, match="version 2, and this program knows 1"):
        engine(disk).open()
    assert not disk.locked and disk.open_files == 0


# Cuts.


def play(disk: MemoryDisk, acknowledged: dict[bytes, list[bytes | None]]) -> None:
    """Batches, deletes and compaction; each key's values in order, the last one acknowledged unless a cut came."""
    store = opened(disk, StoreBounds(segment_bytes=400, max_bytes=1 << 20))
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


def test_power_cut_at_every_call_while_it_is_written_and_compacted() -> None:
    disk = MemoryDisk()
    play(disk, {})
    calls = disk.calls
    assert (
        calls > 150 and f"{0:016x}.a" not in disk.list_names()
    )  # the first segments have been compacted away
    dropped = 0
    for at in range(1, calls + 1):
        for seed in (at, 7919 * at):
            disk = MemoryDisk(seed)
            disk.cut_at = at
            acknowledged: dict[bytes, list[bytes | None]] = {}
            with pytest.raises(CutError):
                play(disk, acknowledged)
            left = disk.after_cut()
            store = engine(left)
            found = store.open()
            assert found.is_intact, (at, seed, found)
            got = contents(store)
            for key, values in acknowledged.items():
                assert got.get(key) in values, (at, seed, key)
            assert not got.keys() - acknowledged.keys()
            dropped += found.torn_bytes > 0
            store.commit([Put(b"goes on", b"1")])
            store.close()
            again = opened(left.after_cut())
            assert again.get(b"goes on") == b"1"
            assert {k: v for k, v in contents(again).items() if k != b"goes on"} == got
            again.close()
    assert dropped > 10


def test_a_cut_while_it_opens_loses_nothing() -> None:
    disk = MemoryDisk()
    store, truth = filled(disk)
    store.close()
    name = next(name for name in disk.list_names() if name.endswith(".a"))
    disk.files[name].data[40] ^= 1
    for at in range(1, 60):
        one = disk.copy()
        one.cut_at = at
        try:
            engine(one).open()
        except CutError:
            left = one.after_cut()
            again = engine(left)
            assert again.open().is_intact and contents(again) == truth
            again.close()


# Errors.


def test_a_failed_fsync_is_final_and_what_was_acknowledged_is_still_read() -> None:
    disk = MemoryDisk()
    store = opened(disk)
    store.commit([Put(b"a", b"1")])
    disk.sync_fails = 1
    with pytest.raises(ReadOnlyError, match="fsync failed"):
        store.commit([Put(b"b", b"2")])
    assert store.get(b"a") == b"1" and store.get(b"b") is None
    with pytest.raises(ReadOnlyError):
        store.commit([Put(b"c", b"3")])
    assert store.compact() is False


def test_a_full_disk_refuses_and_forgets_nothing_and_goes_on_once_there_is_room() -> None:
    disk = MemoryDisk()
    store = opened(disk, StoreBounds(segment_bytes=1 << 20))
    store.commit([Put(b"a", b"1")])
    disk.room = disk.used() + 40
    with pytest.raises(FullError, match="No space left"):
        store.commit([Put(b"b", b"2" * 100)])
    disk.room = 1 << 20
    store.commit([Put(b"c", b"3")])
    again = opened(disk.after_cut())
    assert contents(again) == {b"a": b"1", b"c": b"3"}


def test_a_refused_batch_that_can_not_be_cut_off_ends_the_writing() -> None:
    disk = MemoryDisk()
    store = opened(disk, StoreBounds(segment_bytes=1 << 20))
    disk.room, disk.truncate_fails = disk.used() + 10, True
    with pytest.raises(ReadOnlyError, match="could not be taken back"):
        store.commit([Put(b"b", b"2" * 100)])


def test_a_full_disk_when_a_segment_is_begun_leaves_no_file() -> None:
    disk = MemoryDisk()
    store = opened(disk, StoreBounds(segment_bytes=60))
    store.commit([Put(b"a", b"1" * 60)])
    disk.room = disk.used() + 10
    names = disk.list_names()
    with pytest.raises(FullError, match="no new segment"):
        store.commit([Put(b"b", b"2")])
    assert disk.list_names() == names
    disk.room = 1 << 20
    store.commit([Put(b"b", b"2")])
    store.close()
    assert disk.open_files == 0 and contents(opened(disk)) == {b"a": b"1" * 60, b"b": b"2"}


def test_at_the_bounds_new_keys_are_refused_and_the_old_ones_may_change_and_go() -> None:
    clock = Clock()
    store = opened(MemoryDisk(), StoreBounds(max_keys=3), clock)
    store.commit([Put(b"a", b"1", 1010.0), Put(b"b", b"2"), Put(b"c", b"3")])
    with pytest.raises(FullError, match="3 keys are held"):
        store.commit([Put(b"d", b"4")])
    store.commit([Put(b"b", b"5")])
    clock.now = 1010.0  # what has expired makes room
    store.commit([Put(b"d", b"4")])
    store.commit([Delete(b"c")])
    store.commit([Put(b"e", b"6")])
    assert contents(store) == {b"b": b"5", b"d": b"4", b"e": b"6"}
    full = opened(MemoryDisk(), StoreBounds(segment_bytes=1 << 20, max_bytes=200))
    full.commit([Put(b"a", b"x" * 300)])
    with pytest.raises(FullError, match="200 bytes are held"):
        full.commit([Put(b"b", b"x")])


def test_one_writer_at_a_time(tmp_path: Path) -> None:
    first = Engine(DiskFiles(tmp_path / "s"), Clock())
    first.open()
    second = Engine(DiskFiles(tmp_path / "s"), Clock())
    with pytest.raises(LockedError, match="one writer at a time"):
        second.open()
    first.close()
    third = Engine(DiskFiles(tmp_path / "s"), Clock())
    third.open()
    third.close()


def test_on_a_real_disk(tmp_path: Path) -> None:
    store = Engine(DiskFiles(tmp_path / "s"), Clock(), SMALL)
    store.open()
    for number in range(60):
        store.commit([Put(b"%d" % (number % 9), b"v%d" % number * 9)])
        store.compact()
    assert len(store.log.segments) < 20
    held = contents(store)
    store.close()
    again = Engine(DiskFiles(tmp_path / "s"), Clock(), SMALL)
    assert again.open().is_intact and contents(again) == held and len(held) == 9
    again.close()


# Time.


def test_what_has_expired_stays_so_when_the_clock_goes_back_over_a_restart() -> None:
    disk, clock = MemoryDisk(), Clock(2000.0)
    store = opened(disk, clock=clock)
    store.commit([Put(b"a", b"1", 2010.0), Put(b"b", b"2", 3000.0)])
    clock.now = 2020.0
    store.commit([Put(b"c", b"3")])
    assert store.get(b"a") is None
    store.close()
    again = opened(disk, clock=Clock(100.0))
    assert again.get(b"a") is None and again.get(b"b") == b"2"
    assert again.now() == pytest.approx(2020.0)


def test_a_shorter_life_put_later_counts_after_a_restart_too() -> None:
    disk, clock = MemoryDisk(), Clock()
    store = opened(disk, clock=clock)
    store.commit([Put(b"a", b"long", 5000.0)])
    store.commit([Put(b"a", b"short", 1001.0)])
    clock.now = 1002.0
    assert store.expire() == 1 and store.get(b"a") is None
    store.close()
    assert contents(opened(disk, clock=clock)) == {}


# Compaction.


def test_compaction_keeps_what_counts_and_gives_the_rest_back() -> None:
    disk = MemoryDisk()
    store = opened(disk, StoreBounds(segment_bytes=500))
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
    held = contents(store)
    store.close()
    assert contents(opened(disk)) == held


def test_a_step_that_fails_leaves_what_it_would_have_moved() -> None:
    disk = MemoryDisk()
    store = opened(disk, StoreBounds(segment_bytes=200))
    for number in range(40):
        store.commit([Put(b"k%d" % (number % 8), b"v" * 20)])
    held = contents(store)
    failed = 0
    while store.wants_compaction():
        disk.room = disk.used()
        try:
            store.compact(2)  # one that only gives back needs no room but for DROP
        except FullError:
            failed += 1
        disk.room = 1 << 20
        store.compact(2)
    assert failed > 3
    assert contents(store) == held
    store.close()
    assert contents(opened(disk)) == held


# Records.


def test_a_record_is_believed_in_its_place_alone() -> None:
    seal = RecordCodec.for_segment(b"i" * 8, 3)
    data = seal.encode(100, RecordKind.DELETE, b"\1\0a")
    assert seal.decode(b"\0" * 100 + data, 100) is not None
    assert seal.decode(b"\0" * 101 + data, 101) is None
    assert RecordCodec.for_segment(b"i" * 8, 4).decode(b"\0" * 100 + data, 100) is None
    assert RecordCodec.for_segment(b"j" * 8, 3).decode(b"\0" * 100 + data, 100) is None
    assert decode_header(encode_header(b"i" * 8, 3)) == (b"i" * 8, 3)
    assert decode_header(encode_header(b"i" * 8, 3)[: HEADER_LAYOUT.size - 1]) is None


@pytest.mark.parametrize("key, value", [(b"", b""), (b"k" * 1025, b""), (b"k", b"v" * (1 << 20))])
def test_what_is_too_long_is_an_error_and_changes_nothing(key: bytes, value: bytes) -> None:
    store = opened(MemoryDisk())
    with pytest.raises(StoreError, match="bytes"):
        store.commit([Put(b"fine", b""), Put(key, value)])
    assert contents(store) == {}


# Against a dictionary.


class Machine(RuleBasedStateMachine):
    """The store beside a dictionary, with cuts at any call, errors, time that moves either way, and reopening."""

    @initialize(seed=st.integers(0, 1 << 30))
    def begin(self, seed: int) -> None:
        self.disk, self.clock = MemoryDisk(seed), Clock()
        self.truth: dict[bytes, tuple[bytes, float]] = {}
        self.unsure: dict[bytes, set[bytes | None]] = {}
        self.store = opened(self.disk, StoreBounds(segment_bytes=300), self.clock)

    def now(self) -> float:
        return self.store.now()

    def alive(self) -> dict[bytes, bytes]:
        return {k: v for k, (v, until) in self.truth.items() if not until or until > self.now()}

    @rule(
        key=st.integers(0, 6),
        value=st.binary(max_size=40),
        life=st.sampled_from([0.0, 5.0, 50.0]),
        cut=st.integers(0, 12),
    )
    def put(self, key: int, value: bytes, life: float, cut: int) -> None:
        name = b"k%d" % key
        until = self.now() + life if life else 0.0
        self.guarded(cut, [Put(name, value, until)], {name: (value, until)})

    @rule(key=st.integers(0, 6), cut=st.integers(0, 12))
    def delete(self, key: int, cut: int) -> None:
        self.guarded(cut, [Delete(b"k%d" % key)], {b"k%d" % key: None})

    def guarded(
        self, cut: int, changes: list[Put | Delete], new: dict[bytes, tuple[bytes, float] | None]
    ) -> None:
        self.disk.cut_at = self.disk.calls + cut if cut else -1
        try:
            self.store.commit(changes)
        except CutError:
            self.reopen(self.disk.after_cut(), new)
            return
        self.disk.cut_at = -1
        self.settle(new)

    def settle(self, new: dict[bytes, tuple[bytes, float] | None]) -> None:
        for key, value in new.items():
            if value is None:
                self.truth.pop(key, None)
            else:
                self.truth[key] = value

    def reopen(self, disk: MemoryDisk, new: dict[bytes, tuple[bytes, float] | None]) -> None:
        """What was not acknowledged is there whole or not at all, and then stays so."""
        self.disk = disk
        self.store = engine(disk, StoreBounds(segment_bytes=300), self.clock)
        assert self.store.open().is_intact
        for key, value in new.items():
            if self.store.get(key) == (value[0] if value is not None else None):
                self.settle({key: value})

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
    def time(self, by: float) -> None:
        self.clock.now += by

    @rule()
    @precondition(lambda self: not self.store.read_only)
    def fill(self) -> None:
        self.disk.room = self.disk.used() + 5
        with pytest.raises(FullError):
            self.store.commit([Put(b"too much", b"x" * 40)])
        self.disk.room = 1 << 40

    @invariant()
    def alike(self) -> None:
        if hasattr(self, "store"):
            assert contents(self.store) == self.alive()


Machine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestMachine = Machine.TestCase
