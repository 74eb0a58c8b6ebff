"""State that is shared by the roles of one Paxos replica."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from loadbalancer.fleet.replication.actions import Action, SendMessage
from loadbalancer.fleet.replication.messages import ReplicationMessage
from loadbalancer.fleet.replication.replicated_state import ReplicatedState


@dataclass
class ReplicaContext:
    """Identity of the instance, the replicated state, and the event that is being handled.

    Attributes:
        name: The instance's name in the fleet.
        store_id: Identity of the store that holds its votes; empty while it must not vote.
        generation: Count of openings of that store, with random low bits drawn at each opening.
        state: The replicated state; only the learner changes it.
        random: Source of all random draws of the replica.
        now: Time of the event in seconds, never decreasing.
        live_members: Other instances that are alive in the membership view.
        metadata: What this instance announces about itself; informational.
        actions: Actions emitted so far for the event that is being handled.
    """

    name: str
    store_id: str
    generation: int
    state: ReplicatedState
    random: random.Random
    now: float = 0.0
    live_members: tuple[str, ...] = ()
    metadata: dict[str, str] = field(default_factory=dict)
    actions: list[Action] = field(default_factory=list)

    def emit(self, action: Action) -> None:
        """Add an action to those returned for the current event."""
        self.actions.append(action)

    def send(self, to: str, message: ReplicationMessage) -> None:
        """Emit a message that does not depend on a disk write."""
        self.emit(SendMessage(to, message))
