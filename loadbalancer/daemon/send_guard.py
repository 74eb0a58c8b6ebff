"""The check before each send of a fleet member that the replicated state still allows the request to leave."""

from __future__ import annotations

from collections import deque
from typing import Callable

from loadbalancer.daemon.components import ReplicatedOverrideTarget
from loadbalancer.daemon.fleet_interfaces import Clock
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.replication.epochs import Epoch
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.policy.events import AttemptResult


class SendGuard:
    """Creates the check of each pool, which also counts the sends under each version."""

    def __init__(
        self, lease: Lease, overrides: ReplicatedOverrideTarget, history: deque[Epoch], clock: Clock
    ) -> None:
        self._lease = lease
        self._overrides = overrides
        self._history = history  # never empty
        self._clock = clock

    def for_pool(self, pool: str, sticky_while_draining: bool) -> Callable[[str], AttemptResult | None]:
        """Return the check that a pool makes before each send.

        Args:
            pool: The pool's name.
            sticky_while_draining: Whether sticky sessions continue at a draining endpoint.

        Returns:
            A function of the endpoint's name. It returns None if the request may leave, NOT_SENT without a lease, and
            NO_CONNECTION if an override came into force while the request waited for its connection, so that another
            endpoint may answer it.
        """
        overrides = self._overrides.overrides

        def check(endpoint: str) -> AttemptResult | None:
            now = self._clock()
            if not self._lease.may_act(now):
                return AttemptResult.NOT_SENT
            override = overrides.get(pool, {}).get(endpoint)
            if override is not None and _forbids_sending(override, sticky_while_draining):
                return AttemptResult.NO_CONNECTION
            epoch = self._history[-1]
            epoch.sends += 1
            epoch.last_send_at = now
            return None

        return check


def _forbids_sending(override: AdminOverride, sticky_while_draining: bool) -> bool:
    return override.word == "cordon" or (override.word == "drain" and not sticky_while_draining)
