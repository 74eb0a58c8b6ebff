"""The file of a fleet's keys, read again when it has changed."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from loadbalancer.daemon.fleet_keys import POLL_INTERVAL_S, KeyFile

FIRST, SECOND = "11" * 32, "22" * 32


def key_path(folder: Path, text: str = FIRST, mode: int = 0o600) -> Path:
    path = folder / "fleet.key"
    path.write_text(text)
    path.chmod(mode)
    return path


def test_the_keys_are_read(tmp_path: Path) -> None:
    sealer = KeyFile(key_path(tmp_path, f"{FIRST}\n{SECOND}\n")).read()

    assert len(sealer.keys) == 2


@pytest.mark.parametrize(
    ("text", "mode", "problem"),
    [(FIRST, 0o644, "open to others"), ("é", 0o600, "hexadecimal digits"), ("11", 0o600, "key 1 is not 64")],
)
def test_a_file_that_can_not_be_used_is_refused(tmp_path: Path, text: str, mode: int, problem: str) -> None:
    file = KeyFile(key_path(tmp_path, text, mode))

    with pytest.raises(ValueError, match=problem):
        file.read()


def test_a_change_is_seen_once_and_not_before_the_next_poll(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 100.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    file = KeyFile(key_path(tmp_path))
    key_path(tmp_path, f"{SECOND}\n{FIRST}\n")

    now += POLL_INTERVAL_S / 2
    early = file.has_changed()
    now += POLL_INTERVAL_S / 2
    changes = [file.has_changed()]
    now += POLL_INTERVAL_S
    changes.append(file.has_changed())

    assert not early
    assert changes == [True, False]
