"""What administrative calls are answered from: queries and changes of one daemon."""

from __future__ import annotations

from typing import Callable

from loadbalancer.admin.calls import Change, ChangeDone, Verbs
from loadbalancer.daemon.admin_changes import ChangeHandler
from loadbalancer.daemon.admin_queries import AdminQueries


class AdminApi:
    """A daemon as `admin.calls.ManagedDaemon` describes it; sessions call it."""

    def __init__(self, queries: AdminQueries, changes: ChangeHandler) -> None:
        self._queries = queries
        self._changes = changes

    def read(self, what: str) -> object:
        """The answer to a path."""
        return self._queries.read(what)

    def is_readable(self, what: str) -> bool:
        """Whether a component can be read by this path."""
        return self._queries.is_readable(what)

    def start_query(self, what: str, done: Callable[[object], None]) -> bool:
        """Start a query that other instances answer; whether there is one by this path."""
        return self._queries.ask(what, done)

    def verbs(self) -> Verbs:
        """Verbs of components."""
        return self._changes.verbs()

    def explain(self, request: str) -> object:
        """The decisions of a recent request."""
        return self._queries.why(request)

    def change(self, change: Change, done: ChangeDone) -> None:
        """Apply a change."""
        self._changes.change(change, done)
