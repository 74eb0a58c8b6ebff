"""Marks that outlive a process: the file cut and flipped at every byte, two writers, and what is told of changes."""

from __future__ import annotations

import asyncio
import fcntl
import os
import threading
from pathlib import Path
from typing import Callable

import pytest

from loadbalancer.discovery.errors import OverridesError
from loadbalancer.discovery.platform_overrides import (
    Change,
    Kept,
    PlatformOverrides,
    decode,
    encode,
)
from loadbalancer.hot_restart.override_writer import OverrideWriter
from loadbalancer.hot_restart.shared_files import LOCK_FILE, OverridesFile, ProcessFile
from loadbalancer.resource_limits import RateLimitedLogger

SOME = {"s-1": 1700000000.5, "s-2": 1700000001.0, "é": 3.0}


class Told:
    def __init__(self) -> None:
        self.calls: list[tuple[str, bool]] = []

    def cordon(self, server: str, out: bool) -> None:
        self.calls.append((server, out))


class AtOnce:
    """Keeps marks as the thread would, in the call."""

    def __init__(self, file: OverridesFile) -> None:
        self.file = file

    def keep(self, change: Change, done: Callable[[Kept], None]) -> None:
        try:
            kept = self.file.save(change)
        except OSError as problem:
            done(problem)
        else:
            done(kept)


class Stalled:
    """A disk that answers when the test lets it."""

    def __init__(self) -> None:
        self.waiting: list[tuple[Change, Callable[[Kept], None]]] = []
        self.kept: dict[str, float] = {}

    def keep(self, change: Change, done: Callable[[Kept], None]) -> None:
        self.waiting.append((change, done))

    def write(self) -> None:
        change, done = self.waiting.pop(0)
        change(self.kept)
        done(dict(self.kept))

    def fail(self) -> None:
        self.waiting.pop(0)[1](OSError("no space"))


def said(marks: PlatformOverrides, member: str, out: bool) -> list[str | None]:
    """What the caller of a mark hears; it may come later."""
    heard: list[str | None] = []
    marks.mark(member, out, heard.append)
    return heard


def test_what_is_written_is_read() -> None:
    assert decode(encode(SOME)) == SOME
    assert decode(encode({})) == {}


def test_a_file_cut_at_any_byte_is_not_believed() -> None:
    whole = encode(SOME)
    for at in range(len(whole)):
        with pytest.raises(OverridesError):
            decode(whole[:at])


def test_a_file_with_any_bit_flipped_is_not_believed() -> None:
    whole = encode(SOME)
    for at in range(len(whole)):
        for bit in range(8):
            spoilt = bytearray(whole)
            spoilt[at] ^= 1 << bit
            with pytest.raises(OverridesError):
                decode(bytes(spoilt))


@pytest.mark.parametrize("text", [b"", b"[]", b"{}", b'{"version":2,"out":{},"sum":""}', b'{"version":1}'])
def test_foreign_files_and_later_forms_are_reported(text: bytes, tmp_path: Path) -> None:
    file = OverridesFile(tmp_path, RateLimitedLogger())
    file.path.write_bytes(text)
    with pytest.raises(OverridesError):
        decode(text)
    assert file.read() is None
    assert file.save(lambda marks: marks.update(a=1.0)) == {"a": 1.0}  # and the next mark mends it
    assert decode(file.path.read_bytes()) == {"a": 1.0}


def test_each_process_sees_what_the_other_one_marks(tmp_path: Path) -> None:
    told = [Told(), Told()]
    files = [OverridesFile(tmp_path, RateLimitedLogger()) for _ in told]
    marks = [PlatformOverrides(t, AtOnce(f), lambda: 5.0) for t, f in zip(told, files, strict=True)]
    for each in marks:
        each.listed(["a", "b"])
    assert said(marks[0], "a", True) == [None] == said(marks[1], "b", True)  # b's writer read a first
    assert files[1].changed() is None  # its own writing is no news
    for each, file in zip(marks, files, strict=True):
        each.follow(file.read() or {})
        assert each.out == {"a": 5.0, "b": 5.0}
    assert said(marks[0], "a", False) == [None]
    news = files[1].changed()
    assert news is not None
    marks[1].follow(news)
    assert sorted(told[1].calls[:2]) == [("a", True), ("b", True)] and told[1].calls[2:] == [("a", False)]


def test_calls_may_come_twice_and_ids_that_were_never_listed_are_unknown() -> None:
    told = Told()
    marks = PlatformOverrides(told, None, lambda: 1.0)
    marks.listed(["a"])
    for out in (True, True, False, False):
        assert said(marks, "a", out) == [None]
    assert told.calls == [("a", True), ("a", False)]
    with pytest.raises(LookupError):
        said(marks, "b", True)


def test_a_mark_that_cannot_be_kept_changes_nothing(tmp_path: Path) -> None:
    told = Told()
    file = OverridesFile(tmp_path / "gone", RateLimitedLogger())
    marks = PlatformOverrides(told, AtOnce(file), lambda: 1.0)
    marks.listed(["a"])
    (problem,) = said(marks, "a", True)
    assert problem is not None and "gone" in problem
    assert not marks.out and told.calls in ([], [("a", True), ("a", False)])  # in force while it is tried


def test_a_writer_that_stands_still_with_the_lock_is_not_waited_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("loadbalancer.hot_restart.shared_files.MAX_LOCK_TRIES", 3)
    holder = os.open(tmp_path / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
    fcntl.flock(holder, fcntl.LOCK_EX)
    marks = PlatformOverrides(Told(), AtOnce(OverridesFile(tmp_path, RateLimitedLogger())), lambda: 1.0)
    marks.listed(["a"])
    assert "held by another" in (said(marks, "a", True)[0] or "")
    os.close(holder)
    assert said(marks, "a", True) == [None]


def test_a_trace_of_a_dead_process_is_told_from_a_living_one(tmp_path: Path) -> None:
    one, other = ProcessFile(tmp_path), ProcessFile(tmp_path)
    one.claim(100)
    other.claim(30)
    assert list(one.others().values()) == [30] and list(other.others().values()) == [100]
    os.close(other._descriptor)  # as the kernel does when it dies, however it does
    assert one.others() == {}
    assert [name for name in os.listdir(tmp_path) if name != one.path.name] == []
    one.close()
    assert os.listdir(tmp_path) == []


def stalled() -> tuple[PlatformOverrides, Stalled, Told]:
    told, disk = Told(), Stalled()
    marks = PlatformOverrides(told, disk, lambda: 1.0)
    marks.listed(["a", "b"])
    return marks, disk, told


def test_a_mark_counts_before_the_disk_has_it_and_the_caller_hears_after() -> None:
    marks, disk, told = stalled()
    heard = said(marks, "a", True)
    assert told.calls == [("a", True)] and heard == []
    disk.write()
    assert heard == [None] and disk.kept == {"a": 1.0} and told.calls == [("a", True)]


def test_what_is_read_meanwhile_undoes_nothing() -> None:
    marks, disk, told = stalled()
    said(marks, "a", True)
    marks.follow({"b": 2.0})  # another process wrote
    assert marks.out == {"a": 1.0, "b": 2.0}
    disk.kept["b"] = 2.0
    disk.write()
    assert marks.out == {"a": 1.0, "b": 2.0} and told.calls == [("a", True), ("b", True)]


def test_calls_that_overtake_the_disk_count_in_their_order() -> None:
    marks, disk, _ = stalled()
    heard = [said(marks, "a", True), said(marks, "a", False), said(marks, "a", True)]
    assert marks.out == {"a": 1.0}
    disk.write()
    disk.write()
    assert marks.out == {"a": 1.0}
    disk.write()
    assert marks.out == disk.kept == {"a": 1.0} and heard == [[None]] * 3


def test_a_call_that_fails_is_taken_back_and_the_ones_after_it_stand() -> None:
    marks, disk, told = stalled()
    first, second = said(marks, "a", True), said(marks, "b", True)
    disk.fail()
    assert first != [None] and marks.out == {"b": 1.0}
    disk.write()
    assert second == [None] and marks.out == {"b": 1.0}
    assert told.calls == [("a", True), ("b", True), ("a", False)]


@pytest.mark.parametrize("kept", [True, False])
def test_a_caller_is_told_yes_while_the_disk_takes_long_and_that_is_not_taken_back(kept: bool) -> None:
    marks, disk, told = stalled()
    heard = said(marks, "a", True)
    disk.waiting[0][1](None)
    assert heard == [None]
    disk.write() if kept else disk.fail()
    marks.follow(disk.kept)
    assert marks.out == {"a": 1.0} and heard == [None] and told.calls == [("a", True)]
    again = said(marks, "a", False)  # the next call on it ends that
    assert marks.out == {} and again == []
    disk.write()
    assert marks.out == {} == disk.kept


def test_a_disk_that_hangs_holds_up_its_thread_and_not_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.hot_restart.override_writer.LATE_S", 0.0)
    free = threading.Event()

    def save(change: Change) -> dict[str, float]:
        free.wait()
        kept: dict[str, float] = {}
        change(kept)
        return kept

    async def scene() -> list[Kept]:
        keeper, heard, ended = OverrideWriter(save), list[Kept](), asyncio.Event()

        def done(kept: Kept) -> None:
            heard.append(kept)
            if kept is None:
                free.set()  # only a loop that runs comes here
            else:
                ended.set()

        keeper.keep(lambda marks: marks.update(a=1.0), done)
        await ended.wait()
        keeper.close()
        return heard

    assert asyncio.run(scene()) == [None, {"a": 1.0}]
