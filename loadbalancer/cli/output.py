"""Prints answers of a daemon for people: as tables, in colour only on a terminal."""

from __future__ import annotations

import sys
import time
from typing import Any, Callable, TextIO

#: Colours of table cells, by column and text.
STYLES = {
    ("used", "False"): "red", ("source", "draining"): "yellow", ("source", "not listed"): "red",
    ("frozen", "True"): "yellow", ("there", "False"): "red",
}  # fmt: skip


def lines(found: Any) -> list[str]:
    """Return an answer as plain lines: a table for a list, names and values for anything else."""
    if isinstance(found, dict) and (key := _table_key(found)):
        persistence = "kept over restarts" if found.get("kept") else "not kept: there is no [store]"
        return [*lines(found[key]), persistence, *version_lines(found)]
    if isinstance(found, dict) and "versions" in found:
        return [
            *lines(found["versions"]),
            "",
            *lines(found["instances"]),
            f"not known: {text(found['not_known'])}",
        ]
    if isinstance(found, dict):
        return [f"{key:14} {text(value)}" for key, value in found.items()]
    if not found:
        return ["none"]
    rows = rows_of(found)
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]


def version_lines(found: dict[str, Any]) -> list[str]:
    """Return a line on whether a change holds in the whole fleet; none if the answer has no version."""
    if "version" not in found:
        return []
    if found.get("holds"):
        return [f"version {found['version']}: holds at the whole fleet"]
    until_s = found.get("until_s")
    duration = "until they are told" if until_s is None else f"for {until_s:.1f} s at most"
    missing = text(found.get("missing")) if found.get("missing") else "some that are not known"
    return [f"version {found['version']} stands; {missing} may act on the one before {duration}"]


def _table_key(found: dict[str, Any]) -> str | None:
    return next((key for key in ("members", "moves") if isinstance(found.get(key), list)), None)


def rows_of(found: list[dict[str, Any]]) -> list[list[str]]:
    """Return the names of the columns, then the cells of each row."""
    keys = list(dict.fromkeys(key for row in found for key in row))
    return [keys, *[[text(row.get(key)) for key in keys] for row in found]]


def text(value: Any) -> str:
    """Return the text of a value in a cell or a line."""
    if value is None:
        return "-"
    if isinstance(value, dict):
        return " ".join(f"{key}={text(item)}" for key, item in value.items())
    if isinstance(value, list):
        return ", ".join(text(item) for item in value) or "-"
    return str(value)


def show(found: Any, out: TextIO | None = None) -> None:
    """Print an answer: a list on a terminal as a coloured table, anything else as plain lines."""
    out = out or sys.stdout
    if not out.isatty() or not isinstance(found, list) or not found:
        out.write("\n".join(lines(found)) + "\n")
        return
    from rich.console import Console

    Console(file=out, highlight=False).print(table(found))


def table(found: list[dict[str, Any]]) -> Any:
    """Return a coloured table for rich."""
    from rich.markup import escape
    from rich.table import Table

    keys, *rows = rows_of(found)
    result = Table(box=None, pad_edge=False, header_style="bold")
    for key in keys:
        result.add_column(key, overflow="fold")
    for row in rows:
        cells = []
        for key, cell in zip(keys, row, strict=True):
            style = STYLES.get((key, cell))
            cells.append(f"[{style}]{escape(cell)}[/]" if style else escape(cell))
        result.add_row(*cells)
    return result


def watch(fetch: Callable[[], Any], interval_s: float, count: int | None = None) -> None:
    """Fetch and show an answer every `interval_s` seconds, `count` times or until interrupted.

    A terminal is redrawn in place; elsewhere the answers follow one another.
    """
    shown = 0
    if not sys.stdout.isatty():
        while count is None or shown < count:
            if shown:
                print(flush=True)
                time.sleep(interval_s)
            show(fetch())
            shown += 1
        return
    from rich.live import Live

    with Live(screen=True, auto_refresh=False) as live:
        while count is None or shown < count:
            found = fetch()
            live.update(
                table(found) if isinstance(found, list) and found else "\n".join(lines(found)), refresh=True
            )
            shown += 1
            time.sleep(interval_s)
