"""Errors of the fleet's wire format, keys and connections; those of replicated state are in `replication/errors.py`."""

from __future__ import annotations

from enum import StrEnum


class DropReason(StrEnum):
    """Reasons for which received bytes are dropped; each has a counter named `dropped: <reason>`."""

    TOO_LONG = "too long"
    NOT_OURS = "not ours"
    OTHER_FORMAT = "another form"
    OTHER_KEY = "another key"
    FORGED = "forged"
    MALFORMED = "not whole"
    UNKNOWN_KIND = "a kind that this build does not know"
    REPLAYED = "replayed"


class FleetError(Exception):
    """Base class of the errors in this module."""


class MessageError(FleetError, ValueError):
    """Raised for bytes that no instance of this fleet has sent, or that this build can't decode.

    Attributes:
        kind: The reason.
    """

    def __init__(self, kind: DropReason) -> None:
        super().__init__(kind)
        self.kind = kind


class KeyFileError(FleetError, ValueError):
    """Raised for a key file, or a list of keys, that can't be used; the text states the defect."""


class ExchangeError(FleetError, ConnectionError):
    """Raised when a peer sends something other than the expected packet over a connection."""
