"""Collects the figures of a run: counts by second and class, response times, worth, and rule violations."""

from __future__ import annotations

from collections import Counter
from typing import Any

import numpy as np
from msgspec import Struct

from emulator.scenario import Scenario

#: How a client's request ends: served within its aim, served later, refused or failed at the last try, or given up by
#: the client.
ENDS = ("in_aim", "late", "refused", "failed", "given_up")


class ClassFigures(Struct):
    """Holds the figures of one request class; the field names are those of the JSON output."""

    asked: int
    ends: dict[str, int]
    p50: float
    p99: float
    worth: float  # earned
    possible: float  # worth of all requests


class Result(Struct):
    """Holds the figures of one run; the field names are those of the JSON output."""

    scenario: str
    seed: int
    build: str
    seconds: float
    classes: dict[str, ClassFigures]
    goodput: float  # worth earned per second
    possible: float  # worth requested per second
    attempts: dict[str, int]  # by result
    sent_for_each: float  # attempts per client request
    handshakes: int
    refused_share: float  # share of client requests refused at least once
    # Violations by rule; for cold_work the highest ratio of work to capacity of a cold member.
    rules: dict[str, float]
    series: dict[str, list[float]]  # by second
    rule: str = ""  # name of the shedding rule
    params: dict[str, Any] = {}


class Counts:
    """Counts requests, attempts and rule violations while a run goes on."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        seconds, classes = int(scenario.seconds) + 2, len(scenario.class_)
        self.asked = np.zeros((classes, seconds), dtype=np.int64)
        self.ends = {end: np.zeros((classes, seconds), dtype=np.int64) for end in ENDS}
        self.sent = np.zeros(seconds, dtype=np.int64)
        self.level = np.zeros(seconds)
        self.attempts: Counter[str] = Counter()
        self.handshakes = 0
        self.first_refused = 0
        self.times: list[list[float]] = [[] for _ in range(classes)]
        self.violations: Counter[str] = Counter()

    def record_request(self, cls: int, second: float) -> None:
        self.asked[cls, int(second)] += 1

    def record_end(self, cls: int, end: str, asked_at: float, duration: float) -> None:
        """Record how a request ended, under the second of its first try `asked_at`."""
        self.ends[end][cls, int(asked_at)] += 1
        if end in ("in_aim", "late") and asked_at >= self.scenario.ignore:
            self.times[cls].append(duration)

    def result(self, seed: int, build: str) -> Result:
        """Return the figures of the run, without the seconds that the scenario ignores."""
        scenario = self.scenario
        begin, end = int(scenario.ignore), int(scenario.seconds)
        span = end - begin
        parts, earned, possible = {}, np.zeros(end), np.zeros(end)
        for number, cls in enumerate(scenario.class_):
            ends = {name: int(counts[number, begin:end].sum()) for name, counts in self.ends.items()}
            asked = int(self.asked[number, begin:end].sum())
            worth = cls.worth * (ends["in_aim"] + cls.late_share * ends["late"])
            times = np.array(self.times[number] or [0.0])
            earned += cls.worth * (
                self.ends["in_aim"][number, :end] + cls.late_share * self.ends["late"][number, :end]
            )
            possible += cls.worth * self.asked[number, :end]
            p50, p99 = (float(np.percentile(times, q)) for q in (50, 99))
            parts[cls.name] = ClassFigures(asked, ends, p50, p99, worth, cls.worth * asked)
        asked_all = sum(part.asked for part in parts.values())
        return Result(
            scenario.name,
            seed,
            build,
            scenario.seconds,
            parts,
            sum(part.worth for part in parts.values()) / span,
            sum(part.possible for part in parts.values()) / span,
            dict(self.attempts),
            float(self.sent[begin:end].sum()) / max(1, asked_all),
            self.handshakes,
            self.first_refused / max(1, asked_all),
            dict(self.violations),
            {
                "earned": earned.tolist(),
                "possible": possible.tolist(),
                "sent": self.sent[:end].astype(float).tolist(),
                "level": self.level[:end].tolist(),
            },
        )
