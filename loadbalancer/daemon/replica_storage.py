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
from loadbalancer.fleet.replication.actions import CommandApplied, Persist
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.store.errors import StoreError
from loadbalancer.store.keeper import Job, Store, StoreView


class ReplicaStorage:
    """Writes the durable state of a replica. The daemon owns the store; without a store nothing is written.

    Attributes:
        identity: The identity of the store, including how often it was opened; its name is empty without a store.
        persisted: What the store held when it was opened.
    """

    def __init__(
        self,
        store: Store | None,
        state: ReplicatedState,
        random_source: random.Random,
        logger: RateLimitedLogger,
    ) -> None:
        """Load the persisted state from the store.

        Args:
            store: The store. Its thread must not have any job yet, since the store is read from this thread.
            state: The replicated state, which is filled from the store.
            random_source: The source of the random bits of the identity.
            logger: Logs writes that failed.
        """
        self._store = store
        self._state = state
        self._logger = logger
        self.identity = StoredIdentity("", 0)
        self.persisted = PersistedReplica(None, {}, {})
        if store is not None:
            view = StoreView(store.engine)
            self.identity = open_identity(view, random_source)
            self.persisted = load(view, state)

    def save_identity(self, on_saved: Callable[[], None]) -> None:
        """Write the count of openings of the store; a voter votes only once it is on disk."""
        write = partial(write_identity, identity=self.identity)
        self._submit(write, on_saved, "fleet: this instance does not vote")

    def save_admission(self, on_saved: Callable[[], None]) -> None:
        """Write that this store has been admitted, so that it no longer counts as new."""
        self.identity.is_new = False
        write = partial(write_identity, identity=self.identity)
        self._submit(write, on_saved, "fleet: this instance does not vote")

    def save_acceptor_state(self, action: Persist, on_saved: Callable[[], None]) -> None:
        """Write an acceptor's state before the answer that depends on it is sent.

        `on_saved` is not called if the write fails: the proposer retries, or proceeds without this voter.
        """
        write = partial(
            write_acceptor_state, acceptor_state=action.acceptor_state, observed=action.observed_store
        )
        self._submit(write, on_saved, "fleet: acceptor state not persisted")

    def save_command(self, action: CommandApplied) -> None:
        """Write a command that was applied, and the items that it changed."""
        if self._store is None:
            return
        changes = encode_touched(self._state, action.touched)
        write = partial(write_command, changes=changes, version=action.version, command=action.command)
        self._submit(write, None, "fleet: applied command not persisted")

    def save_snapshot(self) -> None:
        """Write the whole state after a snapshot was installed."""
        if self._store is None:
            return
        changes = encode_all(self._state)
        self._submit(partial(write_snapshot, changes=changes), None, "fleet: applied command not persisted")

    def _submit(self, write: Job[None], on_saved: Callable[[], None] | None, failure_event: str) -> None:
        """Queue a write, then call `on_saved` or log the failure on the event loop. Do nothing without a store."""
        if self._store is None:
            return

        def completed(_: None, problem: StoreError | None) -> None:
            if problem is not None:
                self._logger(failure_event, problem)
            elif on_saved is not None:
                on_saved()

        self._store.submit(write, completed)
