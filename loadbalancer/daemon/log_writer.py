"""The writer of lines, as structlog calls it."""

from __future__ import annotations

from loadbalancer.line_writer import MAX_QUEUED_LINES, LineWriter

__all__ = ["MAX_QUEUED_LINES", "LogWriter"]


class LogWriter(LineWriter):
    """Queues the lines that structlog renders; it calls a method by the name of the line's level."""

    def msg(self, line: str) -> None:
        """Queue a line, or count it as lost."""
        self.write_line(line)

    debug = info = warning = error = msg
