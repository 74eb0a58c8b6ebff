"""The key file of a fleet, and the detection of its changes."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from loadbalancer.daemon.fleet_keys import POLL_INTERVAL_S, KeyFile

FIRST, SECOND = "11" * 32, "22" * 32


def write_key_file(folder: Path, text: str = FIRST, mode: int = 0o600) -> Path:
    path = folder / "fleet.key"
    path.write_text(text)
    path.chmod(mode)
    return path


def test_all_keys_of_the_file_are_read(tmp_path: Path) -> None:
    sealer = KeyFile(write_key_file(tmp_path, f"{FIRST}\n{SECOND}\n")).read()

    assert len(sealer.keys) == 2


@pytest.mark.parametrize(
    ("text", "mode", "problem"),
    [(FIRST, 0o644, "open to others"), ("é", 0o600, "hexadecimal digits"), ("11", 0o600, "key 1 is not 64")],
)
def test_an_invalid_key_file_is_rejected(tmp_path: Path, text: str, mode: int, problem: str) -> None:
    file = KeyFile(write_key_file(tmp_path, text, mode))

    with pytest.raises(ValueError, match=problem):
        file.read()


def test_a_change_is_reported_once_and_not_before_the_next_poll(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 100.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    file = KeyFile(write_key_file(tmp_path))
    write_key_file(tmp_path, f"{SECOND}\n{FIRST}\n")

    now += POLL_INTERVAL_S / 2
    changed_before_poll = file.has_changed()
    now += POLL_INTERVAL_S / 2
    changes = [file.has_changed()]
    now += POLL_INTERVAL_S
    changes.append(file.has_changed())

    assert not changed_before_poll
    assert changes == [True, False]
