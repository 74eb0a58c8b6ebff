"""One state for the fleet as a pure machine: random faults, an exhaustive walk, and defects that must be found."""

from __future__ import annotations

import copy
import random
from itertools import combinations
from typing import Any

import msgspec
import pytest

from emulator.fleetstate import Instance, StateModel
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.replication import messages as form
from loadbalancer.fleet.replication.actions import (
    CommandApplied,
    CommandCompleted,
    Persist,
    RequestStateTransfer,
    SendMessage,
    SnapshotInstalled,
)
from loadbalancer.fleet.replication.commands import MAX_BODY_BYTES, Command, MarkBody, RosterBody, write_body
from loadbalancer.fleet.replication.errors import StateError
from loadbalancer.fleet.replication.events import CommandsReceived, MessageReceived, Propose, TimerExpired
from loadbalancer.fleet.replication.lease import MAX_CLOCK_DRIFT, Lease
from loadbalancer.fleet.replication.proposer import Proposer
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.fleet.replication.state_transfer import CHUNK_BYTES, StateReceiver, StateSender
from loadbalancer.fleet.replication.voter_registration import VoterRegistration


def mark(number: int, member: str = "m", word: Any = "cordon") -> Command:
    body = MarkBody("p", {member: AdminOverride(word=word) if word else None})
    return Command(f"c{number}", "mark", write_body(body), "test")


class Watch:
    """What must hold at all times: one order, nothing lost that was said to stand, and nobody who may act on an older
    version once the time of a change that stands is over."""

    def __init__(self, model: StateModel) -> None:
        self.model = model
        self.order: dict[int, str] = {}
        self.stands: dict[str, tuple[int, float]] = {}  # changes: version, and when that was told
        self.refused: set[str] = set()

    def look(self) -> None:
        now = self.model.clock.now
        for one in self.model.all.values():
            if not one.lives:
                continue
            for version, change in one.versions.command_log.items():
                assert self.order.setdefault(version, change.id) == change.id, (
                    f"two orders at version {version}"
                )
            for ended in one.ended.values():
                if ended.version:
                    self.stands.setdefault(ended.command_id, (ended.version, now))
                elif "does not stand" in ended.reason:
                    self.refused.add(ended.command_id)
        for one in self.model.up:
            if one.fence.may_act(one.clock()):
                for version, at in self.stands.values():
                    waits = one.fence.expiry_with_drift + 0.1
                    assert one.versions.state.version >= version or now < at + waits, (
                        f"{one.name} acts on an old one"
                    )

    def end(self) -> None:
        """After all has healed."""
        log = self.model.up[0].versions.command_log
        ids = {change.id for change in log.values()}
        assert all(log[version].id == name for name, (version, _) in self.stands.items())
        assert not self.refused & ids, "a change that was refused stands"
        found = [change.id for change in log.values() if change.id]
        assert len(found) == len(set(found)), "a change stands twice"


def fault(model: StateModel, source: random.Random, step: int, lost: list[str]) -> None:
    """One thing that may happen; only one disk of a run is lost, since two would be more than is promised."""
    one = source.choice(list(model.all.values()))
    what = source.choice(("change", "change", "change", "kill", "stop", "part", "heal", "lose"))
    if what == "change" and one.up and not one.stopped:
        one.propose(mark(step, f"m{source.randrange(4)}", source.choice(("cordon", None))))
    elif what == "kill":
        one.kill() if one.up else one.start()
    elif what == "stop" and one.up:
        one.go_on() if one.stopped else one.stop()
    elif what == "part":
        order = source.sample(model.voters, len(model.voters))
        at = source.randint(1, len(order) - 1)
        model.part(order[:at], order[at:])
    elif what == "lose" and not lost and len(model.up) == len(model.all):
        lost.append(one.name)
        one.lose_disk()
        one.start()
    else:
        model.heal()


def random_faults(seed: int, steps: int = 60) -> Watch:
    """Changes at random instances while others are killed, stopped, cut off and healed."""
    source = random.Random(seed)
    model = StateModel(5, seed)
    model.loss, model.doubled = source.choice((0.0, 0.02, 0.1)), source.choice((0.0, 0.1))
    model.delay, model.fsync = (
        source.choice((0.001, 0.04)),
        source.choice((0.002, 0.06)),
    )  # wide enough to die in
    for one in model.all.values():
        one.drift = 1 + source.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) / 2
        one.start()
    watch, lost = Watch(model), list[str]()
    for step in range(steps):
        fault(model, source, step, lost)
        for _ in range(source.choice((1, 5, 30))):
            model.run(0.05)
            watch.look()
    model.heal()
    model.loss = 0.0
    for one in model.all.values():
        if one.stopped:
            one.go_on()
        if not one.up:
            one.start()
    assert model.until(model.agree, 10.0) is not None, "no agreement"
    model.all["i0"].propose(mark(9999))
    assert model.until(lambda: "c9999" in model.all["i0"].ended, 10.0) is not None
    assert model.all["i0"].ended["c9999"].version
    assert model.until(lambda: model.agree() and model.open(), 10.0) is not None, "not all may act"
    watch.look()
    watch.end()
    return watch


@pytest.mark.parametrize("seed", range(40))
def test_whatever_happens_there_is_one_order_and_nobody_acts_on_an_old_one_for_long(seed: int) -> None:
    random_faults(seed)


def test_the_schedules_do_something() -> None:
    found = [random_faults(seed) for seed in range(100, 110)]
    assert sum(len(watch.stands) for watch in found) > 60 and sum(len(watch.refused) for watch in found) > 5


def begun(voters: int, seed: int) -> StateModel:
    model = StateModel(voters, seed)
    for one in model.all.values():
        one.start()
    return model


def a_store_is_lost_between_two_majorities() -> None:
    """Three of five decide; one of them loses its store, and is up with the two that know nothing."""
    model = begun(5, 3)
    watch = Watch(model)
    model.run(2)
    model.part(["i0", "i1", "i2"], ["i3", "i4"])
    model.all["i0"].propose(mark(1))
    model.run(1)
    assert model.all["i0"].ended["c1"].version == 1
    watch.look()
    for one in model.all.values():
        one.kill()
    model.heal()
    model.all["i2"].lose_disk()
    for name in ("i2", "i3", "i4"):
        model.all[name].start()
    model.run(2)
    model.all["i3"].propose(mark(2))
    model.run(6)
    watch.look()
    for name in ("i0", "i1"):
        model.all[name].start()
    assert model.until(model.agree, 10.0) is not None
    watch.look()
    watch.end()


def a_voter_dies_between_its_vote_and_the_decision() -> None:
    """One of three has voted, and does not hear that it is decided; the one that decided dies, and so does it."""
    model = begun(3, 4)
    watch = Watch(model)
    model.run(2)
    model.part(["i0", "i1"], ["i2"])
    send = model.send

    def all_but_decisions(sender: str, to: str, message: Any) -> None:
        if not isinstance(message, (form.Decided, form.VersionAnnouncement)):
            send(sender, to, message)

    model.send = all_but_decisions  # type: ignore[method-assign]
    model.all["i0"].propose(mark(1))
    assert model.until(lambda: "c1" in model.all["i0"].ended, 2.0) is not None
    watch.look()
    model.all["i0"].kill()
    model.all["i1"].kill()
    model.send = send  # type: ignore[method-assign]
    model.heal()
    model.all["i1"].start()
    model.run(1)
    model.all["i1"].propose(mark(2))
    model.run(5)
    watch.look()
    model.all["i0"].start()
    assert model.until(model.agree, 10.0) is not None
    watch.look()
    watch.end()


def seeds() -> None:
    for seed in range(40):
        random_faults(seed)


DEFECTS: dict[str, tuple[Any, Any, str, Any]] = {
    "the fence is off": (seeds, Lease, "may_act", lambda self, now: True),
    "one is a majority": (seeds, ReplicatedState, "majority", property(lambda self: 1)),
    "a voter that lost its store votes": (
        a_store_is_lost_between_two_majorities,
        VoterRegistration,
        "on_greeting_reply",
        lambda self, sender, message: self.confirmed_voters.add(sender),
    ),
    "nothing is kept before an answer": (
        a_voter_dies_between_its_vote_and_the_decision,
        Instance,
        "keep",
        lambda self, action: [self.send(say.to, say.message) for say in action.then_send],
    ),
    "a refusal that is not sure": (
        seeds,
        Proposer,
        "_note_possibly_accepted",
        lambda self, command, slot: None,
    ),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_defect_is_found_by_the_same_schedules(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    scene, place, name, broken = DEFECTS[defect]
    scene()
    monkeypatch.setattr(place, name, broken)
    with pytest.raises(AssertionError):
        scene()


# Every schedule with few deviations.


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
        self.hand("a", Propose(mark(1), 8.0))
        self.hand("b", Propose(mark(2, word=None), 8.0))
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


# Rules one by one.


def test_a_state_of_another_build_is_behind_and_not_broken() -> None:
    said = ReplicatedState({"a": ""})
    versions = PaxosReplica("b", "", 0, said, random.Random(1))
    later = Command("x", "later", b"", "test")
    actions = versions.handle(0.0, CommandsReceived(1, (mark(1), later, mark(3))))
    assert said.version == 1 and versions.is_behind and "does not know" in versions.blocked_reason
    assert [type(one).__name__ for one in actions] == ["CommandApplied"]


@pytest.mark.parametrize("count", [3, 500, 5000])
def test_a_straggler_gets_changes_or_the_whole_and_goes_on_after_a_cut(count: int) -> None:
    ahead = PaxosReplica("a", "s", 1, ReplicatedState({"a": ""}), random.Random(1))
    for number in range(count):
        ahead.handle(0.0, CommandsReceived(number + 1, (mark(number, f"m{number}"),)))
    behind, taker = PaxosReplica("b", "", 0, ReplicatedState({"a": ""}), random.Random(1)), StateReceiver()
    cuts = 0
    while behind.state.version < count:
        for number, part in enumerate(StateSender(ahead).answer(taker.next_request(behind.state.version))):
            if cuts < 5 and number == 2:
                cuts += 1
                break  # the stream is cut; what has come stays
            assert len(msgspec.msgpack.encode(part)) < CHUNK_BYTES + 2048
            found, _ = taker.take(part)
            if found is not None:
                behind.handle(1.0, found)
    assert behind.state.digest() == ahead.state.digest()


def test_a_state_that_was_changed_on_the_way_is_not_taken() -> None:
    ahead = PaxosReplica("a", "s", 1, ReplicatedState({"a": ""}), random.Random(1))
    for number in range(2000):
        ahead.handle(0.0, CommandsReceived(number + 1, (mark(number, f"m{number}"),)))
    parts = list(StateSender(ahead).answer(form.StateRequest(0)))
    assert isinstance(parts[0], form.SnapshotChunk)
    taker = StateReceiver()
    with pytest.raises(ValueError, match="digest"):
        for number, part in enumerate(parts):
            assert isinstance(part, form.SnapshotChunk)
            data = part.data[:-1] + b"x" if number == 1 else part.data
            taker.take(msgspec.structs.replace(part, data=data))
    with pytest.raises(ValueError, match="follow"):
        taker.take(parts[1])
    assert taker.next_request(0).offset == 0


def test_what_is_said_is_bounded_and_checked() -> None:
    with pytest.raises(StateError, match=f"at most {MAX_BODY_BYTES}"):
        write_body(
            MarkBody("p", {f"member-{n}": AdminOverride(word="drain", reason="r" * 40) for n in range(40)})
        )
    said = ReplicatedState({"a": "", "b": ""})
    with pytest.raises(StateError, match="not on the roster"):
        said.check(Command("x", "roster", write_body(RosterBody("z", ""))))
    said.apply(Command("x", "roster", write_body(RosterBody("b", ""))))
    with pytest.raises(StateError, match="last one"):
        said.check(Command("y", "roster", write_body(RosterBody("a", ""))))


def test_a_change_only_after_a_version_is_refused_once_the_state_has_moved_on() -> None:
    model = begun(3, 1)
    model.run(1)
    model.all["i0"].propose(mark(1))
    model.run(1)
    model.all["i1"].propose(mark(2), if_version=0)
    model.all["i2"].propose(mark(3), if_version=1)
    model.run(1)
    assert "not 0; it does not stand" in model.all["i1"].ended["c2"].reason
    assert model.all["i2"].ended["c3"].version == 2


def test_a_clock_that_runs_away_shuts_its_instance_out() -> None:
    fence = Lease(10.0, False)
    for second in range(0, 60):
        number = fence.request(float(second))
        fence.granted(float(second), number, "v", 0, second * 1.2, 1, 0)
    assert fence.clock_drift and not fence.may_act(60.0)
    assert not Lease(10.0, False).may_act(0.0) and Lease(10.0, True).may_act(0.0)


def test_a_majority_of_stores_that_are_lost_takes_no_change_until_an_operator_says_so() -> None:
    model = begun(3, 1)
    model.run(1)
    model.all["i0"].propose(mark(1))
    model.run(1)
    for name in ("i1", "i2"):
        model.all[name].lose_disk()
        model.all[name].start()
    model.run(3)
    model.all["i0"].propose(mark(2))
    model.run(8)
    assert not model.all["i0"].ended["c2"].version
    assert not model.all["i1"].versions.can_vote and model.all["i1"].versions.vote_suspension
