"""Merging the epochs of several instances."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from loadbalancer.fleet.replication.epochs import FROM_SNAPSHOT, RESTORED_FROM_STORE, Epoch, merge


def instance_report(instance: str, *epochs: Epoch) -> dict[str, Any]:
    return {"instance": instance, "epochs": [epoch.row(0.0) for epoch in epochs]}


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_merged_version_is_described_by_an_instance_that_has_seen_the_command(order: tuple[int, ...]) -> None:
    """An instance that restored its store or installed a snapshot does not know the command, and may come first."""
    reports = [
        instance_report("i0", Epoch(1, "p: a cordoned", "ops", 1.0), Epoch(2, "roster: i2 votes", "i1", 2.0)),
        instance_report(
            "i1", Epoch(1, RESTORED_FROM_STORE, "", 5.0), Epoch(2, "roster: i2 votes", "i1", 2.1)
        ),
        instance_report("i3", Epoch(2, FROM_SNAPSHOT, "", 3.0)),
    ]
    versions = merge([reports[index] for index in order], [])["versions"]
    assert [(row["version"], row["what"], row["by"]) for row in versions] == [
        (1, "p: a cordoned", "ops"),
        (2, "roster: i2 votes", "i1"),
    ]
    assert versions[1]["taken_up"] == {"i0": 2.0, "i1": 2.1, "i3": 3.0}


def test_merged_version_says_so_if_no_instance_has_seen_the_command() -> None:
    (row,) = merge(
        [
            instance_report("i3", Epoch(2, FROM_SNAPSHOT, "", 3.0)),
            instance_report("i1", Epoch(2, RESTORED_FROM_STORE, "", 4.0)),
        ],
        ["i0"],
    )["versions"]
    assert row["what"] in (RESTORED_FROM_STORE, FROM_SNAPSHOT) and row["by"] == ""
