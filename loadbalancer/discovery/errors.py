"""Errors in endpoint lists and overrides."""

from __future__ import annotations


class DiscoveryError(ValueError):
    """Raised when a list or an override cannot be read; names the field and the value found."""


class ListError(DiscoveryError):
    """Raised for a value that is not a list of endpoints."""


class EntryError(DiscoveryError):
    """Raised for an entry of a list with a missing field or an invalid value."""


class OverridesError(DiscoveryError):
    """Raised for a file of overrides that is truncated, corrupt, of another kind or of an unsupported version."""
