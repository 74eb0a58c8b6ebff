"""The membership view without I/O: random network faults, and injected defects that the same checks must detect."""

from __future__ import annotations

import math
import random
from itertools import product
from typing import Any, Callable

import pytest

from emulator.fleetview import FleetModel
from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.membership.events import Action, PacketReceived, SendPacket, TimerExpired
from loadbalancer.fleet.membership.failure_detector import FailureDetector
from loadbalancer.fleet.membership.member_table import MAX_NAMES, Peer
from loadbalancer.fleet.membership.name_conflicts import NameConflicts
from loadbalancer.fleet.membership.reconnection import Reconnection
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.settings import PROFILES, Identity, Settings
from loadbalancer.fleet.wire import GossipReply, Hello, Message, Packet, Ping

#: Seconds within which all agree once the network works and no process dies any more (docs/design/fleet-view.md).
SETTLE_S = 20.0


def model_after_random_faults(seed: int) -> FleetModel:
    """Return eight instances after a minute of random faults, with the network healed.

    All processes run except those that the faults have killed.
    """
    source = random.Random(seed)
    model = FleetModel(8, seed)
    model.net.loss, model.net.duplication = source.choice((0.0, 0.01, 0.05)), source.choice((0.0, 0.05))
    model.net.delay = source.choice((0.001, 0.02))
    for instance in model.instances:
        model.clock.after(source.random(), instance.start)
    model.run(3)
    for _ in range(12):
        inject_fault(model, source)
        model.run(source.choice((0.2, 1.0, 5.0, 15.0)))
    model.heal()
    model.net.loss = 0.0
    for instance in model.instances:
        instance.slow = 0.0
        if instance.stopped:
            instance.resume()
    return model


def inject_fault(model: FleetModel, source: random.Random) -> None:
    instance = source.choice(model.instances)
    fault = source.choice(("kill", "kill", "stop", "part", "oneway", "heal", "slow"))
    if fault == "kill":
        instance.kill() if instance.up and not instance.stopped else instance.start()
    elif fault == "stop":
        instance.resume() if instance.stopped else instance.stop()
    elif fault == "part":
        order = source.sample(range(8), 8)
        at = source.randint(1, 7)
        model.partition(order[:at], order[at:])
    elif fault == "oneway":
        model.net.cut |= {(instance.number, other) for other in range(8)}
    elif fault == "slow":
        instance.slow = source.choice((0.0, 0.03, 0.1))
    else:
        model.heal()


@pytest.mark.parametrize("seed", range(60))
def test_live_members_agree_within_the_bound_after_random_faults(seed: int) -> None:
    model = model_after_random_faults(seed)

    settled_after = model.until(model.settled, SETTLE_S)

    assert settled_after is not None
    assert not model.wrongly_dead()
    for instance in model.up:
        assert len(instance.view.table.peers) <= 7
        assert len(instance.view.gossip_queue) <= 8


@pytest.mark.parametrize("size", [1, 2, 3, 5, 40])
def test_fleet_of_any_size_settles_after_start_crash_and_restart_of_a_member(size: int) -> None:
    model = FleetModel(size, size)
    assert model.start_all(20.0) is not None
    if size > 1:
        model.instances[-1].kill()
        assert model.until(model.settled, 20.0) is not None
        model.instances[-1].start()
        assert model.until(model.settled, 20.0) is not None
        assert model.instances[-1].view.own_state.generation == 2


def test_join_settles_for_every_schedule_of_its_first_six_datagrams() -> None:
    """Three instances; all 4 ** 6 combinations of what happens to the first six datagrams of the third."""
    for deliveries in product(("", "gone", "twice", "late"), repeat=6):
        model = FleetModel(3, 1)
        model.instances[0].start()
        model.instances[1].start()
        assert model.until(model.settled, 10.0) is not None
        model.net.scheduled_faults = list(deliveries)
        model.instances[2].start()
        assert model.until(model.settled, SETTLE_S) is not None, deliveries


# Checks, and the injected defects that each of them must detect.


def partition_heals() -> bool:
    """Return whether two halves, partitioned for a minute and without seeds, agree in time once they are joined."""
    model = FleetModel(8, 3)
    assert model.start_all() is not None
    for instance in model.instances:
        instance.view.joining.seeds = ()
    model.partition(range(4), range(4, 8))
    model.run(60)
    model.heal()
    return model.until(model.settled, SETTLE_S) is not None


def stopped_process_returns() -> bool:
    """Return whether a process that is resumed after it was declared dead returns in the same generation."""
    model = FleetModel(8, 4)
    assert model.start_all() is not None
    stopped = model.instances[5]
    stopped.stop()
    model.run(20)
    stopped.resume()
    return model.until(model.settled, SETTLE_S) is not None and stopped.view.own_state.generation == 1


def own_stall_causes_no_deaths() -> bool:
    """Return whether an instance that was stopped while it suspected another declares nobody dead when resumed.

    The datagrams that arrived while it was stopped are lost.
    """
    model = FleetModel(8, 6)
    assert model.start_all() is not None
    observer, suspect = model.instances[5], model.instances[6]
    suspect.stop()

    def is_suspected() -> bool:
        return observer.view.table.peers["i6"].state.status == MemberStatus.SUSPECT

    assert model.until(is_suspected, 10.0) is not None
    observer.stop()
    suspect.resume()
    model.run(20)
    observer.queued_events.clear()
    observer.resume()
    settled = model.until(model.settled, SETTLE_S) is not None
    return settled and not observer.view.counters["died"]


def indirect_probes_prevent_suspicion() -> bool:
    """Return whether nobody is suspected while the path between two instances is cut for a minute."""
    model = FleetModel(8, 5)
    assert model.start_all() is not None
    model.net.cut = {(2, 3), (3, 2)}
    model.run(60)
    return not any(instance.view.counters["suspected"] for instance in model.instances)


def send_no_hello(self: Reconnection, now: float, peer: Peer) -> None:
    peer.reconnect_at = math.inf


def ignore_own_state(self: NameConflicts, now: float, state: MemberState) -> None:
    pass


def ignore_stall(self: FailureDetector, now: float, stall_s: float) -> None:
    pass


def request_no_indirect_probes(self: FailureDetector) -> None:
    self._timeout_at = math.inf


DEFECTS: dict[str, tuple[Callable[[], bool], type, str, Callable[..., None]]] = {
    "no hellos to dead members": (partition_heals, Reconnection, "_send_hello", send_no_hello),
    "no refutation after a partition": (partition_heals, NameConflicts, "on_state", ignore_own_state),
    "no refutation after a stop": (stopped_process_returns, NameConflicts, "on_state", ignore_own_state),
    "own stalls are not compensated": (
        own_stall_causes_no_deaths,
        FailureDetector,
        "_handle_stall",
        ignore_stall,
    ),
    "no indirect probes": (
        indirect_probes_prevent_suspicion,
        FailureDetector,
        "_request_indirect_probes",
        request_no_indirect_probes,
    ),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_check_passes_and_fails_with_its_defect_injected(
    defect: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    check, owner, method, broken = DEFECTS[defect]
    assert check()

    monkeypatch.setattr(owner, method, broken)

    assert not check()


# Single rules.


def member_view(name: str = "a") -> MembershipView:
    """Return the view of an instance that has joined alone."""
    view = MembershipView(Identity(name, 5, ("10.0.0.1", 1)), Settings(instances=3), 1)
    view.handle(0.0, TimerExpired())
    view.handle(2.1, TimerExpired())
    assert view.state == "member"
    return view


def member(
    name: str,
    boot: int = 9,
    status: MemberStatus = MemberStatus.ALIVE,
    generation: int = 1,
    incarnation: int = 0,
) -> MemberState:
    return MemberState(name, boot, generation, incarnation, status, "10.0.0.1", 2)


def receive(
    view: MembershipView,
    now: float,
    *states: MemberState,
    receiver_boot: int = 5,
    message: Message | None = None,
) -> list[Action]:
    """Deliver a packet of instance `b` to a view."""
    packet = Packet("b", 9, receiver_boot, 1, message or GossipReply(), states)
    return view.handle(now, PacketReceived(packet))


def test_a_packet_for_another_process_changes_nothing() -> None:
    view = member_view()
    before = view.table.digest

    actions = receive(view, 3.0, member("b"), receiver_boot=6)

    assert view.table.digest == before
    assert not view.table.peers
    assert actions == []


def test_a_hello_for_any_process_is_answered_and_changes_nothing() -> None:
    view = member_view()

    actions = receive(view, 3.0, receiver_boot=0, message=Hello("10.0.0.1", 2))

    assert [type(action) for action in actions] == [SendPacket]
    assert not view.table.peers


def test_dead_members_that_are_not_known_get_no_row() -> None:
    view = member_view()

    receive(view, 3.0, member("c", status=MemberStatus.DEAD), member("d", status=MemberStatus.LEFT))

    assert not view.table.peers


def test_state_of_greatest_rank_is_recorded_whatever_the_order_of_arrival() -> None:
    states = [
        member("b", status=status, incarnation=incarnation, generation=generation)
        for status in MemberStatus
        for incarnation in range(2)
        for generation in (1, 2)
    ]
    ranks = set()
    for seed in range(50):
        view = member_view()
        receive(view, 3.0, member("b"))
        for state in random.Random(seed).sample(states, len(states)):
            receive(view, 3.0, state)
        ranks.add(view.table.peers["b"].state.rank)
    assert ranks == {max(state.rank for state in states)}


def test_names_are_bounded_and_those_past_the_bound_are_counted() -> None:
    view = member_view()

    for number in range(MAX_NAMES + 10):
        receive(view, 3.0, member(f"n{number}", boot=number + 1))

    assert len(view.table.peers) == MAX_NAMES
    assert view.table.refused == 10
    assert len(view.gossip_queue) <= 4_096


def test_hot_restart_causes_no_suspicion_and_no_death() -> None:
    model = FleetModel(5, 7)
    assert model.start_all() is not None
    replaced = model.instances[2]
    generation, states = replaced.view.hand_over()
    waiting, replaced.queued_events = replaced.queued_events, []
    replaced.up = False

    replaced.start()  # another process with the same address
    replaced.view = MembershipView(Identity("i2", 99, replaced.address), replaced.view.settings, 3)
    for action in replaced.view.resume(model.clock.now, generation, states):
        replaced.perform(action)
    replaced.wake()

    assert model.until(model.settled, SETTLE_S) is not None
    assert not waiting
    for instance in model.instances:
        assert not instance.view.counters["died"]
        assert not instance.view.counters["suspected"]
    assert replaced.view.own_state.generation == 2


def test_timers_of_each_profile_are_consistent() -> None:
    for timers in PROFILES.values():
        assert timers.timeout * 2 <= timers.probe_interval
        assert (
            timers.first_reconnect_interval
            < timers.max_reconnect_interval
            < timers.max_late_reconnect_interval
        )
        assert timers.settle_time >= timers.probe_interval


def test_ping_of_an_unknown_member_is_answered_only_once_its_own_state_arrived() -> None:
    view = member_view()
    assert receive(view, 3.0, message=Ping(1, 1)) == []

    actions = receive(view, 3.1, member("b"), message=Ping(2, 1))

    sent: list[Any] = [action.message for action in actions if isinstance(action, SendPacket)]
    assert [type(message).__name__ for message in sent] == ["Ack"]
