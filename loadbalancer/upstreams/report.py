"""Load reports that members send with their answers."""

from __future__ import annotations

import math
from typing import Sequence

import orjson

#: Fields of a load report by their names on sockets, in the settings' words.
REPORT_WORDS = {
    "util": "utilization",
    "latency_ms": "recent_ms",
    "qps": "throughput",
    "inflight": "outstanding",
    "queue": "backlog",
    "eps": "errors_per_s",
}


def read_report(value: bytes, fields: Sequence[str]) -> dict[str, float] | None:
    """The load report in the module's words; ValueError where it is none."""
    box = orjson.loads(value)
    if not isinstance(box, dict):
        raise ValueError("not an object")
    report: dict[str, float] = {}
    for name, figure in box.items():
        word = REPORT_WORDS.get(str(name), str(name))
        if word in fields and type(figure) in (int, float) and math.isfinite(figure):
            report[word] = float(figure)
    return report or None
