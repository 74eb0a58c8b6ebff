"""Whether this instance's votes count: voter greetings, observed stores, and the registration of a new store.

A voter that lost its store, or runs on an old copy of it, has forgotten promises and accepted commands; its votes could
let two commands be decided for one slot. So a voter asks the others first whether they have observed its store.
"""

from __future__ import annotations

import math

from loadbalancer.fleet.replication.actions import Persist, SendMessage, VoterStore
from loadbalancer.fleet.replication.commands import Command, CommandKind, RosterBody, write_body
from loadbalancer.fleet.replication.context import ReplicaContext
from loadbalancer.fleet.replication.events import Propose
from loadbalancer.fleet.replication.learner import Learner
from loadbalancer.fleet.replication.messages import ObservedStore, VoterGreeting, VoterGreetingReply

#: Seconds between two greetings to a voter that has not answered. Nothing is decided here before a majority has.
GREETING_INTERVAL_S = 0.1
#: Seconds after which a proposal to register a new store is given up.
REGISTRATION_TIMEOUT_S = 10.0
#: Low bits of a generation that are drawn at random at each opening of a store; the bits above count the openings.
GENERATION_NONCE_BITS = 20


class VoterRegistration:
    """Greets the other voters, answers their greetings, and registers a new store (rules 5 and 6 of replica.py)."""

    def __init__(self, context: ReplicaContext, learner: Learner) -> None:
        self._context = context
        self._learner = learner
        #: Voters that have answered this instance's greeting.
        self.confirmed_voters: set[str] = set()
        #: The stores that other voters were observed with, as persisted.
        self.observed_stores: dict[str, ObservedStore] = {}
        #: Why this instance's votes do not count; empty while nothing speaks against them.
        self.vote_suspension = ""
        self._is_registering = False
        self._greet_at = -math.inf

    @property
    def can_vote(self) -> bool:
        """Whether this instance's votes count: enough voters have confirmed the store that is registered for it."""
        context = self._context
        registered_store = context.state.voters.get(context.name)
        if not context.store_id or registered_store is None or self.vote_suspension:
            return False
        if registered_store not in ("", context.store_id):
            return False
        return len(self.confirmed_voters | {context.name}) >= context.state.majority

    @property
    def next_timer(self) -> float:
        """When the next greetings are due, in seconds; infinite once this instance votes, or while it has no store."""
        if self._context.store_id and not self.can_vote:
            return self._greet_at
        return math.inf

    def on_timer(self) -> Propose | None:
        """Greet the voters that have not answered yet.

        Returns:
            A proposal to register this instance's new store, where that is due.
        """
        context = self._context
        if context.now < self.next_timer:
            return None
        self._greet_at = context.now + GREETING_INTERVAL_S
        registered_store = context.state.voters.get(context.name)
        if registered_store is None:
            return None
        if registered_store not in ("", context.store_id):
            self.vote_suspension = self.vote_suspension or "another store holds this name's votes"
        proposal = self._registration_proposal()
        for name in context.state.voters:
            if name != context.name and name not in self.confirmed_voters:
                context.send(name, VoterGreeting(context.store_id, context.generation))
        return proposal

    def _registration_proposal(self) -> Propose | None:
        """Rule 6; by now this instance has applied every command that the voters that answered know of."""
        context = self._context
        if not self.vote_suspension or self._is_registering or self._learner.is_behind:
            return None
        if len(self.confirmed_voters) < context.state.majority:
            return None
        self._is_registering = True
        command = Command(
            f"{context.name}-{context.store_id}-{context.state.version}",
            CommandKind.ROSTER.value,
            write_body(RosterBody(context.name, context.store_id)),
            context.name,
            "its store was lost",
        )
        return Propose(command, context.now + REGISTRATION_TIMEOUT_S)

    def on_voter_changed(self, name: str) -> None:
        """A decided command has registered another store for a voter: its earlier stores do not count any more."""
        store = self._context.state.voters.get(name)
        if store:
            self.observed_stores[name] = ObservedStore(store, 0)
        if name == self._context.name and store == self._context.store_id:
            self.vote_suspension = ""
            self._is_registering = False

    def on_greeting(self, sender: str, message: VoterGreeting) -> None:
        """Answer whether votes from the sender's store may count, once its store is remembered on disk."""
        context = self._context
        if not context.store_id or sender not in context.state.voters:
            return
        reason = self._objection(sender, message)
        reply = VoterGreetingReply(message.store, message.generation, not reason, reason)
        observed = ObservedStore(message.store, message.generation)
        if reason or self.observed_stores.get(sender) == observed:
            context.send(sender, reply)
            return
        self.observed_stores[sender] = observed
        context.emit(Persist(None, VoterStore(sender, observed), (SendMessage(sender, reply),)))

    def _objection(self, sender: str, message: VoterGreeting) -> str:
        """Why votes from the sender's store must not count; empty where nothing speaks against them."""
        known = self.observed_stores.get(sender)
        if known is None:
            return ""
        if known.store == message.store:
            if is_older_opening(message.generation, known.generation):
                return f"an older copy of store {message.store}: others have met a later one"
            return ""
        if self._context.state.voters.get(sender) == message.store:
            return ""
        return f"{sender} had another store, {known.store}"

    def on_greeting_reply(self, sender: str, message: VoterGreetingReply) -> None:
        """Count a voter's confirmation, or stop voting where it objects."""
        if message.store != self._context.store_id or message.generation != self._context.generation:
            return
        self.confirmed_voters.add(sender)
        if not message.ok:
            self.vote_suspension = message.reason


def is_older_opening(generation: int, observed: int) -> bool:
    """Whether a store's opening is before the observed one, or another opening of a copy of the same store.

    Two copies of a store may have been opened equally often; the random bits of a generation tell them apart.
    """
    openings = generation >> GENERATION_NONCE_BITS
    observed_openings = observed >> GENERATION_NONCE_BITS
    return openings < observed_openings or (openings == observed_openings and generation != observed)
