"""Spare descriptors: held open so that there is one to use when the system has no other to give."""

from __future__ import annotations

import os
from contextlib import suppress
from typing import Callable

#: As many as the process can need at one moment: one for a refusal, some for members of requests in flight, the rest
#: for discovery and a reload.
SPARES = 8


class ReserveDescriptors:
    """Owns them; `take` closes one, so that the next thing opened finds its number free."""

    def __init__(self, most: int = SPARES, opening: Callable[[], int] | None = None) -> None:
        """`opening` makes one more descriptor, or raises OSError."""
        self.most = most
        self._opening = opening or _open
        self._held: list[int] = []
        self.refill()

    def __len__(self) -> int:
        return len(self._held)

    def take(self) -> bool:
        """Make room for one descriptor; False where no spare is left."""
        if not self._held:
            return False
        os.close(self._held.pop())
        return True

    def refill(self) -> None:
        """Hold as many as there should be, as far as the system gives them."""
        with suppress(OSError):
            while len(self._held) < self.most:
                self._held.append(self._opening())

    def close(self) -> None:
        while self.take():
            pass


def _open() -> int:
    return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
