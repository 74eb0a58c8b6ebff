"""The order in which connections make room, on connections of the test's own."""

from __future__ import annotations

from typing import Any

from loadbalancer.frontends.evictable_connections import EVICT_TRIES, EvictableConnections


class IdleConnection:
    """A connection at rest since some time."""

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
    """What makes room at time 10, while many connections are being opened."""
    return list(evictable.candidates(10.0, 10.0, opening=50, spares_known=spares_known))


# Guards against a new client that is turned away since the oldest connections are known clients', which stay.
def test_a_stranger_at_rest_behind_many_known_clients_makes_room() -> None:
    known = [IdleConnection(1.0, is_known=True) for _ in range(2 * EVICT_TRIES)]
    stranger = IdleConnection(2.0)
    evictable = idle_connections(*known, stranger)
    assert candidates(evictable) == [stranger]


# Guards against known clients' connections that make room though others' could.
def test_known_clients_make_room_where_they_are_not_spared() -> None:
    known = IdleConnection(1.0, is_known=True)
    evictable = idle_connections(known, IdleConnection(2.0))
    assert candidates(evictable, spares_known=False)[0] is known


# Guards against a connection that was just answered and makes room for one that is being opened.
def test_a_connection_that_was_just_answered_makes_no_room_for_one_that_is_being_opened() -> None:
    evictable = idle_connections(IdleConnection(11.0))
    assert candidates(evictable) == []
