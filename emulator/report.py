"""Formats results as text."""

from __future__ import annotations

from typing import Sequence

from emulator.experiment import Row
from emulator.figures import Result


def format_result(result: Result) -> str:
    """Return the summary of one run."""
    share = result.goodput / max(result.possible, 1e-9)
    lines = [
        f"{result.scenario}, seed {result.seed}, rule {result.rule}, build {result.build}: "
        f"{result.goodput:.0f} of {result.possible:.0f} worth a second ({share:.3f})",
        f"{result.sent_for_each:.2f} attempts for each request, {result.handshakes} handshakes, "
        f"{result.refused_share:.3f} refused once at least",
    ]
    for name, part in result.classes.items():
        ends = ", ".join(f"{end.replace('_', ' ')} {count}" for end, count in part.ends.items() if count)
        lines.append(f"  {name}: asked {part.asked}: {ends}; p50 {part.p50:.3f} s, p99 {part.p99:.3f} s")
    attempts = ", ".join(f"{name} {count}" for name, count in sorted(result.attempts.items()))
    lines.append(f"  attempts: {attempts}")
    violations = {name: count for name, count in result.rules.items() if name != "cold_work" and count}
    lines.append(
        f"  rules: {violations or 'kept'}; most work to a cold member {result.rules.get('cold_work', 0.0):.2f} "
        "of what it could do"
    )
    return "\n".join(lines)


def format_rows(rows: Sequence[Row]) -> str:
    """Return a table of worth per second, also relative to the best rule at the same load and values."""
    best: dict[tuple[float, str], float] = {}
    for row in rows:
        setting = row.load, row.params
        best[setting] = max(best.get(setting, 0.0), row.goodput)
    lines = ["load   rule       seeds  worth/s  spread  of best  refused  attempts  values"]
    for row in rows:
        share = row.goodput / max(1e-9, best[row.load, row.params])
        values = row.params if row.params != "{}" else ""
        line = f"{row.load:5.2f}  {row.rule:9}  {row.seeds:5}  {row.goodput:7.0f}  {row.spread:6.0f}  {share:7.3f}"
        lines.append(f"{line}  {row.refused:7.3f}  {row.sent:8.2f}  {values}".rstrip())
    return "\n".join(lines)
