"""Life cycle of a daemon: applying and reloading configurations, periodic work, and shutdown.

A configuration is applied completely or not at all: its pools are created and its sockets bound before anything that
is running changes (`staged_configuration.py`). Its files are read before that, off the event loop (`reloader.py`).
"""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from itertools import count
from typing import TYPE_CHECKING, Iterator, Mapping

from loadbalancer.config.plan import Plan
from loadbalancer.daemon.component_factory import make_components
from loadbalancer.daemon.components import Component
from loadbalancer.daemon.listener_factory import ResourceDivision, descriptor_limit, divide_resources
from loadbalancer.daemon.listener_set import ListenerSet
from loadbalancer.daemon.pool_set import PoolSet
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.daemon.reloader import Reloader
from loadbalancer.daemon.retirement import Retirement
from loadbalancer.daemon.route_targets import RouteTargets
from loadbalancer.daemon.snapshot_restore import restore_listed_pools
from loadbalancer.daemon.staged_configuration import StagedConfiguration
from loadbalancer.daemon.typed_components import TypedComponents, typed
from loadbalancer.frontends.connection import FrontConnection
from loadbalancer.frontends.listener import Listener, drain
from loadbalancer.frontends.memory_reclaimer import MemoryReclaimer
from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
from loadbalancer.frontends.shutdown_deadline import shutdown_duration
from loadbalancer.memory_account import MemoryAccount
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.fair_shares import WINDOW_S

if TYPE_CHECKING:  # imported at run time only when the feature is configured
    from loadbalancer.admin.snapshot import Snapshot
    from loadbalancer.daemon.admin_server import AdminServer
    from loadbalancer.daemon.hot_restart.takeover import InheritedState
    from loadbalancer.daemon.plugins import PluginComponent
    from loadbalancer.daemon.storage import Storage
    from loadbalancer.daemon.tls_keys import TlsKeys

#: Interval at which components, the descriptor limit, and retired pools and listeners are polled.
POLL_INTERVAL_S = 0.25
#: Longest delay of a fleet instance's first discovery poll; until then, other instances may send it their lists.
MAX_FIRST_POLL_DELAY_S = 1.5


class Daemon:
    """Runs the listeners, pools and components of one configuration at a time, and owns them until `close`.

    Attributes:
        account: The memory that peers make the process hold.
        logger: Log of the daemon and of everything that it runs.
        plan: The configuration in force; None before the first one is applied.
        components: Running components by name.
        inherited: Sockets inherited from the previous daemon at a hot restart, until this one serves.
        inherited_snapshot: The previous daemon's endpoint state, until it is restored or too old.
        retirement: Pools and listeners that a reload removed, until they are closed.
        spares: Descriptors held in reserve for when the system has no others left.
    """

    def __init__(self, logger: RateLimitedLogger, seed: int | None = None) -> None:
        """Create a daemon without a configuration.

        Args:
            logger: Log of the daemon and of everything that it runs.
            seed: Seed of all random choices; seeded by the system if not given.
        """
        self.logger = logger
        self.plan: Plan | None = None
        self.components: dict[str, Component] = {}
        self.inherited: InheritedState | None = None
        self.inherited_snapshot: Snapshot | None = None
        self.retirement = Retirement()
        self.spares = ReserveDescriptors()
        self._random = random.Random(seed)
        request_ids = _request_ids(self._random)
        self.account = MemoryAccount(sys.maxsize)
        self._reclaimer = MemoryReclaimer(self.account, self._client_connections, logger)
        self._pool_set = PoolSet(logger, self.spares, self._random, self.retirement.retire_pool, self.account)
        self._listener_set = ListenerSet(
            logger, self.spares, request_ids, self.retirement.retire_listener, self.account
        )
        self._reloader = Reloader(lambda prepared: self.apply(*prepared), self.spares, logger)
        self._descriptor_limit = 0  # the process's limit when it was last read
        self._loop = asyncio.get_running_loop()
        self._poll_timer = self._loop.call_later(POLL_INTERVAL_S, self._poll)
        self._usage_timer = self._loop.call_later(WINDOW_S, self._measure_usage)
        self._usage_measured = time.monotonic(), time.process_time()

    @property
    def pools(self) -> dict[str, RunningPool]:
        """Return the running pools by name."""
        return self._pool_set.running

    @property
    def listeners(self) -> dict[str, Listener]:
        """Return the running listeners by name."""
        return self._listener_set.running

    @property
    def plugins(self) -> PluginComponent | None:
        """Return the plug-ins; None if none is configured."""
        return self._typed.plugins

    @property
    def tls_keys(self) -> TlsKeys | None:
        """Return the certificates and keys; None if no listener and no pool uses TLS."""
        return self._typed.tls_keys

    @property
    def storage(self) -> Storage | None:
        """Return the store; None if none is configured."""
        return self._typed.storage

    @property
    def admin(self) -> AdminServer | None:
        """Return the administrative server; None if none is configured."""
        return self._typed.admin

    @property
    def _typed(self) -> TypedComponents:
        return typed(self.components)

    @property
    def retiring(self) -> int:
        """Return the number of pools and listeners that a reload removed and that are not closed yet."""
        return len(self.retirement)

    # Applying a configuration.

    def apply(self, plan: Plan, prepared: Mapping[str, Component | None] | None = None) -> None:
        """Put a configuration in force.

        Args:
            plan: The configuration.
            prepared: Components that were already created for it, by name.

        Raises:
            ConfigError, OSError: The configuration can't be applied; nothing has changed.
        """
        staged = StagedConfiguration(
            plan,
            self._listener_set.find_kept(plan, self.plan),
            running=self.components,
            is_successor=self.inherited is not None,
        )
        try:
            make_components(plan, self, staged.components, prepared or {})
            division = divide_resources(plan)
            staged.sockets = self._listener_set.bind(plan, staged.kept_listeners, self.inherited)
            self._make_pools(staged, division)
            for component in staged.new_components():
                component.begin()
        except Exception:
            staged.discard()
            raise
        self.components = staged.components
        self._swap(staged, division)
        for component in staged.obsolete_components():
            component.end()
        self._restore_snapshot()

    def _make_pools(self, staged: StagedConfiguration, division: ResourceDivision) -> None:
        plan = staged.plan
        admin = typed(staged.components).admin
        is_start = self.plan is None and plan.file.fleet is not None and self.inherited is None
        self._pool_set.make(
            plan,
            staged.pools,
            division.allocations,
            admin.state.overrides if admin is not None else {},
            MAX_FIRST_POLL_DELAY_S if is_start else 0.0,
        )

    def _swap(self, staged: StagedConfiguration, division: ResourceDivision) -> None:
        """Switch to a staged configuration. Must not fail."""
        plan = staged.plan
        self.account.resize(division.limits.buffered)
        self._pool_set.replace(plan, staged.pools, division, self.tls_keys)
        for component in self.components.values():
            component.reload(plan)
        targets = self._targets(plan)
        self._listener_set.replace(
            plan, staged.kept_listeners, staged.sockets, division, targets, self.tls_keys
        )
        if staged.is_successor:
            self._listener_set.set_shared(True)
        self.plan = plan

    def _targets(self, plan: Plan) -> RouteTargets:
        return RouteTargets(plan, self.pools, self._typed, self._random.random)

    def retarget(self) -> None:
        """Recompute the targets of all routes from the current migrations."""
        if self.plan is not None:
            self._listener_set.retarget(self.plan, self._targets(self.plan))

    def serve(self) -> None:
        """Mark this process as the one that serves, as the only one or in place of the previous one."""
        self._listener_set.set_shared(False)
        for component in self.components.values():
            component.serve()

    def sockets(self) -> list[socket.socket]:
        """Return the listening sockets, including those of components."""
        sockets = self._listener_set.sockets()
        for component in self.components.values():
            sockets.extend(component.sockets())
        return sockets

    def _restore_snapshot(self) -> None:
        if self.inherited_snapshot is not None:
            self.inherited_snapshot = restore_listed_pools(self.inherited_snapshot, self.pools)

    # Reloading.

    @property
    def reloads(self) -> int:
        """Return the number of reloads since the start whose configuration was applied."""
        return self._reloader.completed

    @property
    def reloading(self) -> bool:
        """Return whether a reload is in progress."""
        return self._reloader.is_running

    def reload(self) -> None:
        """Reload the configuration file. A call during a reload queues one more reload after it."""
        if self.plan is not None:
            self._reloader.reload(self.plan.path)

    # Periodic work.

    def _poll(self) -> None:
        self._poll_timer = self._loop.call_later(POLL_INTERVAL_S, self._poll)
        self._follow_descriptor_limit()
        self._restore_snapshot()
        for component in self.components.values():
            component.poll()
        self.retirement.close_idle()

    def _follow_descriptor_limit(self) -> None:
        """Divide the descriptors again if the process's limit has changed, and log a limit below the configured one.

        Requests in flight continue; idle connections above the new shares are closed, and new clients are rejected.
        """
        self.spares.refill()
        allowed = descriptor_limit()
        if allowed == self._descriptor_limit or self.plan is None:
            return
        self._descriptor_limit = allowed
        division = divide_resources(self.plan)
        configured = self.plan.file.process.descriptors
        if allowed < configured:
            self.logger(
                "limit of descriptors", f"the process may open {allowed}, {configured} are configured"
            )
        for name, listener in self.listeners.items():
            listener.resize(*division.slots[name])
        self._pool_set.resize(division.allocations)

    def _client_connections(self) -> Iterator[FrontConnection]:
        for listener in (*self.listeners.values(), *self.retirement.listeners):
            yield from listener.connections

    def _measure_usage(self) -> None:
        """Report the processor's utilization in the last window to the scheduler that divides it among pools."""
        self._usage_timer = self._loop.call_later(WINDOW_S, self._measure_usage)
        wall_before, processor_before = self._usage_measured
        wall, processor = self._usage_measured = time.monotonic(), time.process_time()
        weighted_turns = self._pool_set.weighted_turns
        if weighted_turns is not None and wall > wall_before:
            weighted_turns.end_window((processor - processor_before) / (wall - wall_before))

    # Shutdown.

    async def end(self, has_successor: bool = False) -> None:
        """Shut down gracefully: continue to serve for a while, drain the requests in flight, and release everything.

        Args:
            has_successor: Whether another process accepts connections on the same sockets.
        """
        self._reloader.close()
        longest = self.plan.max_deadline_s if self.plan is not None else 0.0
        for pool in self.pools.values():
            pool.proxy.tunnels.retire()
        listeners = [*self.listeners.values(), *self.retirement.listeners]
        await drain(listeners, longest, shutdown_duration(longest), has_successor, blocks_connections=True)
        self.close()

    def close(self) -> None:
        """Release everything immediately; open requests get no response."""
        self.spares.close()
        self._reclaimer.close()
        self._poll_timer.cancel()
        self._usage_timer.cancel()
        for listener in (*self.listeners.values(), *self.retirement.listeners):
            listener.stop()
        for pool in (*self.pools.values(), *(retired.pool for retired in self.retirement.pools)):
            pool.close()
        for component in reversed(self.components.values()):
            component.end()
        self._listener_set.running = {}
        self._pool_set.running = {}
        self.components = {}
        self.retirement = Retirement()


def _request_ids(random_source: random.Random) -> Iterator[bytes]:
    """Generate request ids, each a random tag of this process and a sequence number."""
    tag = b"%010x" % random_source.getrandbits(40)
    return (b"%b-%x" % (tag, number) for number in count(1))
