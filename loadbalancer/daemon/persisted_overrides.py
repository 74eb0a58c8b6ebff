"""Reads and writes administrative overrides and traffic migrations in the daemon's store, one record each."""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from typing import Callable, Mapping

import msgspec

from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.routing.traffic_migration import Migration
from loadbalancer.store.errors import StoreError
from loadbalancer.store.keeper import Job, Store, StoreView

OVERRIDE_PREFIX = b"mark/"
MIGRATION_PREFIX = b"move/"

SaveCallback = Callable[[StoreError | None], None]


def override_key(pool: str, endpoint: str) -> bytes:
    """Return the key of an endpoint's override."""
    return OVERRIDE_PREFIX + f"{pool}/{endpoint}".encode()


def migration_key(pool: str) -> bytes:
    """Return the key of a pool's migration."""
    return MIGRATION_PREFIX + pool.encode()


def load_overrides(view: StoreView) -> dict[str, dict[str, AdminOverride]]:
    """Read all overrides of a store by pool and endpoint; records that can't be decoded are skipped."""
    overrides: dict[str, dict[str, AdminOverride]] = {}
    for key in view.keys(OVERRIDE_PREFIX):
        pool, _, endpoint = key[len(OVERRIDE_PREFIX) :].decode("utf-8", "replace").partition("/")
        with suppress(msgspec.MsgspecError):
            override = msgspec.json.decode(view.get(key) or b"", type=AdminOverride)
            overrides.setdefault(pool, {})[endpoint] = override
    return overrides


def load_migrations(view: StoreView) -> dict[str, Migration]:
    """Read all migrations of a store by pool; records that can't be decoded are skipped."""
    migrations: dict[str, Migration] = {}
    for key in view.keys(MIGRATION_PREFIX):
        pool = key[len(MIGRATION_PREFIX) :].decode("utf-8", "replace")
        with suppress(msgspec.MsgspecError):
            migrations[pool] = msgspec.json.decode(view.get(key) or b"", type=Migration)
    return migrations


def write_overrides(pool: str, overrides: Mapping[str, AdminOverride | None], view: StoreView) -> None:
    """Write the overrides of these endpoints of a pool; None deletes an endpoint's override."""
    for endpoint, override in overrides.items():
        key = override_key(pool, endpoint)
        if override is None:
            view.delete(key)
        else:
            view.put(key, msgspec.json.encode(override), override.until)


def write_migration(pool: str, migration: Migration | None, view: StoreView) -> None:
    """Write a pool's migration; None deletes it."""
    key = migration_key(pool)
    if migration is None:
        view.delete(key)
    else:
        view.put(key, msgspec.json.encode(migration), migration.until)


class PersistedOverrides:
    """Writes overrides and migrations to the store, if the daemon has one."""

    def __init__(self, store: Callable[[], Store | None]) -> None:
        """Create a writer.

        Args:
            store: Returns the open store. Called at each write, since the store is reopened after a failed hot restart.
        """
        self._store = store

    @property
    def is_configured(self) -> bool:
        """Return whether there is a store to write to."""
        return self._store() is not None

    def save_overrides(
        self, pool: str, overrides: Mapping[str, AdminOverride | None], saved: SaveCallback
    ) -> None:
        """Write overrides, then call `saved`: with None once they are on disk, or with the error."""
        self._run(partial(write_overrides, pool, overrides), saved)

    def save_migration(self, pool: str, migration: Migration | None, saved: SaveCallback) -> None:
        """Write a migration, then call `saved`: with None once it is on disk, or with the error."""
        self._run(partial(write_migration, pool, migration), saved)

    def delete_override(self, pool: str, endpoint: str) -> None:
        """Delete an override that has expired. If this fails, the record's own expiry removes it."""
        if self.is_configured:
            self._run(partial(write_overrides, pool, {endpoint: None}), _ignore)

    def delete_migration(self, pool: str) -> None:
        """Delete a migration that has expired. If this fails, the record's own expiry removes it."""
        if self.is_configured:
            self._run(partial(write_migration, pool, None), _ignore)

    def _run(self, job: Job[None], saved: SaveCallback) -> None:
        store = self._store()
        assert store is not None
        store.submit(job, lambda _, problem: saved(problem))


def _ignore(problem: StoreError | None) -> None:
    """Ignore a failed deletion: the record's own expiry removes it."""
