"""Tests of the daemon's log: line format, rate limits, levels, and outputs that block or fail."""

from __future__ import annotations

import io
import json
import threading
from typing import Any

import pytest

from loadbalancer.daemon import log_writer
from loadbalancer.daemon.logs import StructuredLogger, level_of
from loadbalancer.resource_limits import LOG_INTERVAL_S


def close_and_read_lines(log: StructuredLogger, out: io.StringIO) -> list[dict[str, Any]]:
    """Close the log, and return its lines."""
    log.close()
    return [json.loads(line) for line in out.getvalue().splitlines()]


def test_lines_are_json_with_bound_fields() -> None:
    out = io.StringIO()
    log = StructuredLogger("json", out=out)
    log("store", "2 segments")
    log.bind(pool="web")("defect", 'KeyError "x"\n{"level": "info"}')
    first, second = close_and_read_lines(log, out)
    assert first["event"] == "store" and first["text"] == "2 segments" and first["level"] == "info"
    assert second["pool"] == "web" and second["level"] == "error" and "\n" not in second["text"]
    assert first["timestamp"].startswith("20")


def test_flood_of_one_pool_is_one_line_and_suppresses_no_other_pool() -> None:
    out = io.StringIO()
    log = StructuredLogger("json", out=out)
    web, api = log.bind(pool="web"), log.bind(pool="api")
    for _ in range(1000):
        web("spoilt answer", "x")
    api("spoilt answer", "x")
    assert [line["pool"] for line in close_and_read_lines(log, out)] == ["web", "api"]


def test_next_line_reports_number_of_suppressed_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    out = io.StringIO()
    log = StructuredLogger("json", out=out)
    now = [100.0]
    monkeypatch.setattr("loadbalancer.resource_limits.time.monotonic", lambda: now[0])
    for _ in range(5):
        log("kind", "x")
    now[0] += LOG_INTERVAL_S
    log("kind", "x")
    assert [line.get("more") for line in close_and_read_lines(log, out)] == [None, 4]


def test_level_change_applies_to_bound_loggers() -> None:
    out = io.StringIO()
    log = StructuredLogger("json", "error", out)
    bound = log.bind(pool="p")
    bound("event", "below the level")
    log.set_level("info")
    bound("event", "at the level")
    assert [line["text"] for line in close_and_read_lines(log, out)] == ["at the level"]
    with pytest.raises(KeyError):
        log.set_level("loud")
    assert level_of("defect in the store") == "error" and level_of("members file not taken") == "warning"


class BlockedOutput(io.StringIO):
    """An output that blocks until `unblocked` is set, like a terminal that nobody reads."""

    def __init__(self) -> None:
        super().__init__()
        self.unblocked, self.entered = threading.Event(), threading.Event()

    def write(self, text: str) -> int:
        self.entered.set()
        self.unblocked.wait()
        return super().write(text)


def test_blocked_output_blocks_no_caller_and_lost_lines_are_counted() -> None:
    out = BlockedOutput()
    log = StructuredLogger("json", out=out)
    log("kind-0")
    assert out.entered.wait(10)
    for number in range(1, log_writer.MAX_QUEUED_LINES + 101):
        log(f"kind-{number}")
    assert log.writer.lost == 100
    out.unblocked.set()
    log.close()
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    assert len(lines) == log_writer.MAX_QUEUED_LINES + 1


def test_failed_write_counts_the_line_as_lost() -> None:
    class FullDisk(io.StringIO):
        def write(self, text: str) -> int:
            raise OSError(28, "No space left on device")

    log = StructuredLogger("json", out=FullDisk())
    log("kind", "x")
    log.close()
    assert log.writer.lost == 1
