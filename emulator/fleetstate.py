"""Simulates replicas in virtual time: the real Paxos replica and lease over a faulty network and faulty disks."""

from __future__ import annotations

import copy
import random
from typing import Any, Callable

from emulator.clock import Clock
from loadbalancer.fleet.replication import messages
from loadbalancer.fleet.replication.actions import (
    Action,
    AdmitStore,
    CommandApplied,
    CommandCompleted,
    Persist,
    RequestStateTransfer,
    SendMessage,
    SnapshotInstalled,
)
from loadbalancer.fleet.replication.commands import Command
from loadbalancer.fleet.replication.events import Event, MessageReceived, Propose, StoreAdmitted, TimerExpired
from loadbalancer.fleet.replication.lease import FIRST_NUMBER_BITS, Lease
from loadbalancer.fleet.replication.messages import AcceptorState, ObservedStore
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.fleet.replication.state_transfer import StateReceiver, StateSender
from loadbalancer.fleet.replication.voter_registration import GENERATION_NONCE_BITS


class Disk:
    """Holds the persistent state of one instance.

    `store` is the identity of the store, which differs for a new disk; `is_new` means that it is not admitted yet.
    The first disks of a model are those of a founded fleet, unless the model is created with `founded=False`.
    """

    def __init__(self, store: str, is_new: bool = False) -> None:
        self.store, self.opened, self.is_new = store, 0, is_new
        self.acceptor_state: AcceptorState | None = None
        self.observed_stores: dict[str, ObservedStore] = {}
        self.state: bytes = b""
        self.log: dict[int, Command] = {}


class Instance:
    """Simulates one process and its disk.

    `lives` counts its starts, and `ended` holds the results of its commands by identifier. A stopped
    process handles the pending calls when it is resumed.
    """

    def __init__(self, model: StateModel, name: str) -> None:
        self.model, self.name = model, name
        self.disk = Disk(f"{name}-s1", is_new=not model.founded)
        self.up = self.stopped = False
        self.lives = 0
        self.pending_calls: list[Callable[[], None]] = []
        self.ended: dict[str, CommandCompleted] = {}
        self.drift = 1.0  # seconds of its clock per second of real time

    def clock(self) -> float:
        """Return the time of the instance's own clock."""
        return self.model.clock.now * self.drift

    def start(self) -> None:
        """Start a new process with the current disk."""
        self.lives += 1
        self.up, self.stopped, self.pending_calls = True, False, []
        self.disk.opened += 1
        first_number = 1 + self.model.random.getrandbits(FIRST_NUMBER_BITS)
        self.lease = Lease(self.model.max_staleness, serves_when_expired=False, first_number=first_number)
        self.replica = self._make_replica()
        self.state_sender, self.state_receiver = StateSender(self.replica), StateReceiver()
        self.do_later(self.model.fsync, self._enable_vote)
        self.tick(self.lives)

    def _enable_vote(self) -> None:
        """Give the replica its store, once the opening of the store is on disk."""
        self.replica.store_id = self.disk.store

    def _make_replica(self) -> PaxosReplica:
        disk, source = self.disk, self.model.random
        state = ReplicatedState(dict.fromkeys(self.model.voters, ""))
        if disk.state:
            state.install_snapshot(disk.state)
        generation = disk.opened << GENERATION_NONCE_BITS | source.getrandbits(GENERATION_NONCE_BITS)
        replica = PaxosReplica(
            self.name,
            "",
            generation,
            state,
            random.Random(source.getrandbits(40)),
            self.lease.active_leaseholders,
        )
        replica.restore(
            copy.deepcopy(disk.acceptor_state),
            dict(disk.observed_stores),
            dict(disk.log),
            is_new_store=disk.is_new,
        )
        return replica

    def kill(self) -> None:
        self.up = False

    def stop(self) -> None:
        self.stopped = True

    def lose_disk(self) -> None:
        """Kill the process and replace its disk by an empty one with a new store."""
        self.up = False
        self.disk = Disk(f"{self.name}-s{self.lives + 2}", is_new=True)

    def do_later(self, wait: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call that is dropped if the process has ended or restarted by then."""
        self.model.clock.after(wait, self.run, self.lives, call, arguments)

    def run(self, life: int, call: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        """Call a function if the process `life` still runs; while the process is stopped, defer the call."""
        if not self.up or life != self.lives:
            return
        if self.stopped:
            self.pending_calls.append(lambda: call(*arguments))
        else:
            call(*arguments)

    def resume(self) -> None:
        """Resume a stopped process and make its pending calls."""
        self.stopped = False
        pending_calls, self.pending_calls = self.pending_calls, []
        for call in pending_calls:
            call()

    def tick(self, life: int) -> None:
        """Run the timers of the replica and of the lease that are due, and schedule the next tick."""
        if not self.up or life != self.lives:
            return
        self.handle(
            TimerExpired(
                tuple(
                    instance.name
                    for instance in self.model.all.values()
                    if instance.up and instance is not self
                )
            )
        )
        now = self.clock()
        if now >= self.lease.next_timer:
            number = self.lease.request(now)
            for name in self.replica.state.voters:
                self.send(name, messages.LeaseRequest(number, self.replica.state.version))
        due = min(self.replica.next_timer, self.lease.next_timer)
        self.do_later(min(0.5, max(0.005, due - now)), self.tick, self.lives)

    def handle(self, event: Event) -> None:
        for action in self.replica.handle(self.clock(), event):
            self.perform(action)

    def perform(self, action: Action) -> None:
        replica = self.replica
        if isinstance(action, SendMessage):
            self.send(action.to, action.message)
        elif isinstance(action, Persist):
            self.do_later(self.model.fsync, self.persist, action)
        elif isinstance(action, AdmitStore):
            self.do_later(self.model.fsync, self.admit)
        elif isinstance(action, (CommandApplied, SnapshotInstalled)):
            self.disk.state = replica.state.encode()
            self.disk.log = dict(replica.command_log)
            self.lease.extend(replica.state.majority, replica.state.version)
        elif isinstance(action, RequestStateTransfer):
            self.do_later(self.model.delay, self.transfer_state, action.source)
        elif isinstance(action, CommandCompleted):
            self.ended[action.command_id] = action

    def persist(self, action: Persist) -> None:
        if action.acceptor_state is not None and action.acceptor_state.slot == self.replica.state.version + 1:
            self.disk.acceptor_state = copy.deepcopy(action.acceptor_state)
        if action.observed_store is not None:
            self.disk.observed_stores[action.observed_store[0]] = action.observed_store[1]
        for outgoing in action.then_send:
            self.send(outgoing.to, outgoing.message)

    def admit(self) -> None:
        self.disk.is_new = False
        self.handle(StoreAdmitted())

    def send(self, to: str, message: Any) -> None:
        self.model.send(self.name, to, message)

    def receive(self, sender: str, message: Any) -> None:
        now = self.clock()
        replica = self.replica
        if isinstance(message, messages.LeaseRequest):
            if replica.can_vote:
                self.lease.grant(now, sender)
                self.send(sender, messages.LeaseGrant(message.number, replica.highest_accepted_version, now))
        elif isinstance(message, messages.LeaseGrant):
            self.lease.granted(
                now,
                message.number,
                sender,
                message.highest_known_version,
                message.clock,
                replica.state.majority,
                replica.state.version,
            )
        else:
            self.handle(MessageReceived(sender, message))

    def transfer_state(self, name: str) -> None:
        other = self.model.all[name]
        if not other.up or other.stopped or {(self.name, name), (name, self.name)} & self.model.cut:
            return
        for message in other.state_sender.answer(
            self.state_receiver.next_request(self.replica.state.version)
        ):
            event, last = self.state_receiver.receive(message)
            if event is not None:
                self.handle(event)
            if last:
                break
        # As in the product: instances that wait for an announcement get it.
        for action in self.replica.announce_to_all():
            self.perform(action)

    def propose(self, change: Command, seconds: float = 5.0, if_version: int = -1) -> None:
        self.handle(Propose(change, self.clock() + seconds, if_version))


class StateModel:
    """Simulates all instances and a network with loss, delay, duplication and cuts by pair and direction."""

    def __init__(
        self, count: int, seed: int, max_staleness: float = 2.0, kept: int = 1024, founded: bool = True
    ) -> None:
        self.founded = founded
        self.random = random.Random(seed)
        self.clock = Clock()
        self.delay, self.fsync, self.loss, self.duplication = 0.001, 0.002, 0.0, 0.0
        self.max_staleness = max_staleness
        self.cut: set[tuple[str, str]] = set()
        self.voters = [f"i{number}" for number in range(count)]
        self.all = {name: Instance(self, name) for name in self.voters}

    def join(self, count: int) -> None:
        """Add instances that do not vote and have no store."""
        for number in range(len(self.all), len(self.all) + count):
            instance = self.all[f"i{number}"] = Instance(self, f"i{number}")
            instance.disk.store = ""

    def send(self, sender: str, to: str, message: Any) -> None:
        target = self.all.get(to)
        if target is None or (sender, to) in self.cut:
            return
        if sender == to:
            target.do_later(0.0, target.receive, sender, message)
            return
        for _ in range(2 if self.random.random() < self.duplication else 1):
            if self.random.random() >= self.loss:
                delay_factor = 20 if self.random.random() < 0.02 else 1
                wait = self.delay * (1 + self.random.random()) * delay_factor
                self.clock.after(wait, self._deliver, target, sender, message)

    @staticmethod
    def _deliver(target: Instance, sender: str, message: Any) -> None:
        """Deliver a message to the current process of the target; a delayed one may reach a later process."""
        target.run(target.lives, target.receive, (sender, message))

    def partition(self, *sides: list[str]) -> None:
        """Cut the network between these groups in both directions; any earlier cuts are replaced."""
        self.cut = {
            (a, b) for side in sides for other in sides if side is not other for a in side for b in other
        }

    def heal(self) -> None:
        self.cut = set()

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.second + seconds)

    def until(self, condition: Callable[[], bool], limit: float, step: float = 0.01) -> float | None:
        """Return the seconds until the condition holds, or None if it does not within `limit` seconds."""
        start = self.clock.second
        while self.clock.second - start < limit:
            if condition():
                return self.clock.second - start
            self.run(step)
        return None

    @property
    def up(self) -> list[Instance]:
        """The instances that are up and not stopped."""
        return [instance for instance in self.all.values() if instance.up and not instance.stopped]

    def states_agree(self) -> bool:
        """Tell whether all running instances have the same replicated state."""
        return len({instance.replica.state.digest() for instance in self.up}) == 1

    def all_may_act(self) -> bool:
        """Tell whether all instances that are up hold a valid lease."""
        return all(instance.lease.may_act(instance.clock()) for instance in self.up)
