"""Persistence of a Paxos replica in the daemon's store."""

from __future__ import annotations

import random
from functools import partial
from typing import Callable

from loadbalancer.daemon.persisted_state import (
    PersistedReplica,
    StoredIdentity,
    encode_all,
    encode_touched,
    load,
    open_identity,
    write_acceptor_state,
    write_command,
    write_identity,
    write_snapshot,
)
from loadbalancer.fleet.replication.replica import CommandApplied, Persist
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.store.errors import StoreError
from loadbalancer.store.keeper import Store, StoreView


class ReplicaStorage:
    """Writes what a replica has to keep. The daemon owns the store; without one, nothing is kept.

    Attributes:
        identity: of the store, with this opening counted; an empty name without a store.
        persisted: what was in the store when it was opened.
    """

    def __init__(
        self, store: Store | None, state: ReplicatedState, source: random.Random, logger: RateLimitedLogger
    ) -> None:
        """Read the store.

        Args:
            store: its thread must not have any job yet, since it is read from this thread.
            state: is filled with what was kept.
            source: of the random bits of the identity.
            logger: gets a line for what could not be kept.
        """
        self._store = store
        self._state = state
        self._logger = logger
        self.identity = StoredIdentity("", 0)
        self.persisted = PersistedReplica(None, {}, {})
        if store is not None:
            view = StoreView(store.engine)
            self.identity = open_identity(view, source)
            self.persisted = load(view, state)

    def save_identity(self, on_saved: Callable[[], None]) -> None:
        """Write that the store was opened again; a voter votes only once this is on disk."""
        if self._store is None:
            return

        def completed(_: None, problem: StoreError | None) -> None:
            if problem is None:
                on_saved()
            else:
                self._logger("fleet: this instance does not vote", problem)

        self._store.submit(partial(write_identity, identity=self.identity), completed)

    def save_acceptor_state(self, action: Persist, on_saved: Callable[[], None]) -> None:
        """Write an acceptor's answer before it is sent.

        `on_saved` is not called for one that can't be kept: the proposer asks again, or goes on without this voter.
        """
        if self._store is None:
            return

        def completed(_: None, problem: StoreError | None) -> None:
            if problem is None:
                on_saved()
            else:
                self._logger("fleet: acceptor state not persisted", problem)

        self._store.submit(
            lambda view: write_acceptor_state(view, action.acceptor_state, action.observed_store), completed
        )

    def save_command(self, action: CommandApplied) -> None:
        """Write a command that was applied, and what it has touched."""
        if self._store is None:
            return
        changes = encode_touched(self._state, action.touched)
        self._store.submit(
            lambda view: write_command(view, changes, action.version, action.command), self._command_saved
        )

    def save_snapshot(self) -> None:
        """Write all of the state, after a snapshot was installed."""
        if self._store is None:
            return
        changes = encode_all(self._state)
        self._store.submit(lambda view: write_snapshot(view, changes), self._command_saved)

    def _command_saved(self, _: None, problem: StoreError | None) -> None:
        if problem is not None:
            self._logger("fleet: applied command not persisted", problem)
