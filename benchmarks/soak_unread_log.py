"""A log that nobody reads: the pipe that a soak's process has as its standard error is full from its start."""

from __future__ import annotations

import os
from contextlib import suppress

#: Bytes written at once to fill the pipe.
FILLING_BYTES = 4096


class UnreadLog:
    """A full pipe. It owns both ends until `close`; a process that writes to it waits as long as it is open."""

    def __init__(self) -> None:
        self._read_end: int | None
        self._read_end, self.write_end = os.pipe()
        os.set_blocking(self.write_end, False)
        with suppress(BlockingIOError):
            while True:
                os.write(self.write_end, b"x" * FILLING_BYTES)
        with suppress(BlockingIOError):
            while True:
                os.write(self.write_end, b"x")
        os.set_blocking(self.write_end, True)

    def end_reading(self) -> None:
        """Whoever waits to write fails from now on; the end that it writes to stays open."""
        if self._read_end is not None:
            os.close(self._read_end)
            self._read_end = None

    def close(self) -> None:
        """Give the pipe back. Nobody in this process may write to it any more: its number is another's soon."""
        self.end_reading()
        os.close(self.write_end)
