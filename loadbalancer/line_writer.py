"""Writes log lines in a separate thread, so that the event loop never waits for a disk or a terminal."""

from __future__ import annotations

import os
import sys
import threading
from collections import deque
from typing import Protocol

MAX_QUEUED_LINES = 4096
"""Maximum lines that wait to be written, of some 300 bytes each."""
CLOSE_TIMEOUT_S = 2.0
"""Seconds that `close` waits until the last lines are written."""


class LineOutput(Protocol):
    """The output of log lines: a text file, or an object with the same methods."""

    def write(self, text: str, /) -> object:
        """Write a whole text; OSError or ValueError if that fails."""

    def flush(self) -> object:
        """Flush the buffers of this process."""


class DescriptorOutput:
    """Writes to a descriptor without the interpreter's buffer, whose lock the interpreter takes at exit."""

    def __init__(self, descriptor: int) -> None:
        """Use a descriptor without owning it."""
        self._descriptor = descriptor

    def write(self, text: str) -> None:
        """Write a whole text."""
        data = memoryview(text.encode(errors="backslashreplace"))
        while data:
            data = data[os.write(self._descriptor, data) :]

    def flush(self) -> None:
        """Do nothing: nothing is buffered."""


def standard_error() -> LineOutput:
    """Return standard error as an output: its descriptor, if it has one."""
    try:
        return DescriptorOutput(sys.stderr.fileno())
    except OSError:  # it was replaced by a file in memory
        return sys.stderr


class LineWriter:
    """Holds a bounded queue of lines and the thread that writes them; `close` writes the rest and ends the thread.

    Attributes:
        lost: Number of lines that were dropped from a full queue or could not be written.
    """

    def __init__(self, out: LineOutput) -> None:
        """Start the thread that writes to `out`."""
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
        """Return whether the queue has room for another line."""
        return len(self._lines) < MAX_QUEUED_LINES

    def take_lost(self) -> int:
        """Return how many lines were lost since the last call; 0 while the queue has no room to report it."""
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
            except (OSError, ValueError):  # a full disk or a closed pipe must not stop the proxy
                with self._changed:
                    self.lost += len(lines)

    def _take(self) -> deque[str]:
        """Wait for lines and return all that are queued; empty once the writer is closed."""
        with self._changed:
            while not self._lines and not self._closing:
                self._changed.wait()
            lines, self._lines = self._lines, deque()
            return lines

    def close(self) -> None:
        """Write the queued lines, for at most CLOSE_TIMEOUT_S, and end the thread."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(timeout=CLOSE_TIMEOUT_S)
