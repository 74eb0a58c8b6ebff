"""The daemon's structured log: JSON or console lines, with bound fields and a level that can change at run time.

Each event is limited to one line in LOG_INTERVAL_S, as in the platform's log. Text from peers is logged as the value of
a field, so that it can't add lines or fields.
"""

from __future__ import annotations

import sys
from typing import Any, TextIO

import structlog

from loadbalancer.daemon.log_writer import LogWriter
from loadbalancer.resource_limits import RateLimitedLogger

#: Longest text of a line; longer ones are truncated.
MAX_TEXT_CHARACTERS = 500
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
# Prefixes of the events that are logged above the level `info`.
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
    """Return the level at which an event is logged."""
    if event.startswith(ERRORS):
        return "error"
    return "warning" if event.startswith(WARNINGS) else "info"


class StructuredLogger(RateLimitedLogger):
    """A log with levels.

    Loggers returned by `bind` add fields and share the writer and the level; `close` closes the writer for all of them.

    Attributes:
        writer: Writes the lines.
    """

    def __init__(self, form: str = "console", level: str = "info", out: TextIO = sys.stderr) -> None:
        """Open the log.

        Args:
            form: Output format, `json` or `console`.
            level: Lowest of LEVELS that is logged.
            out: Stream to which lines are written.
        """
        super().__init__()
        self.writer = LogWriter(out)
        self._level = [LEVELS[level]]  # a list, so that bound loggers share it
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
        """Set the lowest level that is logged; raises KeyError if it is none of LEVELS."""
        self._level[0] = LEVELS[level]

    def bind(self, **fields: Any) -> StructuredLogger:
        """Return a logger to the same log that adds these fields to each line and has a rate limit of its own."""
        bound = object.__new__(StructuredLogger)  # without __init__, which would start a second writer thread
        bound.__dict__ = dict(self.__dict__)
        bound._fields = {**self._fields, **fields}
        bound._limits = {}
        return bound

    def __call__(self, kind: str, text: object = "") -> None:
        """Log an event with a text, unless its level is too low or its rate limit is reached."""
        level = level_of(kind)
        if LEVELS[level] < self._level[0]:
            return
        suppressed = self._left_out(kind)
        if suppressed is None:
            return
        fields = dict(self._fields)
        if text != "":
            fields["text"] = str(text)[:MAX_TEXT_CHARACTERS].encode("unicode_escape").decode()
        if suppressed:
            fields["more"] = suppressed
        getattr(self._logger, level)(kind, **fields)
        self._report_lost()

    def _report_lost(self) -> None:
        """Log how many lines were dropped since the last report because the writer's queue was full."""
        if count := self.writer.take_lost():
            self._logger.warning("lines were lost", count=count)

    def close(self) -> None:
        """Write the queued lines, and stop the writer's thread."""
        self.writer.close()
