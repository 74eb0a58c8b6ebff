"""Draws charts of results as PNG files and as one HTML file that contains all of them."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path
from typing import Any, Sequence

import matplotlib

matplotlib.use("Agg")  # renders to files, since there may be no display

from matplotlib.figure import Figure  # noqa: E402

from emulator.experiment import Row  # noqa: E402
from emulator.figures import Result  # noqa: E402

SIZE = (9.0, 5.0)


def figure() -> tuple[Figure, Any]:
    chart = Figure(figsize=SIZE, layout="constrained")
    return chart, chart.add_subplot()


def over_load(rows: Sequence[Row], title: str) -> Figure:
    """Draw goodput over load in multiples of capacity, one line per rule, with the spread over seeds."""
    chart, axes = figure()
    best = max((row.goodput for row in rows), default=1.0)
    for rule in sorted({row.rule for row in rows}):
        rule_rows = sorted((row for row in rows if row.rule == rule), key=lambda row: row.load)
        axes.errorbar(
            [r.load for r in rule_rows],
            [r.goodput / best for r in rule_rows],
            [r.spread / best for r in rule_rows],
            label=rule,
            marker="o",
            capsize=3,
        )
    axes.set_xscale("log")
    axes.set(
        xlabel="load, multiples of capacity",
        ylabel="worth per second, relative to the best",
        title=title,
        ylim=(0, 1.05),
    )
    axes.legend()
    axes.grid(alpha=0.3)
    return chart


def over_time(result: Result) -> Figure:
    """Draw the worth earned and requested in each second, and the shed level."""
    chart, axes = figure()
    seconds = range(len(result.series["earned"]))
    axes.plot(seconds, result.series["possible"], label="worth requested", color="grey")
    axes.plot(seconds, result.series["earned"], label="worth earned")
    level_axes = axes.twinx()
    level_axes.plot(seconds, result.series["level"], label="shed level", color="tab:red", alpha=0.5)
    axes.set(
        xlabel="second",
        ylabel="worth per second",
        ylim=(0, None),
        title=f"{result.scenario}, seed {result.seed}, rule {result.rule}, build {result.build}",
    )
    level_axes.set(ylabel="shed level", ylim=(0, None))
    axes.legend(loc="upper left")
    axes.grid(alpha=0.3)
    return chart


def png(chart: Figure) -> bytes:
    out = io.BytesIO()
    chart.savefig(out, format="png", dpi=110)
    return out.getvalue()


def page(title: str, figures: Sequence[Figure], tables: Sequence[str]) -> str:
    """Return an HTML page that embeds all charts and tables."""
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><h1>{html.escape(title)}</h1>"
    ]
    for chart in figures:
        data = base64.b64encode(png(chart)).decode()
        parts.append(f'<p><img alt="chart" src="data:image/png;base64,{data}">')
    parts += [f"<pre>{html.escape(text)}</pre>" for text in tables]
    return "\n".join(parts)


def write(out: Path, title: str, figures: Sequence[Figure], tables: Sequence[str]) -> list[Path]:
    """Write the HTML file `out` and a PNG file per chart beside it; return the paths."""
    written = []
    for number, chart in enumerate(figures, 1):
        path = out.with_name(f"{out.stem}-{number}.png")
        path.write_bytes(png(chart))
        written.append(path)
    out.write_text(page(title, figures, tables), encoding="utf-8")
    return [*written, out]
