"""Stored overrides: a file truncated or damaged at every byte, two writers, and the answers to changes."""

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
    PlatformOverrides,
    StoreResult,
    decode,
    encode,
)
from loadbalancer.hot_restart.override_writer import OverrideWriter
from loadbalancer.hot_restart.shared_files import LOCK_FILE, OverridesFile, ProcessFile
from loadbalancer.resource_limits import RateLimitedLogger

CORDON_TIMES = {"s-1": 1700000000.5, "s-2": 1700000001.0, "é": 3.0}


class RecordingListener:
    def __init__(self) -> None:
        self.calls: list[tuple[str, bool]] = []

    def cordon(self, server: str, out: bool) -> None:
        self.calls.append((server, out))


class ImmediateStore:
    """Stores changes as the writer's thread does, but within the call."""

    def __init__(self, file: OverridesFile) -> None:
        self.file = file

    def save_change(self, change: Change, done: Callable[[StoreResult], None]) -> None:
        try:
            stored = self.file.save(change)
        except OSError as problem:
            done(problem)
        else:
            done(stored)


class StalledStore:
    """A store that completes a change when the test calls `write` or `fail`."""

    def __init__(self) -> None:
        self.waiting: list[tuple[Change, Callable[[StoreResult], None]]] = []
        self.stored: dict[str, float] = {}

    def save_change(self, change: Change, done: Callable[[StoreResult], None]) -> None:
        self.waiting.append((change, done))

    def write(self) -> None:
        change, done = self.waiting.pop(0)
        change(self.stored)
        done(dict(self.stored))

    def fail(self) -> None:
        self.waiting.pop(0)[1](OSError("no space"))


def set_cordon(overrides: PlatformOverrides, member: str, out: bool) -> list[str | None]:
    """Cordon an endpoint or use it again; return the list that receives the answers, now or later."""
    answers: list[str | None] = []
    overrides.set_cordoned(member, out, answers.append)
    return answers


def test_encoded_overrides_decode_to_the_same() -> None:
    assert decode(encode(CORDON_TIMES)) == CORDON_TIMES
    assert decode(encode({})) == {}


def test_file_truncated_at_any_byte_is_rejected() -> None:
    whole = encode(CORDON_TIMES)
    for at in range(len(whole)):
        with pytest.raises(OverridesError):
            decode(whole[:at])


def test_file_with_any_bit_flipped_is_rejected() -> None:
    whole = encode(CORDON_TIMES)
    for at in range(len(whole)):
        for bit in range(8):
            damaged = bytearray(whole)
            damaged[at] ^= 1 << bit
            with pytest.raises(OverridesError):
                decode(bytes(damaged))


@pytest.mark.parametrize("text", [b"", b"[]", b"{}", b'{"version":2,"out":{},"sum":""}', b'{"version":1}'])
def test_files_of_other_kinds_and_versions_are_rejected_and_replaced_by_the_next_change(
    text: bytes, tmp_path: Path
) -> None:
    file = OverridesFile(tmp_path, RateLimitedLogger())
    file.path.write_bytes(text)
    with pytest.raises(OverridesError):
        decode(text)
    assert file.read() is None
    # The next change replaces the invalid file.
    assert file.save(lambda overrides: overrides.update(a=1.0)) == {"a": 1.0}
    assert decode(file.path.read_bytes()) == {"a": 1.0}


def test_each_process_applies_the_cordons_of_the_other(tmp_path: Path) -> None:
    listeners = [RecordingListener(), RecordingListener()]
    files = [OverridesFile(tmp_path, RateLimitedLogger()) for _ in listeners]
    overrides = [
        PlatformOverrides(listener, ImmediateStore(file), lambda: 5.0)
        for listener, file in zip(listeners, files, strict=True)
    ]
    for each in overrides:
        each.add_listed(["a", "b"])
    # The second writer reads a before it adds b.
    assert set_cordon(overrides[0], "a", True) == [None] == set_cordon(overrides[1], "b", True)
    assert files[1].changed() is None  # its own write does not count as a change
    for each, file in zip(overrides, files, strict=True):
        each.follow(file.read() or {})
        assert each.cordoned == {"a": 5.0, "b": 5.0}
    assert set_cordon(overrides[0], "a", False) == [None]
    changed = files[1].changed()
    assert changed is not None
    overrides[1].follow(changed)
    assert sorted(listeners[1].calls[:2]) == [("a", True), ("b", True)] and listeners[1].calls[2:] == [
        ("a", False)
    ]


def test_calls_are_idempotent_and_ids_never_listed_raise_lookup_error() -> None:
    listener = RecordingListener()
    overrides = PlatformOverrides(listener, None, lambda: 1.0)
    overrides.add_listed(["a"])
    for out in (True, True, False, False):
        assert set_cordon(overrides, "a", out) == [None]
    assert listener.calls == [("a", True), ("a", False)]
    with pytest.raises(LookupError):
        set_cordon(overrides, "b", True)


def test_cordon_that_cannot_be_stored_is_undone(tmp_path: Path) -> None:
    listener = RecordingListener()
    file = OverridesFile(tmp_path / "gone", RateLimitedLogger())
    overrides = PlatformOverrides(listener, ImmediateStore(file), lambda: 1.0)
    overrides.add_listed(["a"])
    (problem,) = set_cordon(overrides, "a", True)
    assert problem is not None and "gone" in problem
    # The cordon may be in effect while storing it is tried.
    assert not overrides.cordoned and listener.calls in ([], [("a", True), ("a", False)])


def test_lock_held_by_a_stopped_writer_fails_the_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("loadbalancer.hot_restart.shared_files.MAX_LOCK_TRIES", 3)
    holder = os.open(tmp_path / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
    fcntl.flock(holder, fcntl.LOCK_EX)
    overrides = PlatformOverrides(
        RecordingListener(), ImmediateStore(OverridesFile(tmp_path, RateLimitedLogger())), lambda: 1.0
    )
    overrides.add_listed(["a"])
    assert "held by another" in (set_cordon(overrides, "a", True)[0] or "")
    os.close(holder)
    assert set_cordon(overrides, "a", True) == [None]


def test_process_file_of_an_ended_process_is_removed(tmp_path: Path) -> None:
    first, other = ProcessFile(tmp_path), ProcessFile(tmp_path)
    first.claim(100)
    other.claim(30)
    assert list(first.others().values()) == [30] and list(other.others().values()) == [100]
    os.close(other._descriptor)  # as the kernel does however the process ends
    assert first.others() == {}
    assert [name for name in os.listdir(tmp_path) if name != first.path.name] == []
    first.close()
    assert os.listdir(tmp_path) == []


def make_stalled() -> tuple[PlatformOverrides, StalledStore, RecordingListener]:
    listener, disk = RecordingListener(), StalledStore()
    overrides = PlatformOverrides(listener, disk, lambda: 1.0)
    overrides.add_listed(["a", "b"])
    return overrides, disk, listener


def test_cordon_takes_effect_before_it_is_stored_and_is_answered_after() -> None:
    overrides, disk, listener = make_stalled()
    answers = set_cordon(overrides, "a", True)
    assert listener.calls == [("a", True)] and answers == []
    disk.write()
    assert answers == [None] and disk.stored == {"a": 1.0} and listener.calls == [("a", True)]


def test_stored_overrides_read_meanwhile_do_not_undo_a_pending_change() -> None:
    overrides, disk, listener = make_stalled()
    set_cordon(overrides, "a", True)
    overrides.follow({"b": 2.0})  # another process has stored it
    assert overrides.cordoned == {"a": 1.0, "b": 2.0}
    disk.stored["b"] = 2.0
    disk.write()
    assert overrides.cordoned == {"a": 1.0, "b": 2.0} and listener.calls == [("a", True), ("b", True)]


def test_pending_changes_apply_in_their_order() -> None:
    overrides, disk, _ = make_stalled()
    answers = [
        set_cordon(overrides, "a", True),
        set_cordon(overrides, "a", False),
        set_cordon(overrides, "a", True),
    ]
    assert overrides.cordoned == {"a": 1.0}
    disk.write()
    disk.write()
    assert overrides.cordoned == {"a": 1.0}
    disk.write()
    assert overrides.cordoned == disk.stored == {"a": 1.0} and answers == [[None]] * 3


def test_failed_change_is_undone_and_later_ones_stay() -> None:
    overrides, disk, listener = make_stalled()
    first, second = set_cordon(overrides, "a", True), set_cordon(overrides, "b", True)
    disk.fail()
    assert first != [None] and overrides.cordoned == {"b": 1.0}
    disk.write()
    assert second == [None] and overrides.cordoned == {"b": 1.0}
    assert listener.calls == [("a", True), ("b", True), ("a", False)]


@pytest.mark.parametrize("stored", [True, False])
def test_change_answered_while_the_disk_is_slow_is_not_undone(stored: bool) -> None:
    overrides, disk, listener = make_stalled()
    answers = set_cordon(overrides, "a", True)
    disk.waiting[0][1](None)
    assert answers == [None]
    disk.write() if stored else disk.fail()
    overrides.follow(disk.stored)
    assert overrides.cordoned == {"a": 1.0} and answers == [None] and listener.calls == [("a", True)]
    again = set_cordon(overrides, "a", False)  # the next change of the endpoint supersedes it
    assert overrides.cordoned == {} and again == []
    disk.write()
    assert overrides.cordoned == {} == disk.stored


def test_hanging_disk_blocks_the_writer_thread_and_not_the_event_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("loadbalancer.hot_restart.override_writer.LATE_S", 0.0)
    unblocked = threading.Event()

    def save(change: Change) -> dict[str, float]:
        unblocked.wait()
        stored: dict[str, float] = {}
        change(stored)
        return stored

    async def scene() -> list[StoreResult]:
        writer, answers, ended = OverrideWriter(save), list[StoreResult](), asyncio.Event()

        def done(stored: StoreResult) -> None:
            answers.append(stored)
            if stored is None:
                unblocked.set()  # reached only if the event loop is not blocked
            else:
                ended.set()

        writer.save_change(lambda overrides: overrides.update(a=1.0), done)
        await ended.wait()
        writer.close()
        return answers

    assert asyncio.run(scene()) == [None, {"a": 1.0}]
