"""The errors of the replication package."""

from __future__ import annotations


class ReplicationError(ValueError):
    """Base of all errors that this package raises."""


class StateError(ReplicationError):
    """A command or snapshot can't become part of the replicated state; the message states why and names the value."""


class TransferError(ReplicationError):
    """A message of a state transfer does not match the data received so far."""
