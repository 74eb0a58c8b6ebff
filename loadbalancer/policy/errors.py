"""Errors of the policy."""

from __future__ import annotations


class PolicyError(Exception):
    """Base class of the errors that the policy raises for invalid input."""


class SettingError(PolicyError, ValueError):
    """A setting has an invalid value."""

    def __init__(self, key: str, problem: str) -> None:
        """Build the message from the platform's name of the setting and the problem with its value."""
        super().__init__(f"{key}: {problem}")


class UnknownAttemptError(PolicyError, LookupError):
    """An event names an attempt that was never sent."""

    def __init__(self, request: int, attempt: int) -> None:
        """Build the message from the numbers of the request and of the attempt."""
        super().__init__(f"outcome of attempt {attempt} of request {request}, never sent")
