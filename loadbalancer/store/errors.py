"""Errors of the store. Each message says what failed, where, and what was found or expected."""

from __future__ import annotations


class StoreError(Exception):
    """An operation of the store failed; the base class of the store's errors."""


class NewerError(StoreError):
    """The store was written by a later version of the program."""


class FullError(StoreError):
    """A size limit of the store is reached, or the disk is full. Stored values are kept, and can be deleted."""


class ReadOnlyError(StoreError):
    """The store rejects all changes, since an fsync has failed or acknowledged data is damaged."""


class LockedError(StoreError):
    """Another process has the store open."""
