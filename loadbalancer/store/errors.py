"""What the store says when it can't do what was asked. Each tells why, and what would be right."""

from __future__ import annotations


class StoreError(Exception):
    """The store can't do what was asked."""


class NewerError(StoreError):
    """Written by a later version of this program."""


class FullError(StoreError):
    """A bound of the store, or the disk, has no room for more. What is there stays, and may be deleted."""


class ReadOnlyError(StoreError):
    """The store takes nothing any more: an fsync has failed, or what it was opened on is damaged."""


class LockedError(StoreError):
    """Another process writes to the store."""
