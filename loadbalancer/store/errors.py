"""Errors of the store. Each message says what could not be done, where, and what was found or is wanted."""

from __future__ import annotations


class StoreError(Exception):
    """The store cannot do what was asked."""


class NewerError(StoreError):
    """The store was written by a later version of the program."""


class FullError(StoreError):
    """A bound of the store, or the disk, has no room for more. What is stored stays, and may be deleted."""


class ReadOnlyError(StoreError):
    """The store takes no changes any more: an fsync has failed, or acknowledged data is damaged."""


class LockedError(StoreError):
    """Another process has the store open."""
