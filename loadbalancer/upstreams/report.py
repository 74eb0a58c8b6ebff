"""Load reports that members send with their answers."""

from __future__ import annotations

import math
from typing import Sequence

import orjson

#: Maps short field names in load reports on the wire to the names used in settings.
REPORT_FIELD_NAMES = {
    "util": "utilization",
    "latency_ms": "recent_ms",
    "qps": "throughput",
    "inflight": "outstanding",
    "queue": "backlog",
    "eps": "errors_per_s",
}


def read_report(value: bytes, fields: Sequence[str]) -> dict[str, float] | None:
    """Parse a load report, and return its `fields` by their names in the settings, or None if it has none of them.

    Raises ValueError if `value` is not a JSON object.
    """
    parsed = orjson.loads(value)
    if not isinstance(parsed, dict):
        raise ValueError(f"a load report must be a JSON object, not {type(parsed).__name__}")  # noqa: TRY004
    report: dict[str, float] = {}
    for name, number in parsed.items():
        field = REPORT_FIELD_NAMES.get(str(name), str(name))
        if field in fields and type(number) in (int, float) and math.isfinite(number):
            report[field] = float(number)
    return report or None
