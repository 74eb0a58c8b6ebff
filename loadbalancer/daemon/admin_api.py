"""The administrative API of one daemon, which combines its queries and its changes."""

from __future__ import annotations

from typing import Callable

from loadbalancer.admin.calls import Change, ChangeDone, Verbs
from loadbalancer.daemon.admin_changes import ChangeHandler
from loadbalancer.daemon.admin_queries import AdminQueries


class AdminApi:
    """Implements `admin.calls.ManagedDaemon`, which administrative sessions call."""

    def __init__(self, queries: AdminQueries, changes: ChangeHandler) -> None:
        self._queries = queries
        self._changes = changes

    def read(self, what: str) -> object:
        """Return the answer to a path."""
        return self._queries.read(what)

    def is_readable(self, what: str) -> bool:
        """Return whether a component answers reads of this path."""
        return self._queries.is_readable(what)

    def start_query(self, what: str, done: Callable[[object], None]) -> bool:
        """Start a query that is sent to other instances; return whether one exists for this path."""
        return self._queries.start_query(what, done)

    def verbs(self) -> Verbs:
        """Return the verbs that components add."""
        return self._changes.verbs()

    def explain(self, request: str) -> object:
        """Return the recorded decisions of a recent request."""
        return self._queries.explain_request(request)

    def change(self, change: Change, done: ChangeDone) -> None:
        """Apply a change and call `done` with its result."""
        self._changes.change(change, done)
