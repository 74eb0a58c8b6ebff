"""Exhaustive schedules of three replicas with up to two deviations from a run without faults."""

from __future__ import annotations

import copy
import random
from itertools import combinations
from typing import Any

import pytest
from replica_model import override_command

from loadbalancer.fleet.replication import messages
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


class ScheduledCluster:
    """Three voters, two of which propose one command each; messages are delivered in the order in which they were sent.

    A schedule names deviations by the number of the step: the message is lost, or moved to the end of the queue, or its
    receiver crashes, either before it receives the message or after its reply is on disk and before it is sent.
    """

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
        state = ReplicatedState({"a": "", "b": "", "c": ""})
        if disk["state"]:
            state.install_snapshot(disk["state"])
        replica = PaxosReplica(name, f"s{name}", disk["opened"] << 20, state, random.Random(1))
        replica.restore(copy.copy(disk["vote"]), dict(disk["met"]), dict(disk["log"]))
        self.all[name] = replica

    def persist(self, name: str, action: Persist, crashes: bool) -> None:
        disk = self.disks[name]
        disk["vote"] = action.acceptor_state or disk["vote"]
        if action.observed_store:
            disk["met"][action.observed_store[0]] = action.observed_store[1]
        if not crashes:
            self.queue.extend((name, pending.to, pending.message) for pending in action.then_send)

    def handle(self, name: str, event: Any, crashes: bool = False) -> None:
        replica, disk = self.all[name], self.disks[name]
        for action in replica.handle(self.now, event):
            if isinstance(action, SendMessage):
                self.queue.append((name, action.to, action.message))
            elif isinstance(action, Persist):
                self.persist(name, action, crashes)
            elif isinstance(action, (CommandApplied, SnapshotInstalled)):
                disk["state"], disk["log"] = replica.state.encode(), dict(replica.command_log)
                for version, command in replica.command_log.items():
                    self.logs.setdefault(version, set()).add(command.id)
            elif isinstance(action, RequestStateTransfer):
                for part in StateSender(self.all[action.source]).answer(
                    messages.StateRequest(replica.state.version)
                ):
                    received, _ = StateReceiver().receive(part)
                    if received is not None:
                        self.handle(name, received)
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
        if deviation == "crashes before":
            self.start(to)
            return
        self.handle(to, MessageReceived(sender, message), deviation == "crashes after")
        if deviation == "crashes after":
            self.start(to)

    def run(self) -> None:
        self.handle("a", Propose(override_command(1), 8.0))
        self.handle("b", Propose(override_command(2, word=None), 8.0))
        for _ in range(60):
            while self.queue and self.step < 2_000:
                self.deliver()
            if len(self.ended) == 2:
                break
            self.now += 0.15
            for name in self.all:
                others = tuple(other for other in self.all if other != name)
                self.handle(name, TimerExpired(others))
        for version, ids in self.logs.items():
            assert len(ids) == 1, f"several commands are decided for version {version}: {ids}"
        by_version = {version: next(iter(ids)) for version, ids in self.logs.items()}
        for ended in self.ended.values():
            if ended.version:
                assert by_version[ended.version] == ended.command_id
        decided_ids = [command_id for command_id in by_version.values() if command_id]
        assert len(decided_ids) == len(set(decided_ids)), "a command was decided twice"


DEVIATIONS = ("lost", "late", "crashes before", "crashes after")


def run_all_schedules(steps: int, deviations: int) -> int:
    """Run all schedules with this many deviations within the first `steps` steps; return their number."""
    count = 0
    candidates = [(step, kind) for step in range(steps) for kind in DEVIATIONS]
    for chosen in combinations(candidates, deviations):
        schedule = dict(chosen)
        if len(schedule) == deviations:
            ScheduledCluster(schedule).run()
            count += 1
    return count


def test_every_schedule_with_up_to_two_deviations_keeps_one_order() -> None:
    cluster = ScheduledCluster({})
    cluster.run()
    assert sorted(completed.version for completed in cluster.ended.values()) == [1, 2]
    assert run_all_schedules(24, 1) == 96 and run_all_schedules(24, 2) == 16 * 276


def test_schedules_detect_a_majority_of_one_voter(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ReplicatedState, "majority", property(lambda self: 1))
    with pytest.raises(AssertionError):
        run_all_schedules(24, 1)
        run_all_schedules(24, 2)
