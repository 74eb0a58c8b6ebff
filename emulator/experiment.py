"""Sweeps: a scenario with other values, under other rules, over seeds, on all cores; kept in one SQLite file a run.

An experiment is a TOML file: `scenario`, `seeds`, `rules`, and `[vary]` with a list of values for each dotted key.
What is played is every combination. Each row names its seed, its build and its values, and can be played again from
these alone."""

from __future__ import annotations

import itertools
import json
import sqlite3
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any, Callable, Iterator, Mapping, NamedTuple

import msgspec
from msgspec import Struct

from emulator.figures import Result
from emulator.rules import RULES
from emulator.scenario import Scenario, ScenarioError, at_times, build, put

TABLE = """\
CREATE TABLE IF NOT EXISTS runs (
    id INTEGER PRIMARY KEY, at REAL, build TEXT, scenario TEXT, rule TEXT, seed INTEGER, load REAL, params TEXT,
    goodput REAL, possible REAL, refused_share REAL, sent_for_each REAL, seconds REAL, result TEXT)"""


class Experiment(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    name: str
    scenario: str  # a file beside this one
    seeds: int = 10
    first_seed: int = 1
    rules: tuple[str, ...] = ("program",)
    loads: tuple[float, ...] = ()  # multiples of the scenario's capacity; its own rate if there are none
    vary: dict[str, list[Any]] = {}


class Job(NamedTuple):
    box: dict[str, Any]
    seed: int
    rule: str
    load: float  # 0: the scenario's own
    params: dict[str, Any]


def read(path: Path) -> tuple[Experiment, dict[str, Any]]:
    """The experiment and its scenario's values; ScenarioError with what is wrong."""
    import tomllib

    try:
        found = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Experiment)
        box = tomllib.loads((path.parent / found.scenario).read_text(encoding="utf-8"))
    except (OSError, ValueError, msgspec.ValidationError) as problem:
        raise ScenarioError(f"{path}: {problem}") from None
    unknown = [rule for rule in found.rules if rule not in RULES]
    if unknown:
        raise ScenarioError(f"{path}: no rule named {', '.join(unknown)}; there are: {', '.join(RULES)}")
    for job in jobs(found, box, 1):
        scenario_of(job)
    return found, box


def jobs(experiment: Experiment, box: Mapping[str, Any], seeds: int | None = None) -> Iterator[Job]:
    """Everything that is to be played, seeds in the outer turn, so that a run that is cut short is of all values."""
    keys = list(experiment.vary)
    for seed in range(experiment.first_seed, experiment.first_seed + (seeds or experiment.seeds)):
        for values in itertools.product(*experiment.vary.values()):
            params = dict(zip(keys, values, strict=True))
            changed = json.loads(json.dumps(box))
            for key, value in params.items():
                put(changed, key, value)
            for load in experiment.loads or (0.0,):
                for rule in experiment.rules:
                    yield Job(changed, seed, rule, load, params)


def scenario_of(job: Job) -> Scenario:
    made = build(job.box, "experiment")
    return at_times(made, job.load) if job.load else made


def run_job(job: Job) -> tuple[Result, float]:
    """In a process of its own; with it the seconds that it took."""
    from emulator.play import play

    began = time.perf_counter()
    result = play(scenario_of(job), job.seed, job.rule)
    result.params = dict(job.params)
    return result, time.perf_counter() - began


def run(
    experiment: Experiment,
    box: Mapping[str, Any],
    out: Path,
    workers: int,
    progress: Callable[[int, int], None],
) -> int:
    """Play all of it; the number of runs that were kept. Runs are kept as they end."""
    todo = list(jobs(experiment, box))
    base = sqlite3.connect(out)
    done = 0
    try:
        base.execute(TABLE)
        with ProcessPoolExecutor(workers) as pool:
            waiting = {pool.submit(run_job, job): job for job in todo}
            for future in as_completed(waiting):
                job = waiting[future]
                result, took = future.result()
                keep(base, job, result, took)
                done += 1
                progress(done, len(todo))
    finally:
        base.close()
    return done


def keep(base: sqlite3.Connection, job: Job, result: Result, took: float) -> None:
    with base:
        base.execute(
            "INSERT INTO runs (at, build, scenario, rule, seed, load, params, goodput, possible, refused_share, "
            "sent_for_each, seconds, result) VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                time.time(),
                result.build,
                result.scenario,
                job.rule,
                job.seed,
                job.load,
                json.dumps(job.params),
                result.goodput,
                result.possible,
                result.refused_share,
                result.sent_for_each,
                took,
                msgspec.json.encode(result).decode(),
            ),
        )


class Row(NamedTuple):
    """Of one rule, load and set of values, over its seeds."""

    rule: str
    load: float
    params: str
    seeds: int
    goodput: float
    spread: float
    possible: float
    refused: float
    sent: float


def table(path: Path) -> list[Row]:
    """What a file of results holds, means over seeds."""
    base = sqlite3.connect(path)
    try:
        rows = base.execute(
            "SELECT rule, load, params, COUNT(*), AVG(goodput), AVG(goodput * goodput), AVG(possible), "
            "AVG(refused_share), AVG(sent_for_each) FROM runs GROUP BY rule, load, params ORDER BY params, load, rule"
        ).fetchall()
    finally:
        base.close()
    return [
        Row(rule, load, params, count, good, max(0.0, square - good * good) ** 0.5, possible, refused, sent)
        for rule, load, params, count, good, square, possible, refused, sent in rows
    ]


def results(path: Path) -> list[Result]:
    base = sqlite3.connect(path)
    try:
        return [
            msgspec.json.decode(row[0], type=Result)
            for row in base.execute("SELECT result FROM runs ORDER BY id")
        ]
    finally:
        base.close()
