"""Administrative overrides applied over the list of a source."""

from __future__ import annotations

from typing import Any

from loadbalancer.discovery.endpoint_source import Entry
from loadbalancer.discovery.overrides import AdminOverride, EndpointOverrides, merge_override
from loadbalancer.policy.events import (
    EndpointEntry,
    EndpointState,
)


class RecordingListener:
    def __init__(self) -> None:
        self.notifications: list[Any] = []

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        assert whole
        self.notifications.append(
            {e.endpoint: (e.state.name, e.weight, address[1]) for e, address in entries}
        )

    def list_failed(self, busy: bool = False) -> None:
        self.notifications.append("failed")

    def cordon(self, server: str, out: bool) -> None:
        self.notifications.append((server, out))


def entry(name: str, port: int = 1, state: EndpointState = EndpointState.READY, weight: float = 1.0) -> Entry:
    return EndpointEntry(name, state=state, weight=weight), ("127.0.0.1", port)


def make_overrides(
    *entries: Entry, now: float = 100.0
) -> tuple[EndpointOverrides, RecordingListener, list[float]]:
    listener, clock = RecordingListener(), [now]
    overrides = EndpointOverrides(listener, {}, lambda: clock[0])
    overrides.take_list(list(entries), whole=True)
    return overrides, listener, clock


def test_cordon_is_notified_before_the_list_and_survives_lists_of_the_source() -> None:
    overrides, listener, _ = make_overrides(entry("a"), entry("b"))
    overrides.set_override("a", AdminOverride("cordon", by="x"))
    assert listener.notifications[-2:] == [("a", True), {"a": ("READY", 1.0, 1), "b": ("READY", 1.0, 1)}]
    overrides.take_list([entry("b")], whole=True)  # the source drops it
    overrides.take_list([entry("a", 5)], whole=False)  # and brings it back
    assert ("a", False) not in listener.notifications and overrides.overrides["a"].word == "cordon"
    overrides.set_override("a", merge_override(overrides.overrides["a"], 101.0, "y", "", lift=True))
    assert listener.notifications[-1] == ("a", False) and not overrides.overrides


def test_drain_and_weight_override_the_source_and_undo_no_drain_of_it() -> None:
    overrides, listener, _ = make_overrides(entry("a", weight=2.0), entry("b", state=EndpointState.DRAINING))
    overrides.set_override("a", merge_override(None, 100.0, "x", "", word="drain", weight=5.0))
    overrides.set_override("b", merge_override(None, 100.0, "x", "", weight=3.0))
    assert listener.notifications[-1] == {"a": ("DRAINING", 5.0, 1), "b": ("DRAINING", 3.0, 1)}
    overrides.set_override("a", merge_override(overrides.overrides["a"], 101.0, "y", "", lift=True))
    assert listener.notifications[-1]["a"] == ("READY", 5.0, 1)  # removing the drain keeps the weight


def test_override_of_an_unlisted_member_applies_once_it_is_listed() -> None:
    overrides, listener, _ = make_overrides(entry("a"))
    overrides.set_override("b", AdminOverride("cordon"))
    overrides.take_list([entry("b")], whole=False)
    assert (
        listener.notifications.index(("b", True)) < len(listener.notifications) - 1
        and "b" in listener.notifications[-1]
    )


def test_added_member_is_used_until_the_source_lists_it() -> None:
    overrides, listener, _ = make_overrides(entry("a"))
    overrides.set_override("new", merge_override(None, 100.0, "x", "", address=("127.0.0.1", 7)))
    assert listener.notifications[-1]["new"] == ("READY", 1.0, 7) and overrides.knows("new")
    # The time of the addition is the start time, so that slow start may apply.
    assert next(e.started for e, _ in overrides.entries() if e.endpoint == "new") == 100.0
    overrides.take_list([entry("new", 9)], whole=False)
    assert listener.notifications[-1]["new"] == ("READY", 1.0, 9)
    overrides.take_list([entry("new", state=EndpointState.GONE)], whole=False)
    assert listener.notifications[-1]["new"] == ("READY", 1.0, 7)
    overrides.set_override("new", AdminOverride())
    assert "new" not in listener.notifications[-1]


def test_lists_of_a_frozen_source_are_applied_when_it_is_thawed() -> None:
    overrides, listener, _ = make_overrides(entry("a"))
    overrides.freeze(True)
    count = len(listener.notifications)
    overrides.take_list([entry("b")], whole=True)
    overrides.take_list([entry("c")], whole=False)
    assert len(listener.notifications) == count and set(overrides.listed()) == {"a"}
    overrides.set_override("a", AdminOverride("drain"))
    assert listener.notifications[-1] == {"a": ("DRAINING", 1.0, 1)}
    overrides.freeze(False)
    assert set(listener.notifications[-1]) == {"b", "c"}


def test_overrides_expire_and_the_later_operator_wins() -> None:
    overrides, listener, clock = make_overrides(entry("a"))
    overrides.set_override("a", merge_override(None, 100.0, "x", "first", 110.0, word="cordon"))
    overrides.set_override(
        "a", merge_override(overrides.overrides["a"], 101.0, "y", "second", 120.0, word="drain")
    )
    assert (overrides.overrides["a"].by, overrides.overrides["a"].word) == ("y", "drain")
    clock[0] = 119.0
    assert overrides.expire() == []
    clock[0] = 120.0
    assert overrides.expire() == ["a"] and listener.notifications[-1] == {"a": ("READY", 1.0, 1)}
    assert EndpointOverrides(listener, {"a": AdminOverride("cordon", until=5.0)}, lambda: 6.0).overrides == {}
