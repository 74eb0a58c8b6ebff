"""The errors of the fleet's wire format, keys and connections; those of replicated state: `replication/errors.py`."""

from __future__ import annotations

from enum import StrEnum


class DropReason(StrEnum):
    """Why bytes are dropped; the counter of each is named `dropped: <reason>`."""

    TOO_LONG = "too long"
    NOT_OURS = "not ours"
    OTHER_FORMAT = "another form"
    OTHER_KEY = "another key"
    FORGED = "forged"
    MALFORMED = "not whole"
    UNKNOWN_KIND = "a kind that this build does not know"
    REPLAYED = "replayed"


class FleetError(Exception):
    """Base of the errors in this file."""


class MessageError(FleetError, ValueError):
    """Bytes that no instance of this fleet has sent, or that this build can't read.

    Attributes:
        kind: Why.
    """

    def __init__(self, kind: DropReason) -> None:
        super().__init__(kind)
        self.kind = kind


class KeyFileError(FleetError, ValueError):
    """A key file, or a list of keys, that can't be used; the text says what is wrong with it."""


class ExchangeError(FleetError, ConnectionError):
    """A peer has sent something else over a connection than what is expected next."""
