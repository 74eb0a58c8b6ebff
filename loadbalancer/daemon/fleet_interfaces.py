"""What the services of a fleet member need of other parts of the daemon, and the types that they share."""

from __future__ import annotations

from pathlib import Path
from typing import Callable, Iterator, Mapping, NamedTuple, Protocol

from loadbalancer.admin.calls import Change
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.wire import Message
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.traffic_migration import Migration

#: An object of an answer to an operator, as it is encoded to JSON.
JsonObject = dict[str, object]
#: Receives the one answer to an operator's call.
AnswerCallback = Callable[[JsonObject], None]
#: Loads a configuration file, and checks all that a reload would need; raises ConfigError or OSError.
PrepareConfiguration = Callable[[Path, RateLimitedLogger], object]
#: Seconds on a clock that also runs while the machine sleeps.
Clock = Callable[[], float]


class StreamedMessage(NamedTuple):
    """One message of an answer over a connection between instances."""

    message: Message
    pause_s: float  # waited after the message, which bounds the rate


#: The answer to a message that opens a connection between instances.
StreamedAnswer = Iterator[StreamedMessage]


class OverrideTarget(Protocol):
    """The administrative overrides and traffic migrations of this daemon's pools."""

    marks: dict[str, dict[str, AdminOverride]]  # by pool and endpoint

    @property
    def moves(self) -> Mapping[str, object]:
        """Migrations by the name of the pool, of those of which a part was ever migrated."""

    def planned(self, change: Change) -> dict[str, AdminOverride | None]:
        """Return the overrides that a change would leave at its endpoints, None for no override."""

    def planned_move(self, change: Change) -> Migration | None:
        """Return the migration that a change asks for, None where it ends one."""

    def put_mark(self, name: str, member: str, mark: AdminOverride | None) -> None:
        """Apply an override to an endpoint of pool `name`, also of a pool that is not configured."""

    def put_move(self, pool: str, move: Migration | None) -> None:
        """Apply or end a pool's migration."""

    def put_freeze(self, name: str, frozen: bool) -> None:
        """Stop or resume following the endpoint list of a pool."""

    def told(self, change: Change) -> JsonObject:
        """Return what is now true of what a change was about."""
