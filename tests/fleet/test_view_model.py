"""The view as a pure state machine: random and exhaustive schedules of a network that can do what it likes, and defects
that the same checks must find."""

from __future__ import annotations

import math
import random
from itertools import product
from typing import Any, Callable

import pytest

from emulator.fleetview import FleetModel
from loadbalancer.fleet.membership.events import PacketReceived, SendPacket, TimerExpired
from loadbalancer.fleet.membership.failure_detector import FailureDetector
from loadbalancer.fleet.membership.member_state import MemberState, MemberStatus
from loadbalancer.fleet.membership.member_table import MAX_NAMES, Peer
from loadbalancer.fleet.membership.name_conflicts import NameConflicts
from loadbalancer.fleet.membership.reconnection import Reconnection
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.settings import PROFILES, Identity, Settings
from loadbalancer.fleet.wire import GossipReply, Hello, Packet, Ping

#: Seconds within which all agree once the network is whole and nobody dies any more (docs/design/fleet-view.md).
SETTLE_S = 20.0


def after_faults(seed: int) -> FleetModel:
    """A minute of whatever may happen to eight, then a sound network; all are up but those that stay down."""
    source = random.Random(seed)
    model = FleetModel(8, seed)
    model.net.loss, model.net.doubled = source.choice((0.0, 0.01, 0.05)), source.choice((0.0, 0.05))
    model.net.delay = source.choice((0.001, 0.02))
    for one in model.instances:
        model.clock.after(source.random(), one.start)
    model.run(3)
    for _ in range(12):
        one = source.choice(model.instances)
        what = source.choice(("kill", "kill", "stop", "part", "oneway", "heal", "slow"))
        if what == "kill":
            one.kill() if one.up and not one.stopped else one.start()
        elif what == "stop":
            one.go_on() if one.stopped else one.stop()
        elif what == "part":
            order = source.sample(range(8), 8)
            at = source.randint(1, 7)
            model.part(order[:at], order[at:])
        elif what == "oneway":
            model.net.cut |= {(one.number, other) for other in range(8)}
        elif what == "slow":
            one.slow = source.choice((0.0, 0.03, 0.1))
        else:
            model.heal()
        model.run(source.choice((0.2, 1.0, 5.0, 15.0)))
    model.heal()
    model.net.loss = 0.0
    for one in model.instances:
        one.slow = 0.0
        if one.stopped:
            one.go_on()
    return model


@pytest.mark.parametrize("seed", range(60))
def test_after_whatever_faults_all_that_live_agree_within_the_bound(seed: int) -> None:
    model = after_faults(seed)
    assert model.until(model.settled, SETTLE_S) is not None
    assert not model.held_dead()
    for one in model.up:
        assert len(one.view.table.peers) <= 7 and len(one.view.gossip_queue) <= 8


@pytest.mark.parametrize("size", [1, 2, 3, 5, 40])
def test_fleets_of_all_sizes_begin_at_once_and_miss_one(size: int) -> None:
    model = FleetModel(size, size)
    assert model.start_all(20.0) is not None
    if size > 1:
        model.instances[-1].kill()
        assert model.until(model.settled, 20.0) is not None
        model.instances[-1].start()
        assert model.until(model.settled, 20.0) is not None
        assert model.instances[-1].view.own_state.generation == 2


def test_every_schedule_of_the_first_datagrams_of_a_join_ends_in_agreement() -> None:
    """Three instances; what becomes of the first six datagrams once the third begins, in all 4 ** 6 ways."""
    for fates in product(("", "gone", "twice", "late"), repeat=6):
        model = FleetModel(3, 1)
        model.instances[0].start()
        model.instances[1].start()
        assert model.until(model.settled, 10.0) is not None
        model.net.fates = list(fates)
        model.instances[2].start()
        assert model.until(model.settled, SETTLE_S) is not None, fates


# Defects that must be found.


def heals() -> bool:
    """Halves for a minute, without seeds that could help; then agreement in time."""
    model = FleetModel(8, 3)
    assert model.start_all() is not None
    for one in model.instances:
        one.view.joining.seeds = ()
    model.part(range(4), range(4, 8))
    model.run(60)
    model.heal()
    return model.until(model.settled, SETTLE_S) is not None


def wakes() -> bool:
    """Stopped until it is dead to all, then woken: back in the same life."""
    model = FleetModel(8, 4)
    assert model.start_all() is not None
    one = model.instances[5]
    one.stop()
    model.run(20)
    one.go_on()
    return model.until(model.settled, SETTLE_S) is not None and one.view.own_state.generation == 1


def holds_no_grudge() -> bool:
    """Stopped just when it suspects another, and woken long after; what had come for it meanwhile is lost."""
    model = FleetModel(8, 6)
    assert model.start_all() is not None
    one, other = model.instances[5], model.instances[6]
    other.stop()
    assert (
        model.until(lambda: one.view.table.peers["i6"].state.status == MemberStatus.SUSPECT, 10.0) is not None
    )
    one.stop()
    other.go_on()
    model.run(20)
    one.waits.clear()
    one.go_on()
    found = model.until(model.settled, SETTLE_S) is not None
    return found and not one.view.counters["died"]


def goes_round() -> bool:
    """One way of many is cut for a minute: nobody is so much as suspected."""
    model = FleetModel(8, 5)
    assert model.start_all() is not None
    model.net.cut = {(2, 3), (3, 2)}
    model.run(60)
    return not any(one.view.counters["suspected"] for one in model.instances)


def call_nobody(self: Reconnection, now: float, peer: Peer) -> None:
    peer.reconnect_at = math.inf


def request_no_indirect_probes(self: FailureDetector) -> None:
    self._timeout_at = math.inf


DEFECTS: dict[str, tuple[Callable[[], bool], type, str, Callable[..., None]]] = {
    "the dead are not called": (heals, Reconnection, "_call", call_nobody),
    "nothing is refuted, after a partition": (heals, NameConflicts, "on_state", lambda self, now, state: None),
    "nothing is refuted, after a stop": (wakes, NameConflicts, "on_state", lambda self, now, state: None),
    "own stops count": (holds_no_grudge, FailureDetector, "_excuse_stall", lambda self, now, late: None),
    "nobody else tries": (goes_round, FailureDetector, "_request_indirect_probes", request_no_indirect_probes),
}  # fmt: skip


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_defect_makes_the_check_fail(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    check, place, name, broken = DEFECTS[defect]
    assert check()
    monkeypatch.setattr(place, name, broken)
    assert not check()


# Rules one by one.


def view(name: str = "a", **more: Any) -> MembershipView:
    made = MembershipView(Identity(name, 5, ("10.0.0.1", 1)), Settings(instances=3, **more), 1)
    made.handle(0.0, TimerExpired())
    made.handle(2.1, TimerExpired())
    assert made.state == "member"
    return made


def fact(
    name: str,
    boot: int = 9,
    standing: MemberStatus = MemberStatus.ALIVE,
    life: int = 1,
    incarnation: int = 0,
    port: int = 2,
) -> MemberState:
    return MemberState(name, boot, life, incarnation, standing, "10.0.0.1", port)


def hear(
    made: MembershipView, now: float, *facts: MemberState, sender: str = "b", to: int = 5, message: Any = None
) -> list[Any]:
    return made.handle(now, PacketReceived(Packet(sender, 9, to, 1, message or GossipReply(), facts)))


def test_what_was_meant_for_another_life_changes_nothing() -> None:
    made = view()
    before = made.table.digest
    actions = hear(made, 3.0, fact("b"), to=6)
    assert made.table.digest == before and not made.table.peers and actions == []
    answers = hear(made, 3.0, to=0, message=Hello("10.0.0.1", 2))
    assert [type(one) for one in answers] == [SendPacket] and not made.table.peers


def test_the_dead_of_others_who_are_not_known_spread_no_further() -> None:
    made = view()
    hear(made, 3.0, fact("c", standing=MemberStatus.DEAD), fact("d", standing=MemberStatus.LEFT))
    assert not made.table.peers


def test_a_word_of_less_rank_changes_nothing_in_whatever_order_words_come() -> None:
    words = [
        fact("b", standing=state, incarnation=n, life=life)
        for state in MemberStatus
        for n in range(2)
        for life in (1, 2)
    ]
    found = set()
    for seed in range(50):
        made = view()
        hear(made, 3.0, fact("b"))
        for word in random.Random(seed).sample(words, len(words)):
            hear(made, 3.0, word)
        found.add(made.table.peers["b"].state.rank)
    assert found == {max(word.rank for word in words)}


def test_names_are_bounded_and_those_past_the_bound_are_counted() -> None:
    made = view()
    for number in range(MAX_NAMES + 10):
        hear(made, 3.0, fact(f"n{number}", boot=number + 1))
    assert len(made.table.peers) == MAX_NAMES and made.table.refused == 10
    assert len(made.gossip_queue) <= 4_096


def test_a_place_that_is_passed_on_makes_no_death() -> None:
    model = FleetModel(5, 7)
    assert model.start_all() is not None
    old = model.instances[2]
    life, facts = old.view.hand_over()
    waits, old.waits = old.waits, []
    old.up = False
    old.start()  # another process at the same sockets
    old.view = MembershipView(Identity("i2", 99, old.address), old.view.settings, 3)
    for action in old.view.resume(model.clock.now, life, facts):
        old.do(action)
    old.wake()
    assert model.until(model.settled, SETTLE_S) is not None and not waits
    for one in model.instances:
        assert not one.view.counters["died"] and not one.view.counters["suspected"]
    assert old.view.own_state.generation == 2


def test_timers_of_all_profiles_hold_together() -> None:
    for timers in PROFILES.values():
        assert timers.timeout * 2 <= timers.period and timers.try_first < timers.try_most < timers.try_late
        assert timers.hold >= timers.period


def test_a_ping_of_one_that_is_not_known_gets_no_answer_and_its_word_makes_it_known() -> None:
    made = view()
    assert hear(made, 3.0, message=Ping(1, 1)) == []
    actions = hear(made, 3.1, fact("b"), message=Ping(2, 1))
    assert [type(one.message).__name__ for one in actions if isinstance(one, SendPacket)] == ["Ack"]
