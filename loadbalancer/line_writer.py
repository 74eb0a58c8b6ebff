"""Writes log lines from a thread of its own, so that the event loop never waits for a disk or a terminal."""

from __future__ import annotations

import os
import sys
import threading
from collections import deque
from typing import Protocol

MAX_QUEUED_LINES = 4096
"""Lines that wait to be written; some 300 bytes each."""
CLOSE_TIMEOUT_S = 2.0
"""Seconds that `close` waits for the last lines."""


class LineOutput(Protocol):
    """Where lines go: a text file, or what is used like one."""

    def write(self, text: str, /) -> object:
        """Write all of a text; OSError or ValueError where that can't be."""

    def flush(self) -> object:
        """Leave nothing in a buffer of this process."""


class DescriptorOutput:
    """A descriptor, written to without the interpreter's buffer, whose lock the interpreter takes as it ends."""

    def __init__(self, descriptor: int) -> None:
        """Write to a descriptor, which stays its owner's."""
        self._descriptor = descriptor

    def write(self, text: str) -> None:
        """Write all of a text."""
        data = memoryview(text.encode(errors="backslashreplace"))
        while data:
            data = data[os.write(self._descriptor, data) :]

    def flush(self) -> None:
        """Do nothing: nothing is buffered."""


def standard_error() -> LineOutput:
    """Standard error as an output: its descriptor, where it has one."""
    try:
        return DescriptorOutput(sys.stderr.fileno())
    except OSError:  # a file in memory took its place
        return sys.stderr


class LineWriter:
    """A bounded queue and its thread; `close` writes what waits, and ends the thread.

    Attributes:
        lost: Lines that found no room, or could not be written.
    """

    def __init__(self, out: LineOutput) -> None:
        """Start the thread, which writes to `out`."""
        self.lost = 0
        self._reported_lost = 0
        self._out = out
        self._lines: deque[str] = deque()
        self._changed = threading.Condition()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write_line(self, line: str) -> None:
        """Queue a line, or count it as lost."""
        with self._changed:
            if len(self._lines) >= MAX_QUEUED_LINES:
                self.lost += 1
                return
            self._lines.append(line)
            self._changed.notify()

    def has_room(self) -> bool:
        """Whether a further line would be queued."""
        return len(self._lines) < MAX_QUEUED_LINES

    def take_lost(self) -> int:
        """How many lines were lost since the last call; 0 while there is no room for a line that says so."""
        if not self.has_room():
            return 0
        lost = self.lost
        count, self._reported_lost = lost - self._reported_lost, lost
        return count

    def _run(self) -> None:
        while lines := self._take():
            try:
                self._out.write("\n".join(lines) + "\n")
                self._out.flush()
            except (OSError, ValueError):  # a full disk, or a reader that has gone: the proxy goes on
                with self._changed:
                    self.lost += len(lines)

    def _take(self) -> deque[str]:
        """Wait for lines, and take all that are queued; empty once the writer is closed."""
        with self._changed:
            while not self._lines and not self._closing:
                self._changed.wait()
            lines, self._lines = self._lines, deque()
            return lines

    def close(self) -> None:
        """Write what waits, for CLOSE_TIMEOUT_S at most."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(timeout=CLOSE_TIMEOUT_S)
