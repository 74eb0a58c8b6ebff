"""Drawings of results: PNG, and one HTML file that holds all of them."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path
from typing import Any, Sequence

import matplotlib

matplotlib.use("Agg")  # files alone: there may be no screen

from matplotlib.figure import Figure  # noqa: E402

from emulator.experiment import Row  # noqa: E402
from emulator.figures import Result  # noqa: E402

SIZE = (9.0, 5.0)


def figure() -> tuple[Figure, Any]:
    made = Figure(figsize=SIZE, layout="constrained")
    return made, made.add_subplot()


def over_load(rows: Sequence[Row], title: str) -> Figure:
    """Goodput by multiples of capacity, a line for each rule, with the spread over seeds."""
    made, axes = figure()
    best = max((row.goodput for row in rows), default=1.0)
    for rule in sorted({row.rule for row in rows}):
        mine = sorted((row for row in rows if row.rule == rule), key=lambda row: row.load)
        axes.errorbar(
            [r.load for r in mine],
            [r.goodput / best for r in mine],
            [r.spread / best for r in mine],
            label=rule,
            marker="o",
            capsize=3,
        )
    axes.set_xscale("log")
    axes.set(
        xlabel="load, multiples of capacity",
        ylabel="worth a second, of the best",
        title=title,
        ylim=(0, 1.05),
    )
    axes.legend()
    axes.grid(alpha=0.3)
    return made


def over_time(result: Result) -> Figure:
    """Worth earned and asked for by second, and the level of refusing."""
    made, axes = figure()
    seconds = range(len(result.series["earned"]))
    axes.plot(seconds, result.series["possible"], label="worth asked for", color="grey")
    axes.plot(seconds, result.series["earned"], label="worth earned")
    other = axes.twinx()
    other.plot(seconds, result.series["level"], label="level of refusing", color="tab:red", alpha=0.5)
    axes.set(
        xlabel="second",
        ylabel="worth a second",
        ylim=(0, None),
        title=f"{result.scenario}, seed {result.seed}, rule {result.rule}, build {result.build}",
    )
    other.set(ylabel="level", ylim=(0, None))
    axes.legend(loc="upper left")
    axes.grid(alpha=0.3)
    return made


def png(made: Figure) -> bytes:
    out = io.BytesIO()
    made.savefig(out, format="png", dpi=110)
    return out.getvalue()


def page(title: str, figures: Sequence[Figure], tables: Sequence[str]) -> str:
    """One file that needs no other."""
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><h1>{html.escape(title)}</h1>"
    ]
    for made in figures:
        data = base64.b64encode(png(made)).decode()
        parts.append(f'<p><img alt="chart" src="data:image/png;base64,{data}">')
    parts += [f"<pre>{html.escape(text)}</pre>" for text in tables]
    return "\n".join(parts)


def write(out: Path, title: str, figures: Sequence[Figure], tables: Sequence[str]) -> list[Path]:
    """`out`: the name of the HTML file; pictures stand beside it."""
    written = []
    for number, made in enumerate(figures, 1):
        path = out.with_name(f"{out.stem}-{number}.png")
        path.write_bytes(png(made))
        written.append(path)
    out.write_text(page(title, figures, tables), encoding="utf-8")
    return [*written, out]
