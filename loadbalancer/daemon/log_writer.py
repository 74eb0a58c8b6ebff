"""Writes log lines from a thread of its own, so that the event loop never waits for a disk or a terminal."""

from __future__ import annotations

import threading
from collections import deque
from typing import TextIO

#: Lines that wait to be written; some 300 bytes each.
MAX_QUEUED_LINES = 4096
#: For so long `close` waits for the last lines.
CLOSE_TIMEOUT_S = 2.0


class LogWriter:
    """A bounded queue and its thread; `close` writes what waits, and ends the thread.

    Attributes:
        lost: Lines that found no room, or could not be written.
    """

    def __init__(self, out: TextIO) -> None:
        """Start the thread, which writes to `out`."""
        self.lost = 0
        self._out = out
        self._lines: deque[str] = deque()
        self._changed = threading.Condition()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def msg(self, line: str) -> None:
        """Queue a line, or count it as lost; structlog calls this by the level's name."""
        with self._changed:
            if len(self._lines) >= MAX_QUEUED_LINES:
                self.lost += 1
                return
            self._lines.append(line)
            self._changed.notify()

    debug = info = warning = error = msg

    def has_room(self) -> bool:
        """Whether a further line would be queued."""
        return len(self._lines) < MAX_QUEUED_LINES

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
