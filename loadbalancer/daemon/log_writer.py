"""Adapts the line writer to the interface that structlog expects of a logger."""

from __future__ import annotations

from loadbalancer.line_writer import MAX_QUEUED_LINES, LineWriter

__all__ = ["MAX_QUEUED_LINES", "LogWriter"]


class LogWriter(LineWriter):
    """Queues the lines that structlog renders; structlog calls the method with the name of the line's level."""

    def msg(self, line: str) -> None:
        """Queue a line, or count it as lost if the queue is full."""
        self.write_line(line)

    debug = info = warning = error = msg
