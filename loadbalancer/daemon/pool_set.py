"""The pools of a daemon, and their way from one configuration to the next."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Callable, Mapping

from loadbalancer.config.plan import Plan
from loadbalancer.config.reader import ConfigError
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
from loadbalancer.proxy.open_requests import TransactionIds
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.fair_shares import PoolAllocation, WeightedAdmission

if TYPE_CHECKING:  # loaded where they are configured
    from loadbalancer.daemon.tls_keys import TlsKeys


class PoolSet:
    """Running pools by name. The daemon owns them, and closes them.

    Attributes:
        running: Pools that routes lead to.
        turns: Shares the processor between pools, where there are several.
    """

    def __init__(
        self,
        logger: RateLimitedLogger,
        spares: ReserveDescriptors,
        draws: random.Random,
        retire: Callable[[RunningPool], None],
    ) -> None:
        """Make an empty set.

        Args:
            logger: Log of the pools.
            spares: Descriptors for when the system has no other.
            draws: Seeds of the pools are drawn from it.
            retire: Called with a pool that a configuration has no more, or that is replaced.
        """
        self.running: dict[str, RunningPool] = {}
        self.turns: WeightedAdmission | None = None
        self._logger = logger
        self._spares = spares
        self._draws = draws
        self._retire = retire
        self._ids = TransactionIds()

    def make(
        self,
        plan: Plan,
        pools: dict[str, RunningPool],
        allocations: Mapping[str, PoolAllocation],
        overrides: Mapping[str, Mapping[str, AdminOverride]],
        max_first_poll_delay_s: float,
    ) -> None:
        """Make the pools of a configuration that none running can go on as.

        Args:
            plan: The configuration.
            pools: Gets the pools by name; where one can't be made, those that were made before it.
            allocations: What each pool may hold.
            overrides: Overrides in force by pool and endpoint.
            max_first_poll_delay_s: Seconds that a first call to a list's source may wait for its turn.

        Raises:
            ConfigError, OSError: A pool can't be made.
        """
        for name, pool in plan.pools.items():
            running = self.running.get(name)
            if running is None or not running.plan.outlasts(pool):
                pools[name] = RunningPool(
                    pool,
                    allocations[name],
                    self._draws.getrandbits(64),
                    self._ids,
                    self._logger,
                    plan.path.parent,
                    overrides.get(name),
                    max_first_poll_delay_s,
                )

    def replace(
        self,
        plan: Plan,
        made: Mapping[str, RunningPool],
        allocations: Mapping[str, PoolAllocation],
        tls_keys: TlsKeys | None,
    ) -> None:
        """Run the pools of a configuration, `made` among them; may not fail."""
        for name in list(self.running):
            if name in made or name not in plan.pools:
                self._retire(self.running.pop(name))
        for name, pool in self.running.items():
            try:
                pool.update(plan.pools[name])
            except ConfigError as error:  # its file of endpoints has just changed; the old list holds
                self._logger("members file not taken", error.problems[0])
        self.running.update(made)
        weights = {name: pool.table.limits.share for name, pool in plan.pools.items()}
        self.turns = WeightedAdmission(weights) if len(weights) > 1 else None
        for name, pool in self.running.items():
            pool.resize(allocations[name], self.turns)
            pool.proxy.upstreams.free_descriptor = self._spares.take
            pool.proxy.upstreams.tls = tls_keys.pools.get(name) if tls_keys is not None else None

    def resize(self, allocations: Mapping[str, PoolAllocation]) -> None:
        """Give each pool another part of the process."""
        for name, pool in self.running.items():
            pool.resize(allocations[name], self.turns)
