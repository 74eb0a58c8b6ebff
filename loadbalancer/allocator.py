"""Settings of the C library's allocator for a process that holds many buffers of changing size."""

from __future__ import annotations

import ctypes
from contextlib import suppress

#: Numbers of the parameters in <malloc.h>.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
#: Blocks of this many bytes or more are mapped singly, and free bytes at the end of the heap are returned from here on.
THRESHOLD_BYTES = 128 << 10


def return_freed_blocks() -> None:
    """Let the allocator return large blocks to the system when they are freed.

    By default glibc raises its threshold with each large block that is freed. Growing bodies then leave gaps in the
    heap that take several times the memory of the bodies. Without glibc this does nothing.
    """
    with suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, THRESHOLD_BYTES)
        library.mallopt(M_TRIM_THRESHOLD, THRESHOLD_BYTES)
