"""Notes of several instances on the versions that they took up, merged."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from loadbalancer.fleet.replication.epochs import AS_KEPT, WHOLE, Epoch, merge


def told(instance: str, *epochs: Epoch) -> dict[str, Any]:
    return {"instance": instance, "epochs": [epoch.row(0.0) for epoch in epochs]}


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_a_version_is_told_by_the_change_where_anybody_has_seen_it(order: tuple[int, ...]) -> None:
    """Whoever took the whole state, or came back with its store, does not know what made it, and may be asked first."""
    parts = [
        told("i0", Epoch(1, "p: a cordoned", "ops", 1.0), Epoch(2, "roster: i2 votes", "i1", 2.0)),
        told("i1", Epoch(1, AS_KEPT, "", 5.0), Epoch(2, "roster: i2 votes", "i1", 2.1)),
        told("i3", Epoch(2, WHOLE, "", 3.0)),
    ]
    versions = merge([parts[n] for n in order], [])["versions"]
    assert [(row["version"], row["what"], row["by"]) for row in versions] == [
        (1, "p: a cordoned", "ops"),
        (2, "roster: i2 votes", "i1"),
    ]
    assert versions[1]["taken_up"] == {"i0": 2.0, "i1": 2.1, "i3": 3.0}


def test_where_nobody_has_seen_the_change_that_is_said() -> None:
    (row,) = merge([told("i3", Epoch(2, WHOLE, "", 3.0)), told("i1", Epoch(2, AS_KEPT, "", 4.0))], ["i0"])[
        "versions"
    ]
    assert row["what"] in (AS_KEPT, WHOLE) and row["by"] == ""
