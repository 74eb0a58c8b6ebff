"""The pools of a daemon, and their replacement when the configuration changes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Callable, Mapping

from loadbalancer.config.plan import Plan
from loadbalancer.config.reader import ConfigError
from loadbalancer.daemon.listener_factory import ResourceDivision
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
from loadbalancer.memory_account import MemoryAccount
from loadbalancer.proxy.transaction_ids import TransactionIds
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.fair_shares import PoolAllocation, WeightedAdmission

if TYPE_CHECKING:  # imported at run time only when the feature is configured
    from loadbalancer.daemon.tls_keys import TlsKeys


class PoolSet:
    """Holds the running pools by name. The daemon owns and closes them.

    Attributes:
        running: Pools to which routes lead.
        weighted_turns: Divides the processor among the pools; None for fewer than two pools.
    """

    def __init__(
        self,
        logger: RateLimitedLogger,
        spares: ReserveDescriptors,
        random_source: random.Random,
        retire: Callable[[RunningPool], None],
        account: MemoryAccount,
    ) -> None:
        """Create an empty set.

        Args:
            logger: Log of the pools.
            spares: Descriptors held in reserve for when the system has no others left.
            random_source: Generates the seeds of the pools.
            retire: Called with each pool that a new configuration removes or replaces.
            account: The memory account of the process.
        """
        self.running: dict[str, RunningPool] = {}
        self.weighted_turns: WeightedAdmission | None = None
        self._logger = logger
        self._spares = spares
        self._random_source = random_source
        self._retire = retire
        self._account = account
        self._ids = TransactionIds()

    def make(
        self,
        plan: Plan,
        pools: dict[str, RunningPool],
        allocations: Mapping[str, PoolAllocation],
        overrides: Mapping[str, Mapping[str, AdminOverride]],
        max_first_poll_delay_s: float,
    ) -> None:
        """Create the pools of a configuration for which no running pool can be reused.

        Args:
            plan: The configuration.
            pools: Receives the pools by name; if one can't be created, those that were created before it.
            allocations: Each pool's share of the process's resources, by name.
            overrides: Overrides in force by pool and endpoint.
            max_first_poll_delay_s: Longest delay of a pool's first discovery poll, in seconds.

        Raises:
            ConfigError, OSError: A pool can't be created.
        """
        for name, pool in plan.pools.items():
            running = self.running.get(name)
            if running is None or not running.plan.is_compatible_with(pool):
                pools[name] = RunningPool(
                    pool,
                    allocations[name],
                    self._random_source.getrandbits(64),
                    self._ids,
                    self._logger,
                    self._account,
                    plan.path.parent,
                    overrides.get(name),
                    max_first_poll_delay_s,
                )

    def replace(
        self,
        plan: Plan,
        made: Mapping[str, RunningPool],
        division: ResourceDivision,
        tls_keys: TlsKeys | None,
    ) -> None:
        """Switch to the pools of a configuration, including those in `made`. Must not fail."""
        for name in list(self.running):
            if name in made or name not in plan.pools:
                self._retire(self.running.pop(name))
        for name, pool in self.running.items():
            try:
                pool.update(plan.pools[name])
            except ConfigError as error:  # the endpoints file has just changed; the old list stays in force
                self._logger("members file not taken", error.problems[0])
        self.running.update(made)
        weights = {name: pool.table.limits.share for name, pool in plan.pools.items()}
        self.weighted_turns = WeightedAdmission(weights) if len(weights) > 1 else None
        for name, pool in self.running.items():
            pool.resize(division.allocations[name], self.weighted_turns)
            pool.proxy.upstreams.kernel_buffers = division.limits.kernel_buffers
            pool.proxy.upstreams.free_descriptor = self._spares.take
            pool.proxy.upstreams.tls = tls_keys.pools.get(name) if tls_keys is not None else None

    def resize(self, allocations: Mapping[str, PoolAllocation]) -> None:
        """Change each pool's share of the process's resources."""
        for name, pool in self.running.items():
            pool.resize(allocations[name], self.weighted_turns)
