"""The statistics that the platform's operators read and the changes that they make, in the platform's format."""

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
#: Seconds for which the counts of a read are cached: they may be half a second old, and counting iterates over all
#: endpoints.
MAX_COUNTS_AGE_S = 0.1


class HandledRequests(TypedDict):
    """Holds the numbers of requests of one class by their result."""

    passed: int
    dropped: int
    bad_gateway: int


class Counts(TypedDict):
    """Holds the answer to a read; the platform defines the keys."""

    handled: dict[str, HandledRequests]
    upstream_tries: int
    in_progress: int
    known_backends: int
    skipped_backends: int
    memory_held_bytes: int
    memory_peak_bytes: int
    memory_max_bytes: int
    refused_for_ids: int


def counts_of(proxy: Proxy, classes: Mapping[str, int]) -> Counts:
    """Return all counts of a proxy; `classes` maps the names of its request classes to their numbers."""
    ended, account = proxy.metrics.ended, proxy.budget.account
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
        "memory_held_bytes": account.held_bytes,
        "memory_peak_bytes": account.peak_bytes,
        "memory_max_bytes": account.max_bytes,
        "refused_for_ids": proxy.ids.refused,
    }


class PlatformOperations:
    """Implements `management.calls.ManagedProcess` for one proxy."""

    def __init__(
        self,
        proxy: Proxy,
        classes: Mapping[str, int],
        overrides: PlatformOverrides,
        serves: Callable[[], bool],
    ) -> None:
        """Create the operations of a proxy.

        Args:
            proxy: The proxy.
            classes: Numbers of request classes by name.
            overrides: The endpoints that operators have cordoned.
            serves: Returns whether the process can serve.
        """
        self._proxy = proxy
        self._classes = classes
        self._overrides = overrides
        self._serves = serves
        self._read_at = -MAX_COUNTS_AGE_S
        self._answer = b""

    def serves(self) -> bool:
        """Return whether the process can serve."""
        return self._serves()

    def stats(self) -> bytes:
        """Return the counts as JSON, cached for MAX_COUNTS_AGE_S."""
        now = time.monotonic()
        if now - self._read_at >= MAX_COUNTS_AGE_S:
            self._read_at = now
            self._answer = orjson.dumps(counts_of(self._proxy, self._classes))
        return self._answer

    def set_cordoned(self, member: str, cordoned: bool, done: Callable[[str | None], None]) -> None:
        """Cordon an endpoint, or use it again; `done` is called with None, or with the reason why that failed."""
        self._overrides.set_cordoned(member, cordoned, done)
