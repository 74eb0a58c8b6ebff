"""How instances agree on the next change: Paxos, version by version, without a leader. Pure: events and a time in,
actions out. Why this and not another way is in docs/design/fleet-versions.md.

Rules:

1. A version is decided once a majority of the roster of the version before it has accepted one change under one ballot.
2. A voter answers only once its answer is kept (`Persist`), and votes for the version next to the last that it knows.
3. A proposer takes up what it finds accepted under the greatest ballot; its own change waits for a later version.
4. A voter whose store was lost, or is older than others have met, does not vote until the roster has it anew (rule 5).
5. Its new store is put on the roster by a change that a majority accepts without it.
6. What has been accepted and not decided for a while is finished by whoever holds it, so that no version hangs.
7. An instance that is behind asks for what it lacks; what it can't read it keeps, and goes no further.
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Callable, Mapping, Union

from loadbalancer.fleet.replication import messages as form
from loadbalancer.fleet.replication.messages import (
    NO_BALLOT,
    AcceptorState,
    Ballot,
    ObservedStore,
    ReplicationMessage,
)
from loadbalancer.fleet.replication.replicated_state import (
    NO_OPERATION,
    Command,
    ReplicatedState,
    RosterBody,
    StateError,
    write_body,
)

#: Seconds after which a question that was not answered is asked again, and a ballot is given up.
RETRY_INTERVAL_S, BALLOT_TIMEOUT_S = 0.1, 0.6
#: Between two ballots of one proposer: drawn, and longer with each, so that two do not chase one another.
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.4
#: What is accepted and not decided for so long is finished by who holds it, after a draw of as much again.
UNDECIDED_TIMEOUT_S = 0.5
#: Changes of this instance that wait for their turn.
MAX_QUEUED_COMMANDS = 256
#: Changes that are held for who is behind; past it the whole state is given.
RETAINED_COMMANDS = 1024
#: Seconds between two words on the version to some others, where nothing changes.
ANNOUNCE_INTERVAL_S = 1.0
#: Between two calls to greet a voter that has not answered: nothing can be decided by this one before.
GREETING_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class Propose:
    """An operator's change. `if_version`: only if it comes right after this one. `until`: when it is given up."""

    command: Command
    expires_at: float
    expected_version: int = -1


@dataclass(frozen=True, slots=True)
class MessageReceived:
    sender: str
    message: ReplicationMessage


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Time has come to `due`. `living`: the names that the view holds alive, without this one's."""

    live_members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CommandsReceived:
    """Changes past the version of this instance, in order, that another one has decided upon."""

    first_version: int
    commands: tuple[Command, ...]


@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """A whole state, checked by its digest."""

    data: bytes


@dataclass(frozen=True, slots=True)
class SendMessage:
    to: str
    message: ReplicationMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Put on disk; then say. `vote`, `met`: None leaves what was there."""

    acceptor_state: AcceptorState | None
    observed_store: tuple[str, ObservedStore] | None
    then_send: tuple[SendMessage, ...]


@dataclass(frozen=True, slots=True)
class CommandApplied:
    """A change is in force here from now on, and is to be kept. `touched`: as state.py has it."""

    version: int
    command: Command
    touched: tuple[tuple[str, ...], ...]


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """All of the state is another."""


@dataclass(frozen=True, slots=True)
class RequestStateTransfer:
    """Ask this one for what is lacking."""

    source: str


@dataclass(frozen=True, slots=True)
class CommandCompleted:
    """What became of a change of this instance. `version`: 0 where it does not stand; `why` says why, or that it is not
    known. `lessees`: who may act on older versions yet; None where that is not known."""

    command_id: str
    version: int
    reason: str = ""
    leaseholders: frozenset[str] | None = None


Event = Union[Propose, MessageReceived, TimerExpired, CommandsReceived, SnapshotReceived]
Action = Union[
    SendMessage, Persist, CommandApplied, SnapshotInstalled, RequestStateTransfer, CommandCompleted
]


@dataclass
class _Ballot:
    """One round of this instance for the next version. `own`: the change that it is for, None to finish another's."""

    own: Propose | None
    slot: int
    ballot: Ballot
    began: float
    again_at: float
    change: Command | None = None  # once it may be accepted
    promises: dict[str, tuple[Ballot, Command | None]] = field(default_factory=dict)
    accepts: set[str] = field(default_factory=set)
    lessees: set[str] = field(default_factory=set)
    more: bool = False


def no_leaseholders(now: float) -> tuple[tuple[str, ...], bool]:
    return (), False


class PaxosReplica:
    """One instance's. `lessees` tells who was let go on of late by this voter, and whether that is all."""

    def __init__(
        self,
        name: str,
        store: str,
        generation: int,
        said: ReplicatedState,
        source: random.Random,
        lessees: Callable[[float], tuple[tuple[str, ...], bool]] = no_leaseholders,
    ) -> None:
        """`store`: empty for one that keeps nothing, and never votes."""
        self.name, self.store_id, self.generation = name, store, generation
        self.state, self.random, self._lessees = said, source, lessees
        self.command_log: dict[int, Command] = {}
        self.acceptor_state = AcceptorState(said.version + 1, NO_BALLOT, NO_BALLOT, None)
        self.observed_stores: dict[str, ObservedStore] = {}
        self.highest_known_version = (
            said.version
        )  # the greatest version that is known to be decided somewhere
        self.blocked_reason = ""  # why it can't go on
        self.confirmed_voters: set[str] = set()
        self.vote_suspension = ""  # why its votes do not count
        self.counters: Counter[str] = Counter()
        self.announced_versions: dict[str, int] = {}  # the versions that others say they act on
        self.peer_metadata: dict[str, Mapping[str, str]] = {}
        self.metadata: dict[str, str] = {}
        self.now = 0.0
        self.live_members: tuple[str, ...] = ()
        self.actions: list[Action] = []
        self._queue: deque[Propose] = deque()
        self._risked: dict[str, int] = {}  # changes that voters may hold: for which version they were told to
        self._round = 0
        self._ballot: _Ballot | None = None
        self._begin_at = -math.inf
        self._back = MIN_BACKOFF_S
        self._hangs_at = math.inf
        self._tell_at = self._greet_at = self._caught_at = -math.inf
        self._restored = False  # a change that puts our new store on the roster is under way
        self._react: dict[type, Callable[..., None]] = {
            form.Prepare: self._on_prepare,
            form.Promise: self._on_promise,
            form.Accept: self._on_accept,
            form.Accepted: self._on_accepted,
            form.Decided: self._on_decided,
            form.VersionAnnouncement: self._on_at,
            form.VoterGreeting: self._on_greet,
            form.VoterGreetingReply: self._on_greeted,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        self.now = max(self.now, now)
        self.actions = []
        if isinstance(event, MessageReceived):
            react = self._react.get(type(event.message))
            if react is not None:
                react(event.sender, event.message)
        elif isinstance(event, TimerExpired):
            self.live_members = event.live_members
            self._step()
        elif isinstance(event, Propose):
            self._propose(event)
        elif isinstance(event, CommandsReceived):
            for number, change in enumerate(event.commands):
                if event.first_version + number == self.state.version + 1 and not self.blocked_reason:
                    self._take(change)
        else:
            self._take_whole(event.data)
        return self.actions

    @property
    def next_timer(self) -> float:
        wanted = [self._tell_at]
        if self._ballot is not None:
            wanted.append(min(self._ballot.again_at, self._ballot.began + BALLOT_TIMEOUT_S))
        elif (self._queue or self._hangs_at < math.inf) and not self.is_behind:
            wanted.append(max(self._begin_at, self._hangs_at if not self._queue else -math.inf))
        if self._queue:
            wanted.append(min(one.expires_at for one in self._queue))
        if self.store_id and not self.can_vote:
            wanted.append(self._greet_at)
        return min(wanted)

    @property
    def can_vote(self) -> bool:
        """Whether this instance's vote counts. One of a fleet of one has nobody to ask."""
        mine = self.state.voters.get(self.name)
        if not self.store_id or mine is None or self.vote_suspension:
            return False
        return mine in ("", self.store_id) and len(self.confirmed_voters | {self.name}) >= self.state.majority

    @property
    def is_behind(self) -> bool:
        return bool(self.blocked_reason) or self.highest_known_version > self.state.version

    def _say(self, to: str, message: ReplicationMessage) -> None:
        self.actions.append(SendMessage(to, message))

    # Time.

    def _step(self) -> None:
        for one in [one for one in self._queue if self.now >= one.expires_at]:
            self._give_up(one)
        ballot = self._ballot
        if ballot is not None:
            if self.now >= ballot.began + BALLOT_TIMEOUT_S:
                self._end_ballot()
            elif self.now >= ballot.again_at:
                self._ask(ballot)
        if self._ballot is None and self.now >= self._begin_at and not self.is_behind:
            if self._queue:
                self._begin(self._queue[0])
            elif self.now >= self._hangs_at:
                self._begin(None)
        if self.now >= self._tell_at:
            self._tell()
        if self.store_id and not self.can_vote and self.now >= self._greet_at:
            self._greet()

    def _give_up(self, one: Propose) -> None:
        """Its time is over. Whether it stands is not known where a voter may have accepted it, under this ballot or one
        before, for a version that is not decided yet."""
        self._queue.remove(one)
        open_yet = self._risked.pop(one.command.id, 0) > self.state.version
        if self._ballot is not None and self._ballot.own is one:
            self._ballot = None
        end = "; it may stand yet" if open_yet else "; it does not stand"
        why = f"no majority has answered in its time{end}"
        self.actions.append(CommandCompleted(one.command.id, 0, why))

    def _tell(self) -> None:
        self._tell_at = self.now + ANNOUNCE_INTERVAL_S * (0.75 + 0.5 * self.random.random())
        for name in self.random.sample(self.live_members, min(3, len(self.live_members))):
            self._say(name, form.VersionAnnouncement(self.state.version, self.metadata))

    def recover(self, change: Command) -> list[Action]:
        """An operator's word after a majority was lost for good: in force here without anybody's vote, and told to all
        that can be reached. Harm: who comes back with more has another history, and must begin anew."""
        self.actions = []
        self._take(change)
        for name in self.live_members:
            self._say(name, form.Decided(self.state.version, change))
        return self.actions

    def announce_to_voters(self) -> list[Action]:
        """The same to those that drive a roll-out."""
        return [
            SendMessage(name, form.VersionAnnouncement(self.state.version, self.metadata))
            for name in self.state.voters
            if name != self.name
        ]

    def announce_to_all(self) -> list[Action]:
        """Say to all at once which version this instance acts on."""
        return [
            SendMessage(name, form.VersionAnnouncement(self.state.version, self.metadata))
            for name in self.live_members
        ]

    # Proposing.

    def _propose(self, event: Propose) -> None:
        try:
            self.state.check(event.command)
        except StateError as problem:
            self.actions.append(CommandCompleted(event.command.id, 0, f"{problem}; it does not stand"))
            return
        if len(self._queue) >= MAX_QUEUED_COMMANDS:
            self.actions.append(
                CommandCompleted(
                    event.command.id, 0, f"{MAX_QUEUED_COMMANDS} changes wait; it does not stand"
                )
            )
            return
        self._queue.append(event)
        if self._ballot is None and self.now >= self._begin_at and not self.is_behind:
            self._begin(self._queue[0])

    def _begin(self, own: Propose | None) -> None:
        slot = self.state.version + 1
        if own is not None and own.expected_version >= 0 and own.expected_version != slot - 1:
            self._queue.popleft()
            why = f"the state is at version {slot - 1}, not {own.expected_version}; it does not stand"
            self.actions.append(CommandCompleted(own.command.id, 0, why))
            return
        self._round = max(self._round, self.acceptor_state.promised[0], self.acceptor_state.accepted[0]) + 1
        self._ballot = _Ballot(own, slot, (self._round, self.name), self.now, self.now)
        self.counters["ballots"] += 1
        self._ask(self._ballot)

    def _ask(self, ballot: _Ballot) -> None:
        """Those voters that have not answered."""
        ballot.again_at = self.now + RETRY_INTERVAL_S
        done = ballot.accepts if ballot.change is not None else ballot.promises.keys()
        for name in self.state.voters:
            if name in done:
                continue
            if ballot.change is not None:
                self._risks(ballot)
                self._say(name, form.Accept(ballot.slot, ballot.ballot, ballot.change))
            else:
                self._say(name, form.Prepare(ballot.slot, ballot.ballot))

    def _risks(self, ballot: _Ballot) -> None:
        """From here on a voter may hold its change, whatever else this instance hears."""
        assert ballot.change is not None
        self._risked[ballot.change.id] = ballot.slot

    def _end_ballot(self, held: Ballot = NO_BALLOT) -> None:
        """It came to nothing; the next begins after a draw."""
        self._ballot = None
        self._round = max(self._round, held[0])
        self._begin_at = self.now + self._back * (0.5 + self.random.random())
        self._back = min(MAX_BACKOFF_S, 2 * self._back)
        if self._hangs_at < math.inf:
            self._hangs_at = max(self._hangs_at, self._begin_at)

    def _on_promise(self, sender: str, message: form.Promise) -> None:
        ballot = self._ballot
        if (
            ballot is None
            or ballot.ballot != message.ballot
            or ballot.slot != message.slot
            or ballot.change is not None
        ):
            return
        if not message.ok:
            self._end_ballot(message.blocking_ballot)
            return
        if sender in self.state.voters:
            ballot.promises[sender] = message.accepted, message.command
        if len(ballot.promises) < self.state.majority:
            return
        found, change = max(ballot.promises.values(), key=lambda one: one[0])
        if found != NO_BALLOT and change is not None:
            ballot.change = change  # rule 3
        else:
            ballot.change = ballot.own.command if ballot.own is not None else NO_OPERATION
        self._ask(ballot)

    def _on_accepted(self, sender: str, message: form.Accepted) -> None:
        ballot = self._ballot
        if (
            ballot is None
            or ballot.ballot != message.ballot
            or ballot.slot != message.slot
            or ballot.change is None
        ):
            return
        if not message.ok:
            self._end_ballot(message.blocking_ballot)
            return
        if sender not in self.state.voters:
            return
        ballot.accepts.add(sender)
        ballot.lessees.update(message.leaseholders)
        ballot.more |= message.has_more
        if len(ballot.accepts) >= self.state.majority:
            self._decide(ballot)

    def _decide(self, ballot: _Ballot) -> None:
        assert ballot.change is not None
        self._ballot, self._back, self._begin_at = None, MIN_BACKOFF_S, -math.inf
        decided = form.Decided(ballot.slot, ballot.change)
        for name in dict.fromkeys((*self.state.voters, *self.live_members)):
            if name != self.name:
                self._say(name, decided)
        self._take(ballot.change, None if ballot.more else frozenset(ballot.lessees))
        if self._queue and not self.is_behind:
            self._begin(self._queue[0])

    # Voting.

    def _level(self, sender: str, slot: int) -> bool:
        """Whether the question is on the version that this voter votes on now. Who is behind is told, or we ask him."""
        version = self.state.version
        if slot <= version:
            for number in range(slot, min(version, slot + 3) + 1):
                if number in self.command_log:
                    self._say(sender, form.Decided(number, self.command_log[number]))
            if slot not in self.command_log:
                self._say(sender, form.VersionAnnouncement(version, self.metadata))
        elif slot > version + 1:
            self._lacks(sender, slot - 1)
        return slot == version + 1 and not self.blocked_reason and self.can_vote

    def _on_prepare(self, sender: str, message: form.Prepare) -> None:
        if not self._level(sender, message.slot):
            return
        vote = self.acceptor_state
        ok = message.ballot >= vote.promised
        if ok:
            vote.promised = message.ballot
        answer = form.Promise(message.slot, message.ballot, ok, vote.promised, vote.accepted, vote.command)
        self._answer(ok, sender, answer)

    def _on_accept(self, sender: str, message: form.Accept) -> None:
        if not self._level(sender, message.slot):
            return
        vote = self.acceptor_state
        ok = message.ballot >= vote.promised
        if ok:
            vote.promised = vote.accepted = message.ballot
            vote.command = message.command
            self._hangs_at = self.now + UNDECIDED_TIMEOUT_S * (1 + self.random.random())
        names, more = self._lessees(self.now)
        answer = form.Accepted(message.slot, message.ballot, ok, vote.promised, names, more)
        self._answer(ok, sender, answer)

    def _answer(self, changed: bool, to: str, message: ReplicationMessage) -> None:
        """Rule 2."""
        if changed:
            vote = AcceptorState(
                self.acceptor_state.slot,
                self.acceptor_state.promised,
                self.acceptor_state.accepted,
                self.acceptor_state.command,
            )
            self.actions.append(Persist(vote, None, (SendMessage(to, message),)))
        else:
            self._say(to, message)

    @property
    def highest_accepted_version(self) -> int:
        """The greatest version that this voter knows of, decided or not."""
        return max(
            self.highest_known_version,
            self.acceptor_state.slot if self.acceptor_state.command is not None else 0,
        )

    # Learning.

    def _take(self, change: Command, lessees: frozenset[str] | None = None) -> None:
        """The next version is decided."""
        try:
            touched = self.state.apply(change)
        except StateError as problem:
            self.blocked_reason, self.highest_known_version = (
                str(problem),
                max(self.highest_known_version, self.state.version + 1),
            )
            self.counters["stuck"] += 1
            return
        version = self.state.version
        self.highest_known_version = max(self.highest_known_version, version)
        self._risked = {name: slot for name, slot in self._risked.items() if slot > version}
        self.command_log[version] = change
        self.command_log.pop(version - RETAINED_COMMANDS, None)
        self._fresh()
        self.actions.append(CommandApplied(version, change, tuple(touched)))
        if self._queue and self._queue[0].command.id == change.id:
            self._queue.popleft()
            self.actions.append(CommandCompleted(change.id, version, "", lessees))
        for kind, *names in touched:
            if kind == "roster":
                self._listed(names[0])

    def _listed(self, name: str) -> None:
        """The roster says another thing of a voter: its store is the one that counts from here on."""
        store = self.state.voters.get(name)
        if store:
            self.observed_stores[name] = ObservedStore(store, 0)
        if name == self.name and store == self.store_id:
            self.vote_suspension, self._restored = "", False

    def _fresh(self) -> None:
        """Nothing is voted on yet for the next version."""
        self.acceptor_state = AcceptorState(self.state.version + 1, NO_BALLOT, NO_BALLOT, None)
        self._hangs_at = math.inf
        if self._ballot is not None and self._ballot.slot <= self.state.version:
            self._ballot = None

    def _take_whole(self, data: bytes) -> None:
        before = self.state.version
        self.state.install_snapshot(data)
        if self.state.version < before:
            raise AssertionError("a state of an older version was asked for by nobody")
        self.command_log.clear()
        self.highest_known_version, self.blocked_reason = (
            max(self.highest_known_version, self.state.version),
            "",
        )
        self._fresh()
        self.actions.append(SnapshotInstalled())
        for name in self.state.voters:
            self._listed(name)

    def _on_decided(self, sender: str, message: form.Decided) -> None:
        if message.version == self.state.version + 1 and not self.blocked_reason:
            self._take(message.command)
            self._say(sender, form.VersionAnnouncement(self.state.version, self.metadata))
            if self._ballot is None and self._queue and not self.is_behind:
                self._begin(self._queue[0])
        elif message.version > self.state.version:
            self._lacks(sender, message.version)
        else:
            self._say(sender, form.VersionAnnouncement(self.state.version, self.metadata))

    def _on_at(self, sender: str, message: form.VersionAnnouncement) -> None:
        self.announced_versions[sender] = max(message.version, self.announced_versions.get(sender, 0))
        self.peer_metadata[sender] = message.metadata
        if message.version > self.state.version:
            self._lacks(sender, message.version)

    def _lacks(self, sender: str, version: int) -> None:
        """Rule 7."""
        self.highest_known_version = max(self.highest_known_version, version)
        if self.now >= self._caught_at + RETRY_INTERVAL_S and not self.blocked_reason:
            self._caught_at = self.now
            self.actions.append(RequestStateTransfer(sender))

    # Stores that are lost.

    def _greet(self) -> None:
        self._greet_at = self.now + GREETING_INTERVAL_S
        mine = self.state.voters.get(self.name)
        if mine is None:
            return
        if mine not in ("", self.store_id):
            self.vote_suspension = self.vote_suspension or "another store holds this name's votes"
        if self.vote_suspension and not self._restored and not self.is_behind:
            self._restore()
        for name in self.state.voters:
            if name != self.name and name not in self.confirmed_voters:
                self._say(name, form.VoterGreeting(self.store_id, self.generation))

    def _restore(self) -> None:
        """Rule 5; this instance has all changes that the others know of by now."""
        if len(self.confirmed_voters) < self.state.majority:
            return
        self._restored = True
        change = Command(
            f"{self.name}-{self.store_id}-{self.state.version}",
            "roster",
            write_body(RosterBody(self.name, self.store_id)),
            self.name,
            "its store was lost",
        )
        self._queue.append(Propose(change, self.now + 10.0))

    def _on_greet(self, sender: str, message: form.VoterGreeting) -> None:
        """Whether votes of this store may count: it is the one on the roster, or was met, and is not older."""
        if not self.store_id or sender not in self.state.voters:
            return
        known, listed = self.observed_stores.get(sender), self.state.voters.get(sender)
        why = ""
        if known is not None and known.store != message.store and listed != message.store:
            why = f"{sender} had another store, {known.store}"
        elif (
            known is not None
            and known.store == message.store
            and is_older(message.generation, known.generation)
        ):
            why = f"an older copy of store {message.store}: others have met a later one"
        answer = form.VoterGreetingReply(message.store, message.generation, not why, why)
        met = ObservedStore(message.store, message.generation)
        if why or known == met:
            self._say(sender, answer)
            return
        self.observed_stores[sender] = met
        self.actions.append(Persist(None, (sender, met), (SendMessage(sender, answer),)))

    def _on_greeted(self, sender: str, message: form.VoterGreetingReply) -> None:
        if message.store != self.store_id or message.generation != self.generation:
            return
        self.confirmed_voters.add(sender)
        if not message.ok:
            self.vote_suspension = message.reason


def is_older(generation: int, met: int) -> bool:
    """Whether a store that was opened so is older than, or beside, the one that was met: the number of openings, and a
    draw at each, which tells two openings of one copy apart."""
    count, before = generation >> GENERATION_NONCE_BITS, met >> GENERATION_NONCE_BITS
    return count < before or (count == before and generation != met)


#: Bits of a generation that are drawn at each opening.
GENERATION_NONCE_BITS = 20
