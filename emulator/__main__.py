"""`micastand rehearse SCENARIO.toml` and `micastand experiment EXPERIMENT.toml`."""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from pathlib import Path
from typing import Any, Sequence

import msgspec

from emulator import experiment, report
from emulator.play import build, play
from emulator.rules import RULES
from emulator.scenario import ScenarioError, at_times, read


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="micastand", description="The emulator: days and designs in virtual time."
    )
    verbs = top.add_subparsers(dest="verb", metavar="VERB", required=True)
    text = "Plays SCENARIO once and says what came of it. Exit code 1 if a rule broke."
    one = verbs.add_parser("rehearse", help="play a described day", description=text)
    one.add_argument("scenario", type=Path)
    one.add_argument("--seed", type=int, default=1)
    one.add_argument("--rule", choices=list(RULES), default="program", help="of refusing")
    one.add_argument("--load", type=float, metavar="TIMES", help="so many times what the members can do")
    one.add_argument("--set", action="append", default=[], metavar="KEY=VALUE", help="such as proxy.count=40")
    one.add_argument("--html", type=Path, metavar="FILE", help="draw it")
    one.add_argument("--json", action="store_true")
    one.set_defaults(run=rehearse)
    text = "Plays all of EXPERIMENT on all cores and keeps every run in a file."
    many = verbs.add_parser("experiment", help="sweep values, rules and seeds", description=text)
    many.add_argument("experiment", type=Path)
    many.add_argument("-o", "--out", type=Path, metavar="FILE", help="SQLite (the experiment's name)")
    many.add_argument("--seeds", type=int, help="in place of the file's")
    many.add_argument("--workers", type=int, default=os.cpu_count() or 1)
    many.set_defaults(run=sweep)
    return top


def rehearse(options: argparse.Namespace) -> int:
    scenario = read(options.scenario, dict(_change(text) for text in options.set))
    if options.load:
        scenario = at_times(scenario, options.load)
    began = time.perf_counter()
    result = play(scenario, options.seed, options.rule)
    took = time.perf_counter() - began
    if options.json:
        print(msgspec.json.encode(result).decode())
    else:
        print(report.of_result(result))
        print(f"  {scenario.seconds:g} s in {took:.1f} s")
    if options.html:
        from emulator import charts

        charts.write(options.html, scenario.name, [charts.over_time(result)], [report.of_result(result)])
    return int(
        any(count for name, count in result.rules.items() if name in ("lost", "effect twice", "drained"))
    )


def _change(text: str) -> tuple[str, Any]:
    key, found, value = text.partition("=")
    if not found:
        raise ScenarioError(f"--set {text!r}: KEY=VALUE is wanted")
    try:
        return key, json.loads(value)
    except ValueError:
        return key, value


def sweep(options: argparse.Namespace) -> int:
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TimeRemainingColumn

    from emulator import charts

    found, box = experiment.read(options.experiment)
    if options.seeds:
        found = msgspec.structs.replace(found, seeds=options.seeds)
    out = options.out or Path(f"{found.name}.sqlite")
    with Progress(
        BarColumn(), MofNCompleteColumn(), TimeRemainingColumn(), disable=not sys.stderr.isatty()
    ) as bar:
        task = bar.add_task(found.name, total=None)
        count = experiment.run(
            found,
            box,
            out,
            options.workers,
            lambda done, total: bar.update(task, completed=done, total=total),
        )
    rows = experiment.table(out)
    text = report.of_rows(rows)
    print(f"{count} runs of build {build()} in {out}\n{text}")
    drawn = (
        [
            charts.over_load(
                [row for row in rows if row.params == params], f"{found.name} {params}".replace("{}", "")
            )
            for params in sorted({row.params for row in rows})
        ]
        if found.loads
        else []
    )
    for path in charts.write(out.with_suffix(".html"), found.name, drawn, [text]):
        print(f"written: {path}")
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """0 when all went well, 1 where a rule broke, 2 for a file that can't be played."""
    options = parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except ScenarioError as problem:
        sys.stderr.write(f"micastand {options.verb}: {problem}\n")
        return 2
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    sys.exit(main())
