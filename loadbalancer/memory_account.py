"""Counts the bytes that peers make the process hold: heads, bodies, answers, and what clients have not read. No I/O.

`MemoryAccount` is that of the process. A `BufferBudget` is the part of one pool; what is charged to it counts in the
account too. Bytes are charged by what they cost as objects. What is not charged, such as the objects of connections, is
in the base of `resource_limits`.
"""

from __future__ import annotations

from typing import Callable

RESPONSE_BUFFER_SHARE = 0.2
"""Share of the buffered bytes that uploads may not use, so that there is always room for answers."""
TIGHT_SHARE = 0.6
"""Share of the account from which answers are passed on at once rather than buffered first."""
OVERDRAWN_SHARE = 1.1
"""Share from which input is refused at once, without waiting for what can be reclaimed."""


class MemoryAccount:
    """The bytes that are held for all peers of the process.

    Attributes:
        held_bytes: The bytes that are charged now.
        peak_bytes: The most that were charged at any time.
        on_full: Called with each charge that leaves more than the maximum charged.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start empty; `max_bytes`: the maximum of charged bytes."""
        self.held_bytes = 0
        self.peak_bytes = 0
        self.on_full: Callable[[], None] | None = None
        self.resize(max_bytes)

    def resize(self, max_bytes: int) -> None:
        """Set another maximum, in bytes."""
        self.max_bytes = max_bytes
        self._tight_bytes = int(max_bytes * TIGHT_SHARE)
        self._overdrawn_bytes = int(max_bytes * OVERDRAWN_SHARE)

    def charge(self, count: int) -> None:
        """Charge bytes that are held already."""
        self.held_bytes += count
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes
        if self.held_bytes > self.max_bytes and self.on_full is not None:
            self.on_full()

    def release(self, count: int) -> None:
        """Release bytes."""
        self.held_bytes -= count

    @property
    def is_tight(self) -> bool:
        """Whether memory should be saved where that costs little."""
        return self.held_bytes > self._tight_bytes

    @property
    def is_full(self) -> bool:
        """Whether more than the maximum is charged."""
        return self.held_bytes > self.max_bytes

    @property
    def is_overdrawn(self) -> bool:
        """Whether so much is charged that new input has to be refused at once."""
        return self.held_bytes > self._overdrawn_bytes


class BufferBudget:
    """Counts the bytes that are buffered for all requests and answers of a pool."""

    def __init__(self, most: int, account: MemoryAccount | None = None) -> None:
        """Start empty.

        Args:
            most: Maximum of buffered bytes.
            account: The account of the process; by default one of the same size for this pool alone.
        """
        self.account = account if account is not None else MemoryAccount(most)
        self.held_bytes = 0
        self.resize(most)

    def resize(self, most: int) -> None:
        """Set another maximum, in bytes."""
        self.max_bytes = most
        self.max_upload_bytes = int(most * (1 - RESPONSE_BUFFER_SHARE))

    def try_acquire_upload(self, count: int) -> bool:
        """Acquire bytes for an upload, or for data that can be dropped in the same way.

        Returns:
            Whether there was room; otherwise nothing is acquired.
        """
        if self.held_bytes + count > self.max_upload_bytes or self.account.is_full:
            return False
        self.charge(count)
        return True

    def charge(self, count: int) -> None:
        """Charge bytes that are held already."""
        self.held_bytes += count
        self.account.charge(count)

    def release(self, count: int) -> None:
        """Release bytes."""
        self.held_bytes -= count
        self.account.release(count)
