"""Applies the change requests of operators, by a table from verb to handler.

A change is validated as a whole, applied at once and answered once the store has written it. A change that can't be
stored is undone. The outcome of each change is written to the audit log.
"""

from __future__ import annotations

import time
from functools import partial
from typing import Callable, Mapping, Protocol, runtime_checkable

from loadbalancer.admin.calls import CallError, Change, ChangeDone, ChangeResult, Verbs
from loadbalancer.daemon.admin_notifications import PredecessorNotifier
from loadbalancer.daemon.admin_queries import AdminQueries
from loadbalancer.daemon.admin_rows import endpoint_row, pool_row
from loadbalancer.daemon.admin_state import AdminState
from loadbalancer.daemon.audit_log import AuditLog
from loadbalancer.daemon.change_validation import ChangeValidator
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.persisted_overrides import PersistedOverrides, SaveCallback
from loadbalancer.daemon.requested_state import requested_migration, requested_override
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.store.errors import StoreError

Handler = Callable[[Change, ChangeDone], None]


@runtime_checkable
class LevelledLogger(Protocol):
    """A logger whose level can be changed at run time."""

    def set_level(self, level: str) -> None:
        """Log records of this level and above."""


class ChangeHandler:
    """Applies changes to the daemon, or passes them to the component that defines the verb."""

    def __init__(
        self,
        daemon: DaemonContext,
        state: AdminState,
        queries: AdminQueries,
        validator: ChangeValidator,
        persisted: PersistedOverrides,
        predecessor: PredecessorNotifier,
        audit: AuditLog,
    ) -> None:
        self._daemon = daemon
        self._state = state
        self._queries = queries
        self._validator = validator
        self._persisted = persisted
        self._predecessor = predecessor
        self._audit = audit
        self._handlers: Mapping[str, Handler] = {
            "drain": self._override,
            "cordon": self._override,
            "uncordon": self._override,
            "weight": self._override,
            "add": self._override,
            "remove": self._override,
            "move": self._migrate,
            "freeze": partial(self._freeze, True),
            "thaw": partial(self._freeze, False),
            "reload": self._reload,
            "log": self._set_log_level,
        }

    def verbs(self) -> Verbs:
        """Return the verbs that components add: for each its required fields and a one-line description."""
        verbs: dict[str, tuple[frozenset[str], str]] = {}
        for component in self._daemon.components.values():
            verbs.update(component.more_verbs())
        return verbs

    def change(self, change: Change, done: ChangeDone) -> None:
        """Apply a change; `done` is called once, with the resulting state or an error.

        Raises:
            CallError: The change can't be applied; the daemon's state is unchanged.
        """
        try:
            self._validator.check(change)
        except CallError as problem:
            self._audit.record(change, f"refused: {problem}")
            raise
        for component in self._daemon.components.values():
            if component.apply_change(change, partial(self._complete_component_change, change, done)):
                return
        self._handlers[change.verb](change, done)

    def _complete_component_change(self, change: Change, done: ChangeDone, result: ChangeResult) -> None:
        if "error" in result:
            self._audit.record(change, f"not done: {result['error']}")
        else:
            self._audit.record(change, f"version {result.get('version')}")
        done(result)

    def _complete(self, change: Change, result: ChangeResult, done: ChangeDone) -> None:
        self._audit.record(change, "done")
        done(result)

    def _reload(self, change: Change, done: ChangeDone) -> None:
        self._daemon.reload()
        self._complete(change, {"reload": "asked for; the log says what became of it"}, done)

    def _set_log_level(self, change: Change, done: ChangeDone) -> None:
        level = change.request.level or "info"
        logger = self._daemon.logger
        if not isinstance(logger, LevelledLogger):
            raise CallError(409, "this log has no levels; put [log] into the file and restart")
        logger.set_level(level)
        self._complete(change, {"level": level}, done)

    def _freeze(self, frozen: bool, change: Change, done: ChangeDone) -> None:
        name = change.request.pool
        assert name is not None
        pool = self._daemon.pools[name]
        pool.overlay.freeze(frozen)
        self._complete(change, {**pool_row(name, pool)}, done)

    def _migrate(self, change: Change, done: ChangeDone) -> None:
        name = change.request.pool
        assert name is not None
        now = time.time()
        before = self._state.migration(name)
        migration = requested_migration(change, now, _expiry(change, now))
        self._state.set_migration(name, migration)
        self._save_and_answer(
            change,
            partial(self._persisted.save_migration, name, migration),
            lambda kept: {"moves": self._queries.migrations(), "kept": kept},
            lambda: self._state.set_migration(name, before),
            done,
        )

    def _override(self, change: Change, done: ChangeDone) -> None:
        name = change.request.pool
        assert name is not None
        now = time.time()
        pool = self._daemon.pools[name]
        overrides = self._state.pool_overrides(name)
        before = {endpoint: overrides.get(endpoint) for endpoint in change.endpoints}
        for endpoint in change.endpoints:
            override = requested_override(change, before[endpoint], now, _expiry(change, now))
            self._state.apply_override(name, pool, endpoint, override)
            self._predecessor.notify(name, endpoint, overrides.get(endpoint))
        rows = [endpoint_row(name, pool, endpoint) for endpoint in change.endpoints]
        after = {endpoint: overrides.get(endpoint) for endpoint in change.endpoints}

        def undo() -> None:
            for endpoint, override in before.items():
                self._state.apply_override(name, pool, endpoint, override or AdminOverride())
                self._predecessor.notify(name, endpoint, override)

        self._save_and_answer(
            change,
            partial(self._persisted.save_overrides, name, after),
            lambda kept: {"members": rows, "kept": kept},
            undo,
            done,
        )

    def _save_and_answer(
        self,
        change: Change,
        save: Callable[[SaveCallback], None],
        result: Callable[[bool], ChangeResult],
        undo: Callable[[], None],
        done: ChangeDone,
    ) -> None:
        """Store a change that is already applied, then answer it; undo it if it can't be stored."""
        if not self._persisted.is_configured:
            self._complete(change, result(False), done)
            return

        def on_saved(problem: StoreError | None) -> None:
            if problem is None:
                self._complete(change, result(True), done)
                return
            undo()
            self._audit.record(change, f"taken back: {problem}")
            done({"error": f"could not be kept, so nothing has changed: {problem}"})

        save(on_saved)


def _expiry(change: Change, now: float) -> float:
    """Return when a change expires, in Unix seconds; 0 if it does not expire."""
    return now + change.until if change.until else 0.0
