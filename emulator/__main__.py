"""Implements `micastand rehearse SCENARIO.toml` and `micastand experiment EXPERIMENT.toml`."""

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
        prog="micastand", description="Runs scenarios and experiments of the emulator in virtual time."
    )
    verbs = top.add_subparsers(dest="verb", metavar="VERB", required=True)
    text = "Runs SCENARIO once and prints its figures. Exit code 1 if a safety rule was violated."
    rehearse_parser = verbs.add_parser("rehearse", help="run a scenario", description=text)
    rehearse_parser.add_argument("scenario", type=Path)
    rehearse_parser.add_argument("--seed", type=int, default=1)
    rehearse_parser.add_argument("--rule", choices=list(RULES), default="program", help="load-shedding rule")
    rehearse_parser.add_argument(
        "--load", type=float, metavar="TIMES", help="load in multiples of the capacity of the members"
    )
    rehearse_parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="KEY=VALUE",
        help="replace a value of the scenario, such as proxy.count=40",
    )
    rehearse_parser.add_argument("--html", type=Path, metavar="FILE", help="write charts to an HTML file")
    rehearse_parser.add_argument("--json", action="store_true")
    rehearse_parser.set_defaults(run=rehearse)
    text = "Runs all combinations of EXPERIMENT on all cores and stores every run in a file."
    experiment_parser = verbs.add_parser("experiment", help="sweep values, rules and seeds", description=text)
    experiment_parser.add_argument("experiment", type=Path)
    experiment_parser.add_argument(
        "-o", "--out", type=Path, metavar="FILE", help="SQLite file (default: named after the experiment)"
    )
    experiment_parser.add_argument(
        "--seeds", type=int, help="number of seeds, instead of the one in the file"
    )
    experiment_parser.add_argument("--workers", type=int, default=os.cpu_count() or 1)
    experiment_parser.set_defaults(run=sweep)
    return top


def rehearse(options: argparse.Namespace) -> int:
    scenario = read(options.scenario, dict(_parse_assignment(text) for text in options.set))
    if options.load:
        scenario = at_times(scenario, options.load)
    start = time.perf_counter()
    result = play(scenario, options.seed, options.rule)
    elapsed = time.perf_counter() - start
    if options.json:
        print(msgspec.json.encode(result).decode())
    else:
        print(report.format_result(result))
        print(f"  {scenario.seconds:g} s in {elapsed:.1f} s")
    if options.html:
        from emulator import charts

        charts.write(options.html, scenario.name, [charts.over_time(result)], [report.format_result(result)])
    return int(
        any(count for name, count in result.rules.items() if name in ("lost", "effect twice", "drained"))
    )


def _parse_assignment(text: str) -> tuple[str, Any]:
    key, found, value = text.partition("=")
    if not found:
        raise ScenarioError(f"--set {text!r}: expected KEY=VALUE")
    try:
        return key, json.loads(value)
    except ValueError:
        return key, value


def sweep(options: argparse.Namespace) -> int:
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TimeRemainingColumn

    from emulator import charts

    definition, scenario_values = experiment.read(options.experiment)
    if options.seeds:
        definition = msgspec.structs.replace(definition, seeds=options.seeds)
    out = options.out or Path(f"{definition.name}.sqlite")
    with Progress(
        BarColumn(), MofNCompleteColumn(), TimeRemainingColumn(), disable=not sys.stderr.isatty()
    ) as bar:
        task = bar.add_task(definition.name, total=None)
        count = experiment.run(
            definition,
            scenario_values,
            out,
            options.workers,
            lambda done, total: bar.update(task, completed=done, total=total),
        )
    rows = experiment.table(out)
    text = report.format_rows(rows)
    print(f"{count} runs of build {build()} in {out}\n{text}")
    figures = (
        [
            charts.over_load(
                [row for row in rows if row.params == params], f"{definition.name} {params}".replace("{}", "")
            )
            for params in sorted({row.params for row in rows})
        ]
        if definition.loads
        else []
    )
    for path in charts.write(out.with_suffix(".html"), definition.name, figures, [text]):
        print(f"written: {path}")
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Return 0 on success, 1 if a safety rule was violated, 2 for an invalid file or value."""
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
