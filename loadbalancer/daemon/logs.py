"""The daemon's log by structlog: JSON a line or for a console, bound to pools, with levels that change while it runs.

A line never waits for a disk or a terminal: it goes into a bounded queue that a thread of its own writes out; what
finds no room is counted and told of. Each kind of line is held to one in COMPLAIN_S, as the platform's log is. What
peers sent is a value in a field: it writes neither lines nor fields.
"""

from __future__ import annotations

import sys
import threading
from collections import deque
from typing import Any, TextIO

import structlog

from loadbalancer.resource_limits import RateLimitedLogger

#: Lines that wait to be written; some 300 bytes each.
WAITING_MOST = 4096
#: Characters of one text.
TEXT_MOST = 500
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
#: Kinds that say more than that something has happened.
ERRORS = ("defect", "the store takes nothing", "store: damaged", "store: missing", "overdue")
WARNINGS = (
    "new configuration not taken",
    "members file not taken",
    "no descriptor",
    "too many",
    "limit of",
    "module",
    "keyed work refused",
    "an answer",
    "lines were lost",
    "the audit",
)


def level_of(kind: str) -> str:
    if kind.startswith(ERRORS):
        return "error"
    return "warning" if kind.startswith(WARNINGS) else "info"


class Writer:
    """The queue and its thread. `close` writes what waits."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.lost = 0
        self._lines: deque[str] = deque()
        self._ready = threading.Condition()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def msg(self, line: str) -> None:
        """What structlog calls its logger with."""
        with self._ready:
            if len(self._lines) >= WAITING_MOST:
                self.lost += 1
                return
            self._lines.append(line)
            self._ready.notify()

    def has_room(self) -> bool:
        return len(self._lines) < WAITING_MOST

    debug = info = warning = error = msg

    def _run(self) -> None:
        while True:
            with self._ready:
                while not self._lines and not self._closing:
                    self._ready.wait()
                lines, self._lines = self._lines, deque()
                if not lines and self._closing:
                    return
            try:
                self.out.write("\n".join(lines) + "\n")
                self.out.flush()
            except (OSError, ValueError):  # a full disk, or a reader that has gone: the proxy goes on
                with self._ready:
                    self.lost += len(lines)

    def close(self) -> None:
        with self._ready:
            self._closing = True
            self._ready.notify()
        self._thread.join(timeout=2.0)


class StructuredLogger(RateLimitedLogger):
    """The log that a daemon complains to. What `bind` returns writes to the same one, with fields more."""

    def __init__(self, form: str = "console", level: str = "info", out: TextIO = sys.stderr) -> None:
        super().__init__()
        self.writer = Writer(out)
        self._level = [LEVELS[level]]  # shared by all that are bound
        self._fields: dict[str, Any] = {}
        last: Any = structlog.processors.JSONRenderer()
        if form == "console":
            last = structlog.dev.ConsoleRenderer(colors=out.isatty())
        self._logger = structlog.wrap_logger(
            self.writer,
            wrapper_class=structlog.BoundLogger,
            processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper("iso"), last],
        )
        self._told_lost = 0

    def set_level(self, level: str) -> None:
        """KeyError for one that is none."""
        self._level[0] = LEVELS[level]

    def bind(self, **fields: Any) -> StructuredLogger:
        made = object.__new__(StructuredLogger)
        made.__dict__ = dict(self.__dict__)
        made._fields = {**self._fields, **fields}
        made._limits = {}  # floods of one pool silence no other's
        return made

    def __call__(self, kind: str, text: object = "") -> None:
        level = level_of(kind)
        if LEVELS[level] < self._level[0]:
            return
        left_out = self._left_out(kind)
        if left_out is None:
            return
        fields = dict(self._fields)
        if text != "":
            fields["text"] = str(text)[:TEXT_MOST].encode("unicode_escape").decode()
        if left_out:
            fields["more"] = left_out
        getattr(self._logger, level)(kind, **fields)
        self._tell_lost()

    def _tell_lost(self) -> None:
        lost = self.writer.lost
        if lost > self._told_lost and self.writer.has_room():
            more, self._told_lost = lost - self._told_lost, lost
            self._logger.warning("lines were lost", count=more)

    def close(self) -> None:
        self.writer.close()
