"""Errors of the policy."""

from __future__ import annotations


class PolicyError(Exception):
    """What the policy was told can't be."""


class SettingError(PolicyError, ValueError):
    """A setting makes no sense."""

    def __init__(self, key: str, problem: str) -> None:
        """Name the setting as the platform does, and what is wrong with its value."""
        super().__init__(f"{key}: {problem}")


class UnknownAttemptError(PolicyError, LookupError):
    """An event is of an attempt that was never sent."""

    def __init__(self, request: int, attempt: int) -> None:
        """Name the request and the number of the attempt."""
        super().__init__(f"outcome of attempt {attempt} of request {request}, never sent")
