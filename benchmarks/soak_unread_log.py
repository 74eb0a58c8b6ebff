"""A log that nobody reads: the pipe that a soak's process has as its standard error is full from its start."""

from __future__ import annotations

import os
from contextlib import suppress

#: Bytes written at once to fill the pipe.
FILLING_BYTES = 4096


class UnreadLog:
    """A full pipe. It owns both ends until `close`; a process that writes to it waits as long as it is open."""

    def __init__(self) -> None:
        self._read_end, self.write_end = os.pipe()
        os.set_blocking(self.write_end, False)
        with suppress(BlockingIOError):
            while True:
                os.write(self.write_end, b"x" * FILLING_BYTES)
        with suppress(BlockingIOError):
            while True:
                os.write(self.write_end, b"x")
        os.set_blocking(self.write_end, True)

    def close(self) -> None:
        """Give the pipe back; whoever writes to it fails from then on."""
        os.close(self._read_end)
        os.close(self.write_end)
