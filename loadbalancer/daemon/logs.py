"""The daemon's log by structlog: lines of JSON or for a console, with fields of a pool, and levels that can change.

Each event is limited to one line in LOG_INTERVAL_S, as in the platform's log. What peers sent is a value in a field, so
it adds neither lines nor fields.
"""

from __future__ import annotations

import sys
from typing import Any, TextIO

import structlog

from loadbalancer.daemon.log_writer import LogWriter
from loadbalancer.resource_limits import RateLimitedLogger

#: Characters of one text.
MAX_TEXT_CHARACTERS = 500
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
#: Beginnings of the events above the level `info`.
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


def level_of(event: str) -> str:
    """The level at which an event is logged."""
    if event.startswith(ERRORS):
        return "error"
    return "warning" if event.startswith(WARNINGS) else "info"


class StructuredLogger(RateLimitedLogger):
    """A log with levels. What `bind` returns writes to the same one, with further fields; `close` ends all of them.

    Attributes:
        writer: Writes the lines.
    """

    def __init__(self, form: str = "console", level: str = "info", out: TextIO = sys.stderr) -> None:
        """Open the log.

        Args:
            form: `json` or `console`.
            level: The lowest of LEVELS that is logged.
            out: Where lines go.
        """
        super().__init__()
        self.writer = LogWriter(out)
        self._level = [LEVELS[level]]  # shared by all that are bound
        self._fields: dict[str, Any] = {}
        renderer: Any = structlog.processors.JSONRenderer()
        if form == "console":
            renderer = structlog.dev.ConsoleRenderer(colors=out.isatty())
        self._logger = structlog.wrap_logger(
            self.writer,
            wrapper_class=structlog.BoundLogger,
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper("iso"),
                renderer,
            ],
        )

    def set_level(self, level: str) -> None:
        """Log from this level up; KeyError if it is none of LEVELS."""
        self._level[0] = LEVELS[level]

    def bind(self, **fields: Any) -> StructuredLogger:
        """The same log with these fields on each line, and a rate limit of its own."""
        bound = object.__new__(StructuredLogger)  # shares the writer, whose thread must not start twice
        bound.__dict__ = dict(self.__dict__)
        bound._fields = {**self._fields, **fields}
        bound._limits = {}
        return bound

    def __call__(self, kind: str, text: object = "") -> None:
        """Log an event, with a text after it, unless it is below the level or came too often."""
        level = level_of(kind)
        if LEVELS[level] < self._level[0]:
            return
        left_out = self._left_out(kind)
        if left_out is None:
            return
        fields = dict(self._fields)
        if text != "":
            fields["text"] = str(text)[:MAX_TEXT_CHARACTERS].encode("unicode_escape").decode()
        if left_out:
            fields["more"] = left_out
        getattr(self._logger, level)(kind, **fields)
        self._report_lost()

    def _report_lost(self) -> None:
        """Log how many lines were lost since the last report, once there is room again."""
        if count := self.writer.take_lost():
            self._logger.warning("lines were lost", count=count)

    def close(self) -> None:
        """Write what waits, and end the writer's thread."""
        self.writer.close()
