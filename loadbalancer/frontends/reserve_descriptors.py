"""Reserves file descriptors, so that a few can still be opened when the process is out of them."""

from __future__ import annotations

import os
from contextlib import suppress
from typing import Callable

#: Enough for the needs of one moment: one for refusing a connection, some for connections to members for requests in
#: flight, the rest for discovery and a reload.
SPARES = 8


class ReserveDescriptors:
    """Holds reserve descriptors open; `take` closes one, so that the next open succeeds."""

    def __init__(self, most: int = SPARES, opening: Callable[[], int] | None = None) -> None:
        """Open the reserve.

        Args:
            most: Number of descriptors to hold.
            opening: Opens one more descriptor or raises OSError; by default it opens the null device.
        """
        self.most = most
        self._opening = opening or _open
        self._held: list[int] = []
        self.refill()

    def __len__(self) -> int:
        return len(self._held)

    def take(self) -> bool:
        """Close one reserve descriptor; return False if none is left."""
        if not self._held:
            return False
        os.close(self._held.pop())
        return True

    def refill(self) -> None:
        """Reopen descriptors up to the full reserve, as far as the system permits."""
        with suppress(OSError):
            while len(self._held) < self.most:
                self._held.append(self._opening())

    def close(self) -> None:
        """Close the descriptors that are held in reserve."""
        while self.take():
            pass


def _open() -> int:
    return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
