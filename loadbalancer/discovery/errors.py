"""Errors of endpoint lists and overrides."""

from __future__ import annotations


class DiscoveryError(ValueError):
    """A list or an override cannot be read; names the field and the value seen."""


class ListError(DiscoveryError):
    """What came is no list of endpoints."""


class EntryError(DiscoveryError):
    """An entry of a list lacks a field, or has a value that it may not have."""


class OverridesError(DiscoveryError):
    """The file of overrides is cut, damaged, foreign or of a later form."""
