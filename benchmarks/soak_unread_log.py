"""A log that nobody reads: a pipe, full from the start, as the standard error of a soak's process."""

from __future__ import annotations

import os
from contextlib import suppress

#: Bytes for each write while filling the pipe.
FILLING_BYTES = 4096


class UnreadLog:
    """A full pipe. It owns both ends until `close`; a process that writes to it blocks while the read end is open."""

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
        """Close the read end, so that writers fail from now on; the write end stays open."""
        if self._read_end is not None:
            os.close(self._read_end)
            self._read_end = None

    def close(self) -> None:
        """Close the pipe. This process may not write to it any more: its descriptor may be reused for another file."""
        self.end_reading()
        os.close(self.write_end)
