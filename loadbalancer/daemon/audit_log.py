"""What operators have changed, a line for each: who, when, what, why, and how it ended."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path

from loadbalancer.admin.calls import Change
from loadbalancer.resource_limits import RateLimitedLogger


class AuditLog:
    """A line of JSON for each change: who, when, what, why, and how it ended. Appended to one file, or to the log."""

    def __init__(self, path: Path | None, logger: RateLimitedLogger) -> None:
        self.path, self.logger = path, logger

    def note(self, change: Change, ended: str) -> None:
        """Guards the log against what operators write: it is JSON, one line, whatever they send."""
        order = change.order
        box = {
            "at": round(time.time(), 3),
            "by": order.by,
            "verb": change.verb,
            "pool": order.pool,
            "members": list(change.members),
            "weight": order.weight,
            "address": order.address,
            "other": order.other,
            "share": order.share,
            "until": change.until,
            "reason": order.reason,
            "ended": ended,
        }
        line = (
            json.dumps({key: value for key, value in box.items() if value not in (None, [], 0.0, "")}) + "\n"
        )
        if self.path is None:
            self.logger(f"operator: {change.verb}", line.rstrip())
            return
        try:
            fd = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                os.write(fd, line.encode())
            finally:
                os.close(fd)
        except OSError as problem:
            self.logger("the audit can't be written", f"{problem}; {line.rstrip()}")
