"""The order in which connections are evicted, with fake connections."""

from __future__ import annotations

from typing import Any

from loadbalancer.frontends.evictable_connections import EVICT_TRIES, EvictableConnections


class IdleConnection:
    """A fake connection that has been idle since a given time."""

    def __init__(self, since: float, is_known: bool = False) -> None:
        self.since = since
        self.request_count = 1
        self._is_known = is_known

    def is_protected(self) -> bool:
        return self._is_known


def idle_connections(*connections: Any) -> EvictableConnections:
    evictable = EvictableConnections()
    for connection in connections:
        evictable.add_idle(connection)
    return evictable


def candidates(evictable: EvictableConnections, spares_known: bool = True) -> list[Any]:
    """Return the candidates for eviction at time 10, while many connections are being opened."""
    return list(evictable.candidates(10.0, 10.0, opening=50, spares_known=spares_known))


# Guards against a new client that is refused because the oldest connections belong to known clients, which stay.
def test_idle_unknown_client_behind_many_known_clients_is_evicted() -> None:
    known = [IdleConnection(1.0, is_known=True) for _ in range(2 * EVICT_TRIES)]
    unknown_client = IdleConnection(2.0)
    evictable = idle_connections(*known, unknown_client)
    assert candidates(evictable) == [unknown_client]


# Guards against sparing known clients where it is not asked for.
def test_known_client_is_evicted_if_known_clients_are_not_spared() -> None:
    known = IdleConnection(1.0, is_known=True)
    evictable = idle_connections(known, IdleConnection(2.0))
    assert candidates(evictable, spares_known=False)[0] is known


# Guards against evicting a connection that was just answered for one that is being opened.
def test_just_answered_connection_is_not_evicted_for_one_being_opened() -> None:
    evictable = idle_connections(IdleConnection(11.0))
    assert candidates(evictable) == []
