"""Life cycle of a daemon: the configuration that is in force, periodic work, and the end.

A configuration is applied whole or not at all: pools are made and sockets bound before anything that runs is touched
(`staged_configuration.py`). Files are read before that, off the event loop (`reloader.py`).
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from itertools import count
from typing import TYPE_CHECKING, Iterator, Mapping

from loadbalancer.config.plan import Plan
from loadbalancer.daemon.component_factory import make_components
from loadbalancer.daemon.components import Component
from loadbalancer.daemon.listener_factory import Division, descriptors, divide
from loadbalancer.daemon.listener_set import ListenerSet
from loadbalancer.daemon.pool_set import PoolSet
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.daemon.reloader import Reloader
from loadbalancer.daemon.retirement import Retirement
from loadbalancer.daemon.route_targets import RouteTargets
from loadbalancer.daemon.snapshot_restore import restore_listed_pools
from loadbalancer.daemon.staged_configuration import StagedConfiguration
from loadbalancer.daemon.typed_components import TypedComponents, typed
from loadbalancer.frontends.listener import Listener, drain
from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
from loadbalancer.frontends.shutdown_deadline import shutdown_duration
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.fair_shares import WINDOW_S

if TYPE_CHECKING:  # loaded where they are configured
    from loadbalancer.admin.snapshot import Snapshot
    from loadbalancer.daemon.admin_server import AdminServer
    from loadbalancer.daemon.hot_restart.takeover import InheritedState
    from loadbalancer.daemon.plugins import PluginComponent
    from loadbalancer.daemon.storage import Storage
    from loadbalancer.daemon.tls_keys import TlsKeys

#: Between two looks at components, limits, and what a reload took out.
LOOK_INTERVAL_S = 0.25
#: How late an instance of a fleet may first call the source of a list: others may hand theirs on before.
MAX_FIRST_POLL_DELAY_S = 1.5


class Daemon:
    """Listeners, pools and components of one configuration at a time; it owns them until `close`.

    Attributes:
        logger: Log of all that runs here.
        plan: The configuration in force; None before the first.
        components: Running components by name.
        inherited: Sockets of the daemon before this one, until this one serves.
        inherited_snapshot: What that daemon knew of endpoints, until it is used or too old.
        retirement: What a reload took out, until it is closed.
        spares: Descriptors for when the system has no other.
    """

    def __init__(self, logger: RateLimitedLogger, seed: int | None = None) -> None:
        """Make a daemon without a configuration.

        Args:
            logger: Log of all that runs here.
            seed: Of all random choices; the system's if not given.
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
        self._pool_set = PoolSet(logger, self.spares, self._random, self.retirement.retire_pool)
        self._listener_set = ListenerSet(logger, self.spares, request_ids, self.retirement.retire_listener)
        self._reloader = Reloader(lambda prepared: self.apply(*prepared), self.spares, logger)
        self._descriptors = 0  # that the process may have, as last seen
        self._loop = asyncio.get_running_loop()
        self._look_timer = self._loop.call_later(LOOK_INTERVAL_S, self._look)
        self._usage_timer = self._loop.call_later(WINDOW_S, self._measure_usage)
        self._usage_measured = time.monotonic(), time.process_time()

    @property
    def pools(self) -> dict[str, RunningPool]:
        """Running pools by name."""
        return self._pool_set.running

    @property
    def listeners(self) -> dict[str, Listener]:
        """Running listeners by name."""
        return self._listener_set.running

    @property
    def plugins(self) -> PluginComponent | None:
        """Plug-ins."""
        return self._typed.plugins

    @property
    def tls_keys(self) -> TlsKeys | None:
        """Certificates and keys, where any listener or pool has TLS."""
        return self._typed.tls_keys

    @property
    def storage(self) -> Storage | None:
        """The store."""
        return self._typed.storage

    @property
    def admin(self) -> AdminServer | None:
        """What operators see and change."""
        return self._typed.admin

    @property
    def _typed(self) -> TypedComponents:
        return typed(self.components)

    @property
    def retiring(self) -> int:
        """Pools and listeners that a reload took out, and that are not closed yet."""
        return len(self.retirement)

    # Applying a configuration.

    def apply(self, plan: Plan, prepared: Mapping[str, Component | None] | None = None) -> None:
        """Run under a configuration from now on.

        Args:
            plan: The configuration.
            prepared: Components that have been made for it already, by name.

        Raises:
            ConfigError, OSError: That can't be; nothing has changed.
        """
        staged = StagedConfiguration(
            plan,
            self._listener_set.kept_by(plan, self.plan),
            running=self.components,
            is_successor=self.inherited is not None,
        )
        try:
            make_components(plan, self, staged.components, prepared or {})
            division = divide(plan)
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

    def _make_pools(self, staged: StagedConfiguration, division: Division) -> None:
        _, allocations = division
        plan = staged.plan
        admin = typed(staged.components).admin
        is_start = self.plan is None and plan.file.fleet is not None and self.inherited is None
        self._pool_set.make(
            plan,
            staged.pools,
            allocations,
            admin.state.overrides if admin is not None else {},
            MAX_FIRST_POLL_DELAY_S if is_start else 0.0,
        )

    def _swap(self, staged: StagedConfiguration, division: Division) -> None:
        """Put a configuration in force; may not fail."""
        slots, allocations = division
        plan = staged.plan
        self._pool_set.replace(plan, staged.pools, allocations, self.tls_keys)
        for component in self.components.values():
            component.reload(plan)
        targets = self._targets(plan)
        self._listener_set.replace(plan, staged.kept_listeners, staged.sockets, slots, targets, self.tls_keys)
        if staged.is_successor:
            self._listener_set.set_shared(True)
        self.plan = plan

    def _targets(self, plan: Plan) -> RouteTargets:
        return RouteTargets(plan, self.pools, self._typed, self._random.random)

    def retarget(self) -> None:
        """Route by the migrations as they are now."""
        if self.plan is not None:
            self._listener_set.retarget(self.plan, self._targets(self.plan))

    def serve(self) -> None:
        """This process answers from now on, alone or in the place of the one before."""
        self._listener_set.set_shared(False)
        for component in self.components.values():
            component.serve()

    def sockets(self) -> list[socket.socket]:
        """Sockets that listen now, also those of components."""
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
        """Configurations that were reloaded since the start."""
        return self._reloader.completed

    @property
    def reloading(self) -> bool:
        """Whether the configuration is being reloaded."""
        return self._reloader.is_running

    def reload(self) -> None:
        """Reload the configuration's file. A call while a reload is under way has another one follow it."""
        if self.plan is not None:
            self._reloader.reload(self.plan.path)

    # Periodic work.

    def _look(self) -> None:
        self._look_timer = self._loop.call_later(LOOK_INTERVAL_S, self._look)
        self._follow_descriptor_limit()
        self._restore_snapshot()
        for component in self.components.values():
            component.look()
        self.retirement.close_idle()

    def _follow_descriptor_limit(self) -> None:
        """Divide the descriptors anew where the process's limit has changed, or is lower than configured.

        Requests in flight go on; idle connections past the new shares are closed, and new clients are rejected.
        """
        self.spares.refill()
        allowed = descriptors()
        if allowed == self._descriptors or self.plan is None:
            return
        self._descriptors = allowed
        slots, allocations = divide(self.plan)
        configured = self.plan.file.process.descriptors
        if allowed < configured:
            self.logger("limit of descriptors", f"{allowed}, and {configured} are configured")
        for name, listener in self.listeners.items():
            listener.resize(*slots[name])
        self._pool_set.resize(allocations)

    def _measure_usage(self) -> None:
        """Tell the pools' turns how much of the last window the processor was used."""
        self._usage_timer = self._loop.call_later(WINDOW_S, self._measure_usage)
        wall_before, processor_before = self._usage_measured
        wall, processor = self._usage_measured = time.monotonic(), time.process_time()
        turns = self._pool_set.turns
        if turns is not None and wall > wall_before:
            turns.window((processor - processor_before) / (wall - wall_before))

    # The end.

    async def end(self, succeeded: bool = False) -> None:
        """Serve for a while yet, then answer what is held, and release all.

        Args:
            succeeded: Whether another process accepts on the same sockets.
        """
        self._reloader.close()
        longest = self.plan.longest if self.plan is not None else 0.0
        for pool in self.pools.values():
            pool.proxy.tunnels.retire()
        listeners = [*self.listeners.values(), *self.retirement.listeners]
        await drain(listeners, longest, shutdown_duration(longest), succeeded, blocks_connections=True)
        self.close()

    def close(self) -> None:
        """Release all at once; open requests get no answer."""
        self.spares.close()
        self._look_timer.cancel()
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


def _request_ids(draws: random.Random) -> Iterator[bytes]:
    """Ids of requests: a tag of this process, and a number."""
    tag = b"%010x" % draws.getrandbits(40)
    return (b"%b-%x" % (tag, number) for number in count(1))
