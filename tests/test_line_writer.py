"""Log lines that a thread writes: a pipe that is full, whole lines, what is lost."""

from __future__ import annotations

import os
import threading

from benchmarks.soak_unread_log import UnreadLog
from loadbalancer.line_writer import MAX_QUEUED_LINES, DescriptorOutput, LineWriter
from loadbalancer.resource_limits import RateLimitedLogger

LONG_TEXT = "x" * 200


class NotedOutput(DescriptorOutput):
    """Says when the first lines are on their way."""

    def __init__(self, descriptor: int) -> None:
        super().__init__(descriptor)
        self.entered = threading.Event()

    def write(self, text: str) -> None:
        self.entered.set()
        super().write(text)


# Guards against a caller of the log that waits until somebody reads what was written before.
def test_a_full_pipe_holds_up_no_caller_and_what_was_lost_is_told() -> None:
    log = UnreadLog()
    output = NotedOutput(log.write_end)
    writer = LineWriter(output)
    logger = RateLimitedLogger(writer)
    logger("kind")
    assert output.entered.wait(10)
    for number in range(MAX_QUEUED_LINES + 100):
        logger(f"kind-{number}")
    assert writer.lost == 100
    assert writer.take_lost() == 0  # no room to say so
    log.end_reading()
    writer.close()
    assert writer.lost > 100 + MAX_QUEUED_LINES
    log.close()


# Guards against lines that are cut where a pipe takes a part of them.
def test_lines_that_a_pipe_takes_in_parts_come_out_whole() -> None:
    read_end, write_end = os.pipe()
    writer = LineWriter(DescriptorOutput(write_end))
    logger = RateLimitedLogger(writer)
    wanted = [f"micastand: kind-{number}: {LONG_TEXT}" for number in range(1000)]
    for number in range(1000):
        logger(f"kind-{number}", LONG_TEXT)
    data = b""
    while data.count(b"\n") < len(wanted):
        data += os.read(read_end, 1 << 16)
    writer.close()
    assert data.decode().splitlines() == wanted
    os.close(read_end)
    os.close(write_end)


# Guards against a log that does not say that lines are missing.
def test_lines_that_could_not_be_written_are_counted_once() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = LineWriter(DescriptorOutput(write_end))
    writer.write_line("nobody is there")
    writer.close()
    os.close(write_end)
    assert writer.lost == 1
    assert [writer.take_lost(), writer.take_lost()] == [1, 0]
