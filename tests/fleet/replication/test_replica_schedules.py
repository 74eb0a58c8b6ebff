"""Every schedule of three replicas with few deviations from an orderly run."""

from __future__ import annotations

import copy
import random
from itertools import combinations
from typing import Any

import pytest
from replica_model import override_command

from loadbalancer.fleet.replication import messages as form
from loadbalancer.fleet.replication.actions import (
    CommandApplied,
    CommandCompleted,
    Persist,
    RequestStateTransfer,
    SendMessage,
    SnapshotInstalled,
)
from loadbalancer.fleet.replication.events import MessageReceived, Propose, TimerExpired
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.fleet.replication.state_transfer import StateReceiver, StateSender


class Small:
    """Three voters, two changes at two of them, messages in the order in which they were sent but for the deviations
    that a schedule names by the number of the step: the message is lost, put last, or its receiver dies, before it or
    once the answer is kept and not sent."""

    def __init__(self, schedule: dict[int, str]) -> None:
        self.schedule, self.now, self.step = schedule, 0.0, 0
        self.queue: list[tuple[str, str, Any]] = []
        self.ended: dict[str, CommandCompleted] = {}
        self.disks: dict[str, dict[str, Any]] = {}
        self.logs: dict[int, set[str]] = {}
        self.all: dict[str, PaxosReplica] = {}
        for name in ("a", "b", "c"):
            self.disks[name] = {"state": b"", "log": {}, "vote": None, "met": {}, "opened": 0}
            self.start(name)
        for name, other in (("a", "b"), ("a", "c"), ("b", "a"), ("b", "c"), ("c", "a"), ("c", "b")):
            self.all[name].registration.confirmed_voters.add(other)

    def start(self, name: str) -> None:
        disk = self.disks[name]
        disk["opened"] += 1
        said = ReplicatedState({"a": "", "b": "", "c": ""})
        if disk["state"]:
            said.install_snapshot(disk["state"])
        made = PaxosReplica(name, f"s{name}", disk["opened"] << 20, said, random.Random(1))
        made.restore(copy.copy(disk["vote"]), dict(disk["met"]), dict(disk["log"]))
        self.all[name] = made

    def keep(self, name: str, action: Persist, dies: bool) -> None:
        disk = self.disks[name]
        disk["vote"] = action.acceptor_state or disk["vote"]
        if action.observed_store:
            disk["met"][action.observed_store[0]] = action.observed_store[1]
        if not dies:
            self.queue.extend((name, say.to, say.message) for say in action.then_send)

    def hand(self, name: str, event: Any, dies: bool = False) -> None:
        versions, disk = self.all[name], self.disks[name]
        for action in versions.handle(self.now, event):
            if isinstance(action, SendMessage):
                self.queue.append((name, action.to, action.message))
            elif isinstance(action, Persist):
                self.keep(name, action, dies)
            elif isinstance(action, (CommandApplied, SnapshotInstalled)):
                disk["state"], disk["log"] = versions.state.encode(), dict(versions.command_log)
                for version, change in versions.command_log.items():
                    self.logs.setdefault(version, set()).add(change.id)
            elif isinstance(action, RequestStateTransfer):
                for part in StateSender(self.all[action.source]).answer(
                    form.StateRequest(versions.state.version)
                ):
                    found, _ = StateReceiver().take(part)
                    if found is not None:
                        self.hand(name, found)
            elif isinstance(action, CommandCompleted):
                self.ended[action.command_id] = action

    def deliver(self) -> None:
        sender, to, message = self.queue.pop(0)
        deviation = self.schedule.get(self.step)
        self.step += 1
        if deviation == "lost":
            return
        if deviation == "late":
            self.queue.append((sender, to, message))
            return
        if deviation == "dies before":
            self.start(to)
            return
        self.hand(to, MessageReceived(sender, message), deviation == "dies after")
        if deviation == "dies after":
            self.start(to)

    def play(self) -> None:
        self.hand("a", Propose(override_command(1), 8.0))
        self.hand("b", Propose(override_command(2, word=None), 8.0))
        for _ in range(60):
            while self.queue and self.step < 2_000:
                self.deliver()
            if len(self.ended) == 2:
                break
            self.now += 0.15
            for name in self.all:
                others = tuple(other for other in self.all if other != name)
                self.hand(name, TimerExpired(others))
        for version, ids in self.logs.items():
            assert len(ids) == 1, f"two orders at version {version}: {ids}"
        by_version = {version: next(iter(ids)) for version, ids in self.logs.items()}
        for ended in self.ended.values():
            if ended.version:
                assert by_version[ended.version] == ended.command_id
        found = [one for one in by_version.values() if one]
        assert len(found) == len(set(found)), "a change stands twice"


KINDS = ("lost", "late", "dies before", "dies after")


def walk(steps: int, deviations: int) -> int:
    """All schedules with so many deviations within the first steps; how many there are."""
    count = 0
    places = [(step, kind) for step in range(steps) for kind in KINDS]
    for chosen in combinations(places, deviations):
        schedule = dict(chosen)
        if len(schedule) == deviations:
            Small(schedule).play()
            count += 1
    return count


def test_every_schedule_of_two_deviations_keeps_one_order() -> None:
    whole = Small({})
    whole.play()
    assert sorted(one.version for one in whole.ended.values()) == [1, 2]
    assert walk(24, 1) == 96 and walk(24, 2) == 16 * 276


def test_the_walk_finds_a_majority_of_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ReplicatedState, "majority", property(lambda self: 1))
    with pytest.raises(AssertionError):
        walk(24, 1)
        walk(24, 2)
