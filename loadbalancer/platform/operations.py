"""The platform's form of what operators read, and its words for the calls."""

from __future__ import annotations

import time
from typing import Any, Callable, Mapping

import orjson

from loadbalancer.discovery.platform_overrides import PlatformOverrides
from loadbalancer.management import platform_names as names
from loadbalancer.management.calls import CallPaths
from loadbalancer.metrics import RequestResult
from loadbalancer.proxy.proxy import Proxy

PATHS = CallPaths(names.HEALTH, names.STATS, names.CORDON, names.UNCORDON)
#: A read within this long of the one before gets the same figures: they may be half a second old, and counting them
#: takes a pass over the fleet.
FRESH_S = 0.1


def figures(proxy: Proxy, classes: Mapping[str, int]) -> dict[str, Any]:
    """All counts, in the platform's form."""
    ended = proxy.figures.ended
    handled = {
        name: {
            "passed": ended[number][RequestResult.PASSED],
            "dropped": ended[number][RequestResult.DROPPED],
            "bad_gateway": ended[number][RequestResult.FAILED],
        }
        for name, number in classes.items()
    }
    return {
        "handled": handled,
        "upstream_tries": sum(proxy.tries()),
        "in_progress": proxy.figures.open,
        "known_backends": len(proxy.listed),
        "skipped_backends": proxy.skipped(),
    }


class PlatformOperations:
    """What the platform's operators can do to one proxy."""

    def __init__(
        self, proxy: Proxy, classes: Mapping[str, int], marks: PlatformOverrides, serves: Callable[[], bool]
    ) -> None:
        self.proxy, self.classes, self.marks, self._serves = proxy, classes, marks, serves
        self._read_at = -FRESH_S
        self._read = b""

    def serves(self) -> bool:
        return self._serves()

    def stats(self) -> bytes:
        now = time.monotonic()
        if now - self._read_at >= FRESH_S:
            self._read_at, self._read = now, orjson.dumps(figures(self.proxy, self.classes))
        return self._read

    def mark(self, member: str, out: bool, done: Callable[[str | None], None]) -> None:
        self.marks.mark(member, out, done)
