"""Stand-in members that deduplicate requests by key for a time window, and record which effects took place."""

from __future__ import annotations

import json
import time
from typing import Callable

from standins.member import Fleet, Member


class Effects:
    """Records the effects of all members together.

    `window` is the time in seconds within which a repeat of a key has no effect.
    """

    def __init__(self, window: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.window, self.clock = window, clock
        self.by_key: dict[str, list[float]] = {}
        self.answers: dict[str, bytes] = {}

    def apply(self, key: str) -> bytes:
        """Return the answer to a request; a repeat within the window has no effect and gets the same answer."""
        times = self.by_key.setdefault(key, [])
        now = self.clock()
        if not times or now - times[-1] > self.window:
            times.append(now)
            self.answers[key] = json.dumps({"booked": key, "number": len(times)}).encode()
        return self.answers[key]

    def find_duplicates(self) -> list[str]:
        """Return the keys that took effect more than once."""
        return [key for key, times in self.by_key.items() if len(times) > 1]


class KeyedMember(Member):
    """A member that records its effects together with the other members of its fleet."""

    def __init__(self, name: str, effects: Effects) -> None:
        super().__init__(name)
        self.effects, self.key = effects, ""

    def record_request(self, key: bytes) -> None:
        self.key = key.decode("latin-1")
        super().record_request(key)

    def describe(self, method: bytes, url: bytes) -> bytes:
        return self.effects.apply(self.key) if self.key else super().describe(method, url)


class KeyedFleet(Fleet):
    def __init__(self, count: int, effects: Effects) -> None:
        super().__init__(0)
        self.members = [KeyedMember(f"m{number + 1}", effects) for number in range(count)]
