"""Replicas in virtual time: the program's own Paxos replica and lease, over a network and disks that fail at will."""

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
    """What one instance has kept.

    `store`: its identity; a new disk has another. `is_new`: the store is not admitted. The first disks of a model are
    those of a fleet that has been founded, unless it is told otherwise.
    """

    def __init__(self, store: str, is_new: bool = False) -> None:
        self.store, self.opened, self.is_new = store, 0, is_new
        self.acceptor_state: AcceptorState | None = None
        self.observed_stores: dict[str, ObservedStore] = {}
        self.state: bytes = b""
        self.log: dict[int, Command] = {}


class Instance:
    """One process over its disk.

    `lives` counts its starts, and `ended` holds what became of its commands, by identifier. `versions` is its replica,
    `fence` its lease. A stopped process takes up what has come meanwhile when it goes on.
    """

    def __init__(self, model: StateModel, name: str) -> None:
        self.model, self.name = model, name
        self.disk = Disk(f"{name}-s1", is_new=not model.founded)
        self.up = self.stopped = False
        self.lives = 0
        self.pending_calls: list[Callable[[], None]] = []
        self.ended: dict[str, CommandCompleted] = {}
        self.drift = 1.0  # seconds of its clock for a true one

    def clock(self) -> float:
        return self.model.clock.now * self.drift

    def start(self) -> None:
        """Begin a new life over the disk as it is."""
        self.lives += 1
        self.up, self.stopped, self.pending_calls = True, False, []
        self.disk.opened += 1
        first_number = 1 + self.model.random.getrandbits(FIRST_NUMBER_BITS)
        self.fence = Lease(self.model.stale_most, serves_when_expired=False, first_number=first_number)
        self.versions = self._make_replica()
        self.state_sender, self.state_receiver = StateSender(self.versions), StateReceiver()
        self.do_later(self.model.fsync, self._enable_vote)
        self.tick(self.lives)

    def _enable_vote(self) -> None:
        """The opening of the store is on disk, before which the replica has none."""
        self.versions.store_id = self.disk.store

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
            self.fence.active_leaseholders,
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
        """The store is gone; the next start has a new one."""
        self.up = False
        self.disk = Disk(f"{self.name}-s{self.lives + 2}", is_new=True)

    def do_later(self, wait: float, call: Callable[..., None], *arguments: Any) -> None:
        self.model.clock.after(wait, self.run, self.lives, call, arguments)

    def run(self, life: int, call: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        """In this life, and not while it is stopped."""
        if not self.up or life != self.lives:
            return
        if self.stopped:
            self.pending_calls.append(lambda: call(*arguments))
        else:
            call(*arguments)

    def go_on(self) -> None:
        self.stopped = False
        pending_calls, self.pending_calls = self.pending_calls, []
        for call in pending_calls:
            call()

    def tick(self, life: int) -> None:
        if not self.up or life != self.lives:
            return
        self.hand(
            TimerExpired(tuple(one.name for one in self.model.all.values() if one.up and one is not self))
        )
        now = self.clock()
        if now >= self.fence.next_timer:
            number = self.fence.request(now)
            for name in self.versions.state.voters:
                self.send(name, messages.LeaseRequest(number, self.versions.state.version))
        due = min(self.versions.next_timer, self.fence.next_timer)
        self.do_later(min(0.5, max(0.005, due - now)), self.tick, self.lives)

    def hand(self, event: Event) -> None:
        for action in self.versions.handle(self.clock(), event):
            self.perform(action)

    def perform(self, action: Action) -> None:
        versions = self.versions
        if isinstance(action, SendMessage):
            self.send(action.to, action.message)
        elif isinstance(action, Persist):
            self.do_later(self.model.fsync, self.keep, action)
        elif isinstance(action, AdmitStore):
            self.do_later(self.model.fsync, self.admit)
        elif isinstance(action, (CommandApplied, SnapshotInstalled)):
            self.disk.state = versions.state.encode()
            self.disk.log = dict(versions.command_log)
            self.fence.extend(versions.state.majority, versions.state.version)
        elif isinstance(action, RequestStateTransfer):
            self.do_later(self.model.delay, self.transfer_state, action.source)
        elif isinstance(action, CommandCompleted):
            self.ended[action.command_id] = action

    def keep(self, action: Persist) -> None:
        if (
            action.acceptor_state is not None
            and action.acceptor_state.slot == self.versions.state.version + 1
        ):
            self.disk.acceptor_state = copy.deepcopy(action.acceptor_state)
        if action.observed_store is not None:
            self.disk.observed_stores[action.observed_store[0]] = action.observed_store[1]
        for outgoing in action.then_send:
            self.send(outgoing.to, outgoing.message)

    def admit(self) -> None:
        self.disk.is_new = False
        self.hand(StoreAdmitted())

    def send(self, to: str, message: Any) -> None:
        self.model.send(self.name, to, message)

    def receive(self, sender: str, message: Any) -> None:
        now = self.clock()
        versions = self.versions
        if isinstance(message, messages.LeaseRequest):
            if versions.can_vote:
                self.fence.grant(now, sender)
                self.send(sender, messages.LeaseGrant(message.number, versions.highest_accepted_version, now))
        elif isinstance(message, messages.LeaseGrant):
            self.fence.granted(
                now,
                message.number,
                sender,
                message.highest_known_version,
                message.clock,
                versions.state.majority,
                versions.state.version,
            )
        else:
            self.hand(MessageReceived(sender, message))

    def transfer_state(self, name: str) -> None:
        other = self.model.all[name]
        if not other.up or other.stopped or {(self.name, name), (name, self.name)} & self.model.cut:
            return
        for message in other.state_sender.answer(
            self.state_receiver.next_request(self.versions.state.version)
        ):
            found, last = self.state_receiver.receive(message)
            if found is not None:
                self.hand(found)
            if last:
                break
        for action in (
            self.versions.announce_to_all()
        ):  # as the program does, so that who pending_calls for a word has it
            self.perform(action)

    def propose(self, change: Command, seconds: float = 5.0, if_version: int = -1) -> None:
        self.hand(Propose(change, self.clock() + seconds, if_version))


class StateModel:
    """All of them, and a network with loss, delay and cuts by pair and direction."""

    def __init__(
        self, count: int, seed: int, stale_most: float = 2.0, kept: int = 1024, founded: bool = True
    ) -> None:
        self.founded = founded
        self.random = random.Random(seed)
        self.clock = Clock()
        self.delay, self.fsync, self.loss, self.doubled = 0.001, 0.002, 0.0, 0.0
        self.stale_most = stale_most
        self.cut: set[tuple[str, str]] = set()
        self.voters = [f"i{number}" for number in range(count)]
        self.all = {name: Instance(self, name) for name in self.voters}

    def join(self, count: int) -> None:
        """So many more, which do not vote and keep nothing."""
        for number in range(len(self.all), len(self.all) + count):
            one = self.all[f"i{number}"] = Instance(self, f"i{number}")
            one.disk.store = ""

    def send(self, sender: str, to: str, message: Any) -> None:
        target = self.all.get(to)
        if target is None or (sender, to) in self.cut:
            return
        if sender == to:
            target.do_later(0.0, target.receive, sender, message)
            return
        for _ in range(2 if self.random.random() < self.doubled else 1):
            if self.random.random() >= self.loss:
                late = 20 if self.random.random() < 0.02 else 1
                wait = self.delay * (1 + self.random.random()) * late
                self.clock.after(wait, self._arrive, target, sender, message)

    @staticmethod
    def _arrive(target: Instance, sender: str, message: Any) -> None:
        """Into whatever life is there then: a message of long ago may come to another one."""
        target.run(target.lives, target.receive, (sender, message))

    def part(self, *sides: list[str]) -> None:
        self.cut = {
            (a, b) for one in sides for other in sides if one is not other for a in one for b in other
        }

    def heal(self) -> None:
        self.cut = set()

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.second + seconds)

    def until(self, true: Callable[[], bool], most: float, step: float = 0.01) -> float | None:
        began = self.clock.second
        while self.clock.second - began < most:
            if true():
                return self.clock.second - began
            self.run(step)
        return None

    @property
    def up(self) -> list[Instance]:
        return [one for one in self.all.values() if one.up and not one.stopped]

    def agree(self) -> bool:
        return len({one.versions.state.digest() for one in self.up}) == 1

    def open(self) -> bool:
        """Whether all that are up may act."""
        return all(one.fence.may_act(one.clock()) for one in self.up)
