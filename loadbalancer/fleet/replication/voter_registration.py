"""Voter registration: greetings, observed stores, founding, and registration of new stores decide which votes count.

A voter that lost its store, or runs on an old copy of it, has forgotten promises and accepted commands; its votes could
let two commands be decided for one slot. So a voter first asks the others whether they have observed its store.

A newly created store may replace one that has voted, and the voters that reply first need not have observed the earlier
one. So a new store is admitted in one of two ways only:

1. Founding: every other voter has replied, and none of them has observed another store of this name, or votes already
   without having observed this one. A store that is admitted this way was first observed by all other voters; if this
   instance had an earlier store that has voted, one of them objects.
2. Registration: a command of the log, which is decided without this store's votes. The store votes in later slots only,
   so that no promise or acceptance of an earlier store is counted together with its own votes.
"""

from __future__ import annotations

import math
from typing import Union

from loadbalancer.fleet.replication.actions import AdmitStore, Persist, SendMessage, VoterStore
from loadbalancer.fleet.replication.commands import Command, CommandKind, VoterBody, write_body
from loadbalancer.fleet.replication.context import ReplicaContext
from loadbalancer.fleet.replication.events import Propose
from loadbalancer.fleet.replication.learner import Learner
from loadbalancer.fleet.replication.messages import (
    FoundingGreeting,
    ObservedStore,
    VoterGreeting,
    VoterGreetingReply,
)

#: Seconds between two greetings to a voter that has not replied. Votes do not count before a majority has confirmed.
GREETING_INTERVAL_S = 0.1
#: Seconds after which a proposal to register a new store times out, and the next one is made.
REGISTRATION_TIMEOUT_S = 10.0
#: Low bits of a generation that are drawn at random at each opening of a store; the bits above count the openings.
GENERATION_NONCE_BITS = 20
#: Random bits that distinguish two proposals to register the same store: one may be rejected, and the next decided.
PROPOSAL_NONCE_BITS = 48

RegistrationMessage = Union[VoterGreeting, FoundingGreeting, VoterGreetingReply]


class VoterRegistration:
    """Exchanges greetings with the other voters, and gets a new store admitted (rules 5 and 6 of replica.py)."""

    def __init__(self, context: ReplicaContext, learner: Learner) -> None:
        self._context = context
        self._learner = learner
        #: Voters that have confirmed this instance's store; empty until it is admitted.
        self.confirmed_voters: set[str] = set()
        #: The stores that other voters were observed with, as persisted.
        self.observed_stores: dict[str, ObservedStore] = {}
        #: Why this instance's votes do not count; empty if there is no objection to them.
        self.vote_suspension = ""
        #: Whether this instance's store is not admitted yet; an earlier process may have created it.
        self.is_new_store = False
        self._founding_replies: set[str] = set()
        self._is_admitting = False
        self._register_at = -math.inf
        self._greet_at = -math.inf

    @property
    def can_vote(self) -> bool:
        """Whether this instance's votes count, i.e. a majority of voters has confirmed the store registered for it."""
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
        if self._context.store_id and (self.is_new_store or not self.can_vote):
            return self._greet_at
        return math.inf

    @property
    def missing_voters(self) -> list[str]:
        """Voters whose replies this instance waits for before its votes count; empty if it waits for none."""
        context = self._context
        if not context.store_id or context.name not in context.state.voters or self.can_vote:
            return []
        replied = self._replied_voters
        if self.is_new_store:
            replied = replied & self.observed_stores.keys()
        return sorted(self._other_voters - replied)

    @property
    def _other_voters(self) -> set[str]:
        return set(self._context.state.voters) - {self._context.name}

    @property
    def _replied_voters(self) -> set[str]:
        """Voters that have replied to a greeting from this opening of the store."""
        return self._founding_replies if self.is_new_store else self.confirmed_voters

    def on_timer(self) -> Propose | None:
        """Greet the voters that have not replied yet.

        Returns:
            A proposal to register this instance's new store if one is due, else None.
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
        self._admit_if_founded()
        proposal = self._registration_proposal()
        self._greet()
        return proposal

    def _greet(self) -> None:
        context = self._context
        greeting_type = FoundingGreeting if self.is_new_store else VoterGreeting
        greeting = greeting_type(context.store_id, context.generation)
        for name in context.state.voters:
            if name != context.name and name not in self._replied_voters:
                context.send(name, greeting)

    def _registration_proposal(self) -> Propose | None:
        """Return a proposal to register this store if one is due (rule 6).

        It is made only once a majority of voters has replied, and this instance has applied every command that it
        knows of.
        """
        context = self._context
        if not self.vote_suspension or context.now < self._register_at or self._learner.is_behind:
            return None
        if len(self._replied_voters) < context.state.majority:
            return None
        self._register_at = context.now + REGISTRATION_TIMEOUT_S
        command = Command(
            f"{context.name}-{context.store_id}-{context.random.getrandbits(PROPOSAL_NONCE_BITS):x}",
            CommandKind.ROSTER.value,
            write_body(VoterBody(context.name, context.store_id)),
            context.name,
            "its store was lost",
        )
        return Propose(command, context.now + REGISTRATION_TIMEOUT_S)

    def _admit_if_founded(self) -> None:
        """Admit a new store once it is registered, or all other voters have observed it and none objects."""
        context = self._context
        if not context.store_id or not self.is_new_store or self._is_admitting:
            return
        is_registered = context.state.voters.get(context.name) == context.store_id
        others = self._other_voters
        is_founded = not self.vote_suspension and others <= (
            self._founding_replies & self.observed_stores.keys()
        )
        if is_registered or is_founded:
            self._is_admitting = True
            context.emit(AdmitStore())

    def on_admitted(self) -> None:
        """Handle that the admission is on disk: the voters that have replied count as confirming the store."""
        self.is_new_store = False
        self.confirmed_voters |= self._founding_replies

    def on_voter_changed(self, name: str) -> None:
        """Handle that a voter's registration has changed: votes from its earlier stores do not count any more."""
        store = self._context.state.voters.get(name)
        if store:
            self.observed_stores[name] = ObservedStore(store, 0)
        if store and name == self._context.name and store == self._context.store_id:
            self.vote_suspension = ""
            self._admit_if_founded()

    def on_message(self, sender: str, message: RegistrationMessage) -> None:
        """Handle a greeting of another voter, or a reply to one of this instance's greetings."""
        match message:
            case VoterGreeting():
                self.on_greeting(sender, message)
            case FoundingGreeting():
                self.on_founding_greeting(sender, message)
            case VoterGreetingReply():
                self.on_greeting_reply(sender, message)

    def on_greeting(self, sender: str, message: VoterGreeting) -> None:
        """Reply whether votes from the sender's store may count; a confirmation leaves once the store is on disk."""
        self._reply(sender, message, self._objection(sender, message))

    def on_founding_greeting(self, sender: str, message: FoundingGreeting) -> None:
        """Reply whether the sender's new store may take part in the founding of the fleet."""
        reason = self._objection(sender, message) or self._founding_objection(sender, message)
        self._reply(sender, message, reason)
        self._admit_if_founded()

    def _reply(self, sender: str, message: VoterGreeting | FoundingGreeting, reason: str) -> None:
        context = self._context
        if not context.store_id or sender not in context.state.voters:
            return
        reply = VoterGreetingReply(message.store, message.generation, not reason, reason)
        if reason:
            context.send(sender, reply)
            return
        observed = ObservedStore(message.store, message.generation)
        self.observed_stores[sender] = observed
        context.emit(Persist(None, VoterStore(sender, observed), (SendMessage(sender, reply),)))

    def _objection(self, sender: str, message: VoterGreeting | FoundingGreeting) -> str:
        """Return why votes from the sender's store must not count; empty if there is no objection."""
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

    def _founding_objection(self, sender: str, message: FoundingGreeting) -> str:
        """Return why the sender's store can't be a founder's; empty if there is no objection.

        It can't if this instance was admitted without having observed that store.
        """
        is_known = sender in self.observed_stores or self._context.state.voters.get(sender) == message.store
        if self.is_new_store or is_known:
            return ""
        return f"the fleet has begun without store {message.store} of {sender}"

    def on_greeting_reply(self, sender: str, message: VoterGreetingReply) -> None:
        """Count a voter's confirmation, or stop voting where it objects."""
        if message.store != self._context.store_id or message.generation != self._context.generation:
            return
        self._replied_voters.add(sender)
        if not message.ok:
            self.vote_suspension = message.reason
        self._admit_if_founded()


def is_older_opening(generation: int, observed: int) -> bool:
    """Return whether an opening of a store is older than the observed one, or is of another copy of the same store.

    Two copies of a store may have been opened equally often; the random bits of a generation distinguish them.
    """
    openings = generation >> GENERATION_NONCE_BITS
    observed_openings = observed >> GENERATION_NONCE_BITS
    return openings < observed_openings or (openings == observed_openings and generation != observed)
