"""Adds up, by second, the counters that `benchmarks.counted` wrote into the logs of a run.

python -m benchmarks.fleetcount LOGS [--every SECONDS]
"""

from __future__ import annotations

import argparse
from collections import Counter
from pathlib import Path

import orjson

#: Prefix of the lines.
LINE_PREFIX = "counted "


def read(folder: Path) -> dict[int, Counter[str]]:
    """Return the counts of all proxies together, by seconds since the first line."""
    seconds: dict[int, Counter[str]] = {}
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if LINE_PREFIX not in line:
                continue
            line_data = orjson.loads(line[line.index(LINE_PREFIX) + len(LINE_PREFIX) :])
            count = seconds.setdefault(line_data["second"], Counter())
            count.update(line_data["count"])
            count["proxies"] += 1
    first = min(seconds, default=0)
    return {second - first: seconds[second] for second in sorted(seconds)}


def group_by_span(seconds: dict[int, Counter[str]], span_s: int) -> list[tuple[int, Counter[str]]]:
    spans: dict[int, Counter[str]] = {}
    for second, count in seconds.items():
        spans.setdefault(second // span_s * span_s, Counter()).update(count)
    return sorted(spans.items())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", type=Path)
    parser.add_argument(
        "--every",
        type=int,
        default=5,
        help="length of a span in seconds, a multiple of the interval between lines",
    )
    options = parser.parse_args()
    spans = group_by_span(read(options.logs), options.every)
    names = sorted({name for _, count in spans for name in count})
    print("second".ljust(24), *(f"{second:6}" for second, _ in spans))
    for name in names:
        row = []
        for _, count in spans:
            value: float = count[name]
            if name in ("level%", "ready") or name.startswith("ready "):
                value /= count["proxies"] or 1
            elif name == "util%":
                value /= count["reports"] or 1
            elif name.startswith("took "):
                value /= 1000 * (count[name.replace("took ", "took2 ")] or 1)
            row.append(f"{value:6.0f}")
        if not name.startswith("took2"):
            print(name.ljust(24), *row)


if __name__ == "__main__":
    main()
