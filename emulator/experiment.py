"""Runs a scenario with varied values, rules and seeds on all cores, and stores the runs in an SQLite file.

An experiment is a TOML file with `scenario`, `seeds`, `rules`, and `[vary]` with a list of values for each dotted key.
Every combination is run. Each row contains its seed, build and values, from which the run can be reproduced.
"""

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
from emulator.scenario import Scenario, ScenarioError, at_times, build, set_value

TABLE = """\
CREATE TABLE IF NOT EXISTS runs (
    id INTEGER PRIMARY KEY, at REAL, build TEXT, scenario TEXT, rule TEXT, seed INTEGER, load REAL, params TEXT,
    goodput REAL, possible REAL, refused_share REAL, sent_for_each REAL, seconds REAL, result TEXT)"""


class Experiment(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Holds the settings of an experiment file; the field names are its keys."""

    name: str
    scenario: str  # a file in the same directory
    seeds: int = 10
    first_seed: int = 1
    rules: tuple[str, ...] = ("program",)
    loads: tuple[float, ...] = ()  # multiples of the scenario's capacity; if empty, the scenario's own rate
    vary: dict[str, list[Any]] = {}


class Job(NamedTuple):
    """Holds the settings of one run."""

    values: dict[str, Any]
    seed: int
    rule: str
    load: float  # 0: the scenario's own rate
    params: dict[str, Any]


def read(path: Path) -> tuple[Experiment, dict[str, Any]]:
    """Return an experiment and the values of its scenario; raise ScenarioError if a file or value is invalid."""
    import tomllib

    try:
        experiment = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Experiment)
        values = tomllib.loads((path.parent / experiment.scenario).read_text(encoding="utf-8"))
    except (OSError, ValueError, msgspec.ValidationError) as problem:
        raise ScenarioError(f"{path}: {problem}") from None
    unknown = [rule for rule in experiment.rules if rule not in RULES]
    if unknown:
        raise ScenarioError(f"{path}: no rule named {', '.join(unknown)}; expected one of {', '.join(RULES)}")
    for job in jobs(experiment, values, 1):
        scenario_of(job)
    return experiment, values


def jobs(experiment: Experiment, values: Mapping[str, Any], seeds: int | None = None) -> Iterator[Job]:
    """Yield all runs, with the seeds in the outer loop, so that an interrupted experiment covers all values."""
    keys = list(experiment.vary)
    for seed in range(experiment.first_seed, experiment.first_seed + (seeds or experiment.seeds)):
        for combination in itertools.product(*experiment.vary.values()):
            params = dict(zip(keys, combination, strict=True))
            changed = json.loads(json.dumps(values))
            for key, value in params.items():
                set_value(changed, key, value)
            for load in experiment.loads or (0.0,):
                for rule in experiment.rules:
                    yield Job(changed, seed, rule, load, params)


def scenario_of(job: Job) -> Scenario:
    """Return the scenario of a run at its load."""
    scenario = build(job.values, "experiment")
    return at_times(scenario, job.load) if job.load else scenario


def run_job(job: Job) -> tuple[Result, float]:
    """Execute one run in a worker process; return the result and the seconds that it took."""
    from emulator.play import play

    start = time.perf_counter()
    result = play(scenario_of(job), job.seed, job.rule)
    result.params = dict(job.params)
    return result, time.perf_counter() - start


def run(
    experiment: Experiment,
    values: Mapping[str, Any],
    out: Path,
    workers: int,
    progress: Callable[[int, int], None],
) -> int:
    """Execute all runs, store each when it ends, and return the number of stored runs."""
    all_jobs = list(jobs(experiment, values))
    connection = sqlite3.connect(out)
    completed = 0
    try:
        connection.execute(TABLE)
        with ProcessPoolExecutor(workers) as pool:
            job_by_future = {pool.submit(run_job, job): job for job in all_jobs}
            for future in as_completed(job_by_future):
                job = job_by_future[future]
                result, elapsed = future.result()
                store(connection, job, result, elapsed)
                completed += 1
                progress(completed, len(all_jobs))
    finally:
        connection.close()
    return completed


def store(connection: sqlite3.Connection, job: Job, result: Result, elapsed: float) -> None:
    with connection:
        connection.execute(
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
                elapsed,
                msgspec.json.encode(result).decode(),
            ),
        )


class Row(NamedTuple):
    """Holds the means over the seeds for one rule, load and set of values."""

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
    """Return the rows of a results file, averaged over seeds."""
    connection = sqlite3.connect(path)
    try:
        rows = connection.execute(
            "SELECT rule, load, params, COUNT(*), AVG(goodput), AVG(goodput * goodput), AVG(possible), "
            "AVG(refused_share), AVG(sent_for_each) FROM runs GROUP BY rule, load, params ORDER BY params, load, rule"
        ).fetchall()
    finally:
        connection.close()
    return [
        Row(
            rule,
            load,
            params,
            count,
            goodput,
            max(0.0, square - goodput * goodput) ** 0.5,
            possible,
            refused,
            sent,
        )
        for rule, load, params, count, goodput, square, possible, refused, sent in rows
    ]


def results(path: Path) -> list[Result]:
    """Return the results of all runs in a results file."""
    connection = sqlite3.connect(path)
    try:
        return [
            msgspec.json.decode(row[0], type=Result)
            for row in connection.execute("SELECT result FROM runs ORDER BY id")
        ]
    finally:
        connection.close()
