"""Applies the change requests of operators: a table from verb to handler.

A change is checked whole, put in force at once and answered once the store has it; where it can't be stored it is
undone. Each ends as a line of the audit log.
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
    """A logger whose level can change."""

    def set_level(self, level: str) -> None:
        """Log from this level up."""


class ChangeHandler:
    """Applies one change at a time to the daemon, or hands it to the component whose verb it is."""

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
        """The verbs of components: what each requires, and what it does in a line."""
        verbs: dict[str, tuple[frozenset[str], str]] = {}
        for component in self._daemon.components.values():
            verbs.update(component.more_verbs())
        return verbs

    def change(self, change: Change, done: ChangeDone) -> None:
        """Apply a change; `done` is called once with what is now true.

        Raises:
            CallError: It can't be applied, and nothing has changed.
        """
        try:
            self._validator.check(change)
        except CallError as problem:
            self._audit.record(change, f"refused: {problem}")
            raise
        for component in self._daemon.components.values():
            if component.apply_change(change, partial(self._component_done, change, done)):
                return
        self._handlers[change.verb](change, done)

    def _component_done(self, change: Change, done: ChangeDone, result: ChangeResult) -> None:
        if "error" in result:
            self._audit.record(change, f"not done: {result['error']}")
        else:
            self._audit.record(change, f"version {result.get('version')}")
        done(result)

    def _done(self, change: Change, result: ChangeResult, done: ChangeDone) -> None:
        self._audit.record(change, "done")
        done(result)

    def _reload(self, change: Change, done: ChangeDone) -> None:
        self._daemon.reload()
        self._done(change, {"reload": "asked for; the log says what became of it"}, done)

    def _set_log_level(self, change: Change, done: ChangeDone) -> None:
        level = change.request.level or "info"
        logger = self._daemon.logger
        if not isinstance(logger, LevelledLogger):
            raise CallError(409, "this log has no levels; put [log] into the file and restart")
        logger.set_level(level)
        self._done(change, {"level": level}, done)

    def _freeze(self, frozen: bool, change: Change, done: ChangeDone) -> None:
        name = change.request.pool
        assert name is not None
        pool = self._daemon.pools[name]
        pool.overlay.freeze(frozen)
        self._done(change, {**pool_row(name, pool)}, done)

    def _migrate(self, change: Change, done: ChangeDone) -> None:
        name = change.request.pool
        assert name is not None
        now = time.time()
        before = self._state.migration(name)
        migration = requested_migration(change, now, _end(change, now))
        self._state.set_migration(name, migration)
        self._save(
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
            override = requested_override(change, before[endpoint], now, _end(change, now))
            self._state.apply_override(name, pool, endpoint, override)
            self._predecessor.notify(name, endpoint, overrides.get(endpoint))
        rows = [endpoint_row(name, pool, endpoint) for endpoint in change.endpoints]
        after = {endpoint: overrides.get(endpoint) for endpoint in change.endpoints}

        def undo() -> None:
            for endpoint, override in before.items():
                self._state.apply_override(name, pool, endpoint, override or AdminOverride())
                self._predecessor.notify(name, endpoint, override)

        self._save(
            change,
            partial(self._persisted.save_overrides, name, after),
            lambda kept: {"members": rows, "kept": kept},
            undo,
            done,
        )

    def _save(
        self,
        change: Change,
        save: Callable[[SaveCallback], None],
        result: Callable[[bool], ChangeResult],
        undo: Callable[[], None],
        done: ChangeDone,
    ) -> None:
        """Answer a change that is in force once the store has it; undo it where that fails."""
        if not self._persisted.is_configured:
            self._done(change, result(False), done)
            return

        def saved(problem: StoreError | None) -> None:
            if problem is None:
                self._done(change, result(True), done)
                return
            undo()
            self._audit.record(change, f"taken back: {problem}")
            done({"error": f"could not be kept, so nothing has changed: {problem}"})

        save(saved)


def _end(change: Change, now: float) -> float:
    """When what a change sets ends, in Unix seconds; 0 for no end."""
    return now + change.until if change.until else 0.0
