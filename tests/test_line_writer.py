"""Log lines that a thread writes: a full pipe, complete lines, and the count of lost lines."""

from __future__ import annotations

import os
import threading
from typing import Any, cast

from benchmarks.soak_unread_log import UnreadLog
from loadbalancer.line_writer import MAX_QUEUED_LINES, DescriptorOutput, LineWriter
from loadbalancer.resource_limits import MAX_EVENTS, RateLimitedLogger

LONG_TEXT = "x" * 200


class SignallingOutput(DescriptorOutput):
    """Sets an event when the first write begins."""

    def __init__(self, descriptor: int) -> None:
        super().__init__(descriptor)
        self.entered = threading.Event()

    def write(self, text: str) -> None:
        self.entered.set()
        super().write(text)


# Guards against a caller of the log that blocks until earlier lines are read.
def test_full_pipe_blocks_no_caller_and_lost_lines_are_counted() -> None:
    log = UnreadLog()
    output = SignallingOutput(log.write_end)
    writer = LineWriter(output)
    logger = RateLimitedLogger(writer)
    logger("kind")
    assert output.entered.wait(10)
    for number in range(MAX_QUEUED_LINES + 100):
        logger(f"kind-{number}")
    assert writer.lost == 100
    assert writer.take_lost() == 0  # the queue has no room to report it
    log.end_reading()
    writer.close()
    assert writer.lost > 100 + MAX_QUEUED_LINES
    log.close()


# Guards against truncated lines when a pipe accepts a part of a write.
def test_lines_written_in_parts_arrive_whole() -> None:
    read_end, write_end = os.pipe()
    writer = LineWriter(DescriptorOutput(write_end))
    logger = RateLimitedLogger(writer)
    expected = [f"micastand: kind-{number}: {LONG_TEXT}" for number in range(1000)]
    for number in range(1000):
        logger(f"kind-{number}", LONG_TEXT)
    data = b""
    while data.count(b"\n") < len(expected):
        data += os.read(read_end, 1 << 16)
    writer.close()
    assert data.decode().splitlines() == expected
    os.close(read_end)
    os.close(write_end)


# Guards against a log that does not report missing lines.
def test_failed_lines_are_counted_once() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = LineWriter(DescriptorOutput(write_end))
    writer.write_line("nobody is there")
    writer.close()
    os.close(write_end)
    assert writer.lost == 1
    assert [writer.take_lost(), writer.take_lost()] == [1, 0]


def test_ever_new_kinds_of_lines_do_not_grow_the_log() -> None:
    logger = RateLimitedLogger(cast(Any, RecordingWriter()))
    for number in range(3 * MAX_EVENTS):
        logger(f"stderr of {number}", "text")
    assert len(logger._limits) <= MAX_EVENTS


class RecordingWriter:
    """Takes lines and keeps none."""

    def write_line(self, text: str) -> None:
        """Ignore the line."""

    def take_lost(self) -> int:
        return 0
