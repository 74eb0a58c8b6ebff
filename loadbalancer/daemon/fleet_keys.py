"""The key file of a fleet, whose keys encrypt its messages and which may change while the daemon runs."""

from __future__ import annotations

import time
from pathlib import Path

from loadbalancer.fleet.keys import read_keys
from loadbalancer.fleet.wire import Sealer
from loadbalancer.tls.files import read, stamps
from loadbalancer.tls.pairs import PairError

#: Seconds between two checks of the file for changes.
POLL_INTERVAL_S = 1.0


class KeyFile:
    """Reads the key file and detects its changes. The file is open only while it is read."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._stamp = stamps([path])
        self._polled_at = time.monotonic()

    def read(self) -> Sealer:
        """Read the file and return a sealer with its keys.

        Raises:
            ValueError: The file can't be used; the message gives the reason.
        """
        try:
            return Sealer(read_keys(read(self._path, private=True).decode("ascii")))
        except PairError as problem:
            raise ValueError(str(problem.problems[0])) from None
        except UnicodeDecodeError:
            raise ValueError(f"{self._path}: keys are hexadecimal digits") from None

    def has_changed(self) -> bool:
        """Return whether the file has changed since the last check; it is checked at most once per POLL_INTERVAL_S."""
        now = time.monotonic()
        if now - self._polled_at < POLL_INTERVAL_S:
            return False
        self._polled_at = now
        stamp = stamps([self._path])
        changed = stamp != self._stamp
        self._stamp = stamp
        return changed
