"""The audit log: a line of JSON for each change that an operator has asked for, and how it ended."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path

from loadbalancer.admin.calls import Change
from loadbalancer.resource_limits import RateLimitedLogger


class AuditLog:
    """Appends lines to a file of its own, or to the daemon's log where none is configured."""

    def __init__(self, path: Path | None, logger: RateLimitedLogger) -> None:
        self._path = path
        self._logger = logger

    def note(self, change: Change, outcome: str) -> None:
        """Write one line. As JSON it stays one line whatever the operator has sent."""
        request = change.request
        fields = {
            "at": round(time.time(), 3),
            "by": request.by,
            "verb": change.verb,
            "pool": request.pool,
            "members": list(change.endpoints),
            "weight": request.weight,
            "address": request.address,
            "other": request.other,
            "share": request.share,
            "until": change.until,
            "reason": request.reason,
            "ended": outcome,
        }
        line = json.dumps({key: value for key, value in fields.items() if value not in (None, [], 0.0, "")})
        if self._path is None:
            self._logger(f"operator: {change.verb}", line)
            return
        try:
            self._append(self._path, line)
        except OSError as problem:
            self._logger("the audit can't be written", f"{problem}; {line}")

    @staticmethod
    def _append(path: Path, line: str) -> None:
        """Open the file for each line, so that it can be rotated by renaming it."""
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.write(descriptor, f"{line}\n".encode())
        finally:
            os.close(descriptor)
