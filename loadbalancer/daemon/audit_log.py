"""The audit log: a line of JSON for each change that an operator has requested, with its outcome."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path

from loadbalancer.admin.calls import Change
from loadbalancer.resource_limits import RateLimitedLogger


class AuditLog:
    """Appends lines to the audit file, or to the daemon's log if no file is configured."""

    def __init__(self, path: Path | None, logger: RateLimitedLogger) -> None:
        self._path = path
        self._logger = logger

    def record(self, change: Change, outcome: str) -> None:
        """Write one line; JSON encoding keeps it one line whatever the operator has sent."""
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
        """Append a line. The file is opened for each line, so that it can be rotated by renaming it."""
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.write(descriptor, f"{line}\n".encode())
        finally:
            os.close(descriptor)
