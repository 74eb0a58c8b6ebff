"""The daemon's log: lines that are what they say, floods, levels, a reader that does not read."""

from __future__ import annotations

import io
import json
import threading
from typing import Any

import pytest

from loadbalancer.daemon import log_writer
from loadbalancer.daemon.logs import StructuredLogger, level_of
from loadbalancer.resource_limits import LOG_INTERVAL_S


def written(log: StructuredLogger, out: io.StringIO) -> list[dict[str, Any]]:
    log.close()
    return [json.loads(line) for line in out.getvalue().splitlines()]


def test_lines_are_json_with_the_fields_that_are_bound() -> None:
    out = io.StringIO()
    log = StructuredLogger("json", out=out)
    log("store", "2 segments")
    log.bind(pool="web")("defect", 'KeyError "x"\n{"level": "info"}')
    first, second = written(log, out)
    assert first["event"] == "store" and first["text"] == "2 segments" and first["level"] == "info"
    assert second["pool"] == "web" and second["level"] == "error" and "\n" not in second["text"]
    assert first["timestamp"].startswith("20")


def test_a_flood_of_one_pool_is_one_line_and_silences_no_other() -> None:
    out = io.StringIO()
    log = StructuredLogger("json", out=out)
    web, api = log.bind(pool="web"), log.bind(pool="api")
    for _ in range(1000):
        web("spoilt answer", "x")
    api("spoilt answer", "x")
    assert [line["pool"] for line in written(log, out)] == ["web", "api"]


def test_how_many_were_left_out_is_told_with_the_next(monkeypatch: pytest.MonkeyPatch) -> None:
    out = io.StringIO()
    log = StructuredLogger("json", out=out)
    now = [100.0]
    monkeypatch.setattr("loadbalancer.resource_limits.time.monotonic", lambda: now[0])
    for _ in range(5):
        log("kind", "x")
    now[0] += LOG_INTERVAL_S
    log("kind", "x")
    assert [line.get("more") for line in written(log, out)] == [None, 4]


def test_levels_change_while_it_runs_for_all_that_are_bound() -> None:
    out = io.StringIO()
    log = StructuredLogger("json", "error", out)
    bound = log.bind(pool="p")
    bound("note", "not told")
    log.set_level("info")
    bound("note", "told")
    assert [line["text"] for line in written(log, out)] == ["told"]
    with pytest.raises(KeyError):
        log.set_level("loud")
    assert level_of("defect in the store") == "error" and level_of("members file not taken") == "warning"


class Stuck(io.StringIO):
    """A terminal that nobody reads."""

    def __init__(self) -> None:
        super().__init__()
        self.gate, self.entered = threading.Event(), threading.Event()

    def write(self, text: str) -> int:
        self.entered.set()
        self.gate.wait()
        return super().write(text)


def test_a_reader_that_does_not_read_holds_nothing_up_and_what_was_lost_is_told() -> None:
    out = Stuck()
    log = StructuredLogger("json", out=out)
    log("kind-0")
    assert out.entered.wait(10)
    for number in range(1, log_writer.MAX_QUEUED_LINES + 101):
        log(f"kind-{number}")
    assert log.writer.lost == 100
    out.gate.set()
    log.close()
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    assert len(lines) == log_writer.MAX_QUEUED_LINES + 1


def test_a_full_disk_under_the_log_is_survived() -> None:
    class Full(io.StringIO):
        def write(self, text: str) -> int:
            raise OSError(28, "No space left on device")

    log = StructuredLogger("json", out=Full())
    log("kind", "x")
    log.close()
    assert log.writer.lost == 1
