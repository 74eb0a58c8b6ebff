"""Overrides of operators over the list of a source."""

from __future__ import annotations

from typing import Any

from loadbalancer.discovery.endpoint_source import Entry
from loadbalancer.discovery.overrides import AdminOverride, EndpointOverrides, merge_override
from loadbalancer.policy.events import (
    EndpointEntry,
    EndpointState,
)


class Taker:
    def __init__(self) -> None:
        self.heard: list[Any] = []

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        assert whole
        self.heard.append({e.endpoint: (e.state.name, e.weight, address[1]) for e, address in entries})

    def list_failed(self, busy: bool = False) -> None:
        self.heard.append("failed")

    def cordon(self, server: str, out: bool) -> None:
        self.heard.append((server, out))


def entry(name: str, port: int = 1, state: EndpointState = EndpointState.READY, weight: float = 1.0) -> Entry:
    return EndpointEntry(name, state=state, weight=weight), ("127.0.0.1", port)


def layers(*entries: Entry, now: float = 100.0) -> tuple[EndpointOverrides, Taker, list[float]]:
    taker, clock = Taker(), [now]
    made = EndpointOverrides(taker, {}, lambda: clock[0])
    made.take_list(list(entries), whole=True)
    return made, taker, clock


def test_a_cordon_is_told_ahead_of_the_list_and_outlasts_what_the_source_says() -> None:
    made, taker, _ = layers(entry("a"), entry("b"))
    made.mark("a", AdminOverride("cordon", by="x"))
    assert taker.heard[-2:] == [("a", True), {"a": ("READY", 1.0, 1), "b": ("READY", 1.0, 1)}]
    made.take_list([entry("b")], whole=True)  # the source drops it
    made.take_list([entry("a", 5)], whole=False)  # and brings it back
    assert ("a", False) not in taker.heard and made.marks["a"].word == "cordon"
    made.mark("a", merge_override(made.marks["a"], 101.0, "y", "", lift=True))
    assert taker.heard[-1] == ("a", False) and not made.marks


def test_drain_and_weight_stand_over_the_source_and_lift_no_stop() -> None:
    made, taker, _ = layers(entry("a", weight=2.0), entry("b", state=EndpointState.DRAINING))
    made.mark("a", merge_override(None, 100.0, "x", "", word="drain", weight=5.0))
    made.mark("b", merge_override(None, 100.0, "x", "", weight=3.0))
    assert taker.heard[-1] == {"a": ("DRAINING", 5.0, 1), "b": ("DRAINING", 3.0, 1)}
    made.mark("a", merge_override(made.marks["a"], 101.0, "y", "", lift=True))
    assert taker.heard[-1]["a"] == ("READY", 5.0, 1)  # the weight is another word and stays


def test_a_mark_for_a_member_not_known_yet_counts_once_it_comes() -> None:
    made, taker, _ = layers(entry("a"))
    made.mark("b", AdminOverride("cordon"))
    made.take_list([entry("b")], whole=False)
    assert taker.heard.index(("b", True)) < len(taker.heard) - 1 and "b" in taker.heard[-1]


def test_an_added_member_stands_beside_the_source_until_that_lists_it() -> None:
    made, taker, _ = layers(entry("a"))
    made.mark("new", merge_override(None, 100.0, "x", "", address=("127.0.0.1", 7)))
    assert taker.heard[-1]["new"] == ("READY", 1.0, 7) and made.knows("new")
    assert next(e.started for e, _ in made.entries() if e.endpoint == "new") == 100.0  # it may be cold
    made.take_list([entry("new", 9)], whole=False)
    assert taker.heard[-1]["new"] == ("READY", 1.0, 9)
    made.take_list([entry("new", state=EndpointState.GONE)], whole=False)
    assert taker.heard[-1]["new"] == ("READY", 1.0, 7)
    made.mark("new", AdminOverride())
    assert "new" not in taker.heard[-1]


def test_a_frozen_source_is_heard_and_followed_from_the_thaw_on() -> None:
    made, taker, _ = layers(entry("a"))
    made.freeze(True)
    count = len(taker.heard)
    made.take_list([entry("b")], whole=True)
    made.take_list([entry("c")], whole=False)
    assert len(taker.heard) == count and set(made.listed()) == {"a"}
    made.mark("a", AdminOverride("drain"))
    assert taker.heard[-1] == {"a": ("DRAINING", 1.0, 1)}
    made.freeze(False)
    assert set(taker.heard[-1]) == {"b", "c"}


def test_marks_end_by_their_time_and_of_two_operators_the_later_counts() -> None:
    made, taker, clock = layers(entry("a"))
    made.mark("a", merge_override(None, 100.0, "x", "first", 110.0, word="cordon"))
    made.mark("a", merge_override(made.marks["a"], 101.0, "y", "second", 120.0, word="drain"))
    assert (made.marks["a"].by, made.marks["a"].word) == ("y", "drain")
    clock[0] = 119.0
    assert made.expire() == []
    clock[0] = 120.0
    assert made.expire() == ["a"] and taker.heard[-1] == {"a": ("READY", 1.0, 1)}
    assert EndpointOverrides(taker, {"a": AdminOverride("cordon", until=5.0)}, lambda: 6.0).marks == {}
