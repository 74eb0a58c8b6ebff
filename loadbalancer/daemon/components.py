"""What a daemon runs beside its listeners and pools, each part by itself: the store, operators' sockets, plug-ins, keys
of TLS. The daemon composes them and knows none of them by name; a part knows of the daemon what `DaemonContext` says.

A part's life: it is made when a configuration that wants it is taken (`makers.py`), `begin`s once all else of that
configuration could be had, `serve`s once this process is the one that answers, `look`s a few times a second, hears of
each further configuration, `retire`s when another process answers in this one's place, and `end`s once.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, Callable, Mapping, Protocol

from loadbalancer.admin.calls import Change
from loadbalancer.config.plan import Plan
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.frontends.listener import Listener
from loadbalancer.resource_limits import RateLimitedLogger

if TYPE_CHECKING:  # loaded where one daemon takes over from another
    from loadbalancer.admin.snapshot import Snapshot
    from loadbalancer.daemon.hot_restart import InheritedState


class Component:
    """Does nothing at each of these times; a part overrides those that it needs."""

    def begin(self) -> None:
        """Open what it owns. OSError or ConfigError, and it owns nothing, where that can't be."""

    def serve(self) -> None:
        """This process answers from now on, alone or in the place of the one before."""

    def reload(self, plan: Plan) -> None:
        """Another configuration, which keeps this part; pools are made and routes are not. May not fail."""

    def look(self) -> None:
        """A few times a second."""

    def retire(self) -> None:
        """Another process answers from now on; this one ends what it holds."""

    def sockets(self) -> list[socket.socket]:
        """Those that pass to a process that takes over."""
        return []

    def figures(self) -> Mapping[str, Any]:
        """What `status` shows of it, as JSON has it."""
        return {}

    def reads(self) -> Mapping[str, Callable[[], Any]]:
        """What operators can read of it, by the path of the call."""
        return {}

    def asks(self) -> Mapping[str, Callable[[Callable[[Any], None]], None]]:
        """The same of what others have to be asked for: each is handed who hears it, later."""
        return {}

    def more_verbs(self) -> Mapping[str, tuple[frozenset[str], str]]:
        """Changes that operators can ask of it: what each wants, and a line about it."""
        return {}

    def take_change(self, change: Change, done: Callable[[Any], None]) -> bool:
        """Whether this is its matter; CallError where it can't be done. `done` hears once, later, what is now true."""
        return False

    def end(self) -> None:
        """Give back all that it owns."""


class DaemonContext(Protocol):
    """The daemon, as its parts see it."""

    logger: RateLimitedLogger
    plan: Plan | None
    parts: dict[str, Component]
    pools: dict[str, RunningPool]
    listeners: dict[str, Listener]
    taken: InheritedState | None  # sockets of the daemon before this one
    learnt: Snapshot | None  # what that one had learnt, until it is used or too old
    reloads: int  # that were taken

    @property
    def retiring(self) -> int:
        """Pools and listeners that a reload took out, and that are not closed yet."""

    @property
    def reloading(self) -> bool:
        """Whether the file is being taken anew."""

    def reload(self) -> None:
        """Take the file anew; for a signal. One that comes while another is under way follows it."""

    def retarget(self) -> None:
        """What operators move has changed."""

    def sockets(self) -> list[socket.socket]:
        """Those that listen now, and pass to a process that takes over."""
