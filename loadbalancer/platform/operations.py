"""What the platform's operators read and change of one proxy, in the platform's form."""

from __future__ import annotations

import time
from typing import Callable, Mapping, TypedDict

import orjson

from loadbalancer.discovery.platform_overrides import PlatformOverrides
from loadbalancer.management import platform_names as names
from loadbalancer.management.calls import CallPaths
from loadbalancer.metrics import RequestResult
from loadbalancer.proxy.proxy import Proxy

PATHS = CallPaths(names.HEALTH, names.STATS, names.CORDON, names.UNCORDON)
#: For so long a read gets the counts of the one before: they may be half a second old, and counting takes a pass over
#: the endpoints.
MAX_COUNTS_AGE_S = 0.1


class HandledRequests(TypedDict):
    """Requests of one class by their end."""

    passed: int
    dropped: int
    bad_gateway: int


class Counts(TypedDict):
    """The answer to a read; the keys are the platform's."""

    handled: dict[str, HandledRequests]
    upstream_tries: int
    in_progress: int
    known_backends: int
    skipped_backends: int


def counts_of(proxy: Proxy, classes: Mapping[str, int]) -> Counts:
    """All counts of a proxy, with its request classes by name and number."""
    ended = proxy.metrics.ended
    handled: dict[str, HandledRequests] = {
        name: {
            "passed": ended[number][RequestResult.PASSED],
            "dropped": ended[number][RequestResult.DROPPED],
            "bad_gateway": ended[number][RequestResult.FAILED],
        }
        for name, number in classes.items()
    }
    return {
        "handled": handled,
        "upstream_tries": sum(proxy.attempt_counts()),
        "in_progress": proxy.metrics.open,
        "known_backends": len(proxy.listed),
        "skipped_backends": proxy.avoided_count(),
    }


class PlatformOperations:
    """One proxy as `management.calls.ManagedProcess` describes it."""

    def __init__(
        self,
        proxy: Proxy,
        classes: Mapping[str, int],
        overrides: PlatformOverrides,
        serves: Callable[[], bool],
    ) -> None:
        """Make the operations of a proxy.

        Args:
            proxy: The proxy.
            classes: Numbers of request classes by name.
            overrides: Which endpoints operators have taken out of use.
            serves: Whether the process can serve.
        """
        self._proxy = proxy
        self._classes = classes
        self._overrides = overrides
        self._serves = serves
        self._read_at = -MAX_COUNTS_AGE_S
        self._answer = b""

    def serves(self) -> bool:
        """Whether the process can serve."""
        return self._serves()

    def stats(self) -> bytes:
        """The counts as JSON."""
        now = time.monotonic()
        if now - self._read_at >= MAX_COUNTS_AGE_S:
            self._read_at = now
            self._answer = orjson.dumps(counts_of(self._proxy, self._classes))
        return self._answer

    def mark(self, member: str, out: bool, done: Callable[[str | None], None]) -> None:
        """Take an endpoint out of use, or use it again; `done` gets None, or why that can't be done."""
        self._overrides.mark(member, out, done)
