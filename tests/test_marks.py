"""Marks that outlive a process: the file cut and flipped at every byte, two writers, and what is told of changes."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from spokemast.handover.shared import LOCK, Life, MarksFile
from spokemast.limits import Complaints
from spokemast.members.marks import Marks, MarksError, decode, encode

SOME = {"s-1": 1700000000.5, "s-2": 1700000001.0, "é": 3.0}


class Told:
    def __init__(self) -> None:
        self.calls: list[tuple[str, bool]] = []

    def cordon(self, server: str, out: bool) -> None:
        self.calls.append((server, out))


def test_what_is_written_is_read() -> None:
    assert decode(encode(SOME)) == SOME
    assert decode(encode({})) == {}


def test_a_file_cut_at_any_byte_is_not_believed() -> None:
    whole = encode(SOME)
    for at in range(len(whole)):
        with pytest.raises(MarksError):
            decode(whole[:at])


def test_a_file_with_any_bit_flipped_is_not_believed() -> None:
    whole = encode(SOME)
    for at in range(len(whole)):
        for bit in range(8):
            spoilt = bytearray(whole)
            spoilt[at] ^= 1 << bit
            with pytest.raises(MarksError):
                decode(bytes(spoilt))


@pytest.mark.parametrize("text", [b"", b"[]", b"{}", b'{"version":2,"out":{},"sum":""}', b'{"version":1}'])
def test_foreign_files_and_later_forms_are_reported(text: bytes, tmp_path: Path) -> None:
    file = MarksFile(tmp_path, Complaints())
    file.path.write_bytes(text)
    with pytest.raises(MarksError):
        decode(text)
    assert file.read() is None
    assert file.save(lambda marks: marks.update(a=1.0)) == {"a": 1.0}  # and the next mark mends it
    assert decode(file.path.read_bytes()) == {"a": 1.0}


def test_each_process_sees_what_the_other_one_marks(tmp_path: Path) -> None:
    told = [Told(), Told()]
    files = [MarksFile(tmp_path, Complaints()) for _ in told]
    marks = [Marks(t, f.save, lambda: 5.0) for t, f in zip(told, files, strict=True)]
    for each in marks:
        each.listed(["a", "b"])
    assert marks[0].mark("a", True) is None and marks[1].mark("b", True) is None  # b's writer read a first
    assert files[1].changed() is None  # its own writing is no news
    for each, file in zip(marks, files, strict=True):
        each.follow(file.read() or {})
        assert each.out == {"a": 5.0, "b": 5.0}
    assert marks[0].mark("a", False) is None
    news = files[1].changed()
    assert news is not None
    marks[1].follow(news)
    assert told[1].calls == [("a", True), ("b", True), ("a", False)]


def test_calls_may_come_twice_and_ids_that_were_never_listed_are_unknown() -> None:
    told = Told()
    marks = Marks(told, None, lambda: 1.0)
    marks.listed(["a"])
    for out in (True, True, False, False):
        assert marks.mark("a", out) is None
    assert told.calls == [("a", True), ("a", False)]
    with pytest.raises(LookupError):
        marks.mark("b", True)


def test_a_mark_that_cannot_be_kept_changes_nothing(tmp_path: Path) -> None:
    told = Told()
    file = MarksFile(tmp_path / "gone", Complaints())
    marks = Marks(told, file.save, lambda: 1.0)
    marks.listed(["a"])
    assert marks.mark("a", True) is not None
    assert not told.calls and not marks.out


def test_a_writer_that_stands_still_with_the_lock_is_not_waited_for(tmp_path: Path) -> None:
    import fcntl

    holder = os.open(tmp_path / LOCK, os.O_RDWR | os.O_CREAT, 0o600)
    fcntl.flock(holder, fcntl.LOCK_EX)
    marks = Marks(Told(), MarksFile(tmp_path, Complaints()).save, lambda: 1.0)
    marks.listed(["a"])
    assert "held by another" in (marks.mark("a", True) or "")
    os.close(holder)
    assert marks.mark("a", True) is None


def test_a_trace_of_a_dead_process_is_told_from_a_living_one(tmp_path: Path) -> None:
    one, other = Life(tmp_path), Life(tmp_path)
    one.claim(100)
    other.claim(30)
    assert list(one.others().values()) == [30] and list(other.others().values()) == [100]
    os.close(other._held)  # as the kernel does when it dies, however it does
    assert one.others() == {}
    assert [name for name in os.listdir(tmp_path) if name != one.path.name] == []
    one.close()
    assert os.listdir(tmp_path) == []
