"""All that runs under one configuration, and the way from one configuration to the next.

A reload is all or nothing: the file is read and checked whole, new pools are made and new listeners bound before
anything that runs is touched; what can't be had leaves everything as it was.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING, Mapping, cast

from loadbalancer.config.plan import ListenerPlan, Plan
from loadbalancer.config.reader import ConfigError, read_address
from loadbalancer.daemon.component_factory import make_components, prepare
from loadbalancer.daemon.components import Component
from loadbalancer.daemon.listener_factory import Division, descriptors, divide, gate_of, serve_of
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.daemon.retirement import Retirement
from loadbalancer.frontends.listener import Listener, drain
from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
from loadbalancer.frontends.routed_http import (
    AnyTarget,
    FixedTarget,
    RedirectTarget,
    RoutedReader,
    RouteTarget,
)
from loadbalancer.frontends.sockets import UNIX, bind, release
from loadbalancer.proxy.open_requests import TransactionIds
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.fair_shares import WINDOW_S, ListenerSlots, PoolAllocation, WeightedTurns

if TYPE_CHECKING:  # loaded where they are configured
    from loadbalancer.admin.snapshot import Snapshot
    from loadbalancer.daemon.admin_server import AdminServer
    from loadbalancer.daemon.hot_restart import InheritedState
    from loadbalancer.daemon.plugins import PluginComponent
    from loadbalancer.daemon.storage import Storage
    from loadbalancer.daemon.tls_keys import TlsKeys

#: What a reload took out, parts and limits are looked after this often.
LOOK_S = 0.25
#: Beside the longest deadline, how long the end may take: new connections are still served for a while.
END_BESIDE_S = 2.0
#: At its start an instance of a fleet calls sources of lists after this at the latest: others may hand theirs on first.
HOLD_S = 1.5
#: Spare descriptors that a reload may use: the file, and files of members one after another.
RELOAD_SPARES = 2


class Daemon:
    """Listeners, pools and parts of one configuration at a time."""

    def __init__(self, logger: RateLimitedLogger, seed: int | None = None) -> None:
        """`seed`: of all random choices; from the system if it is not given."""
        self.retirement = Retirement()
        self.logger = logger
        self.plan: Plan | None = None
        self.parts: dict[str, Component] = {}
        self.taken: InheritedState | None = None  # sockets of the daemon before this one
        self.learnt: Snapshot | None = None  # what that one had learnt, until it is used or too old
        self.pools: dict[str, RunningPool] = {}
        self.listeners: dict[str, Listener] = {}
        self.reloads = 0  # that were taken
        self._random = random.Random(seed)
        tag = b"%010x" % self._random.getrandbits(40)
        self._request_ids = (b"%b-%x" % (tag, number) for number in count(1))
        self._ids = TransactionIds()
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(LOOK_S, self._look_after)
        self._window = self._loop.call_later(WINDOW_S, self._measure)
        self._measured = time.monotonic(), time.process_time()
        self._turns: WeightedTurns | None = None
        self.spares = ReserveDescriptors()
        self._descriptors = 0  # that the process may have, as last seen
        self._reloading: asyncio.Task[None] | None = None
        self._again = False  # another reload was asked for while one ran

    @property
    def retiring(self) -> int:
        """Pools and listeners that a reload took out, and that are not closed yet."""
        return len(self.retirement)

    @property
    def extensions(self) -> PluginComponent | None:
        """Plug-ins."""
        return cast("PluginComponent | None", self.parts.get("extensions"))

    @property
    def keys(self) -> TlsKeys | None:
        """Certificates, where anything speaks TLS."""
        return cast("TlsKeys | None", self.parts.get("keys"))

    @property
    def memory(self) -> Storage | None:
        """What outlasts the process."""
        return cast("Storage | None", self.parts.get("store"))

    @property
    def control(self) -> AdminServer | None:
        """What operators see and change."""
        return cast("AdminServer | None", self.parts.get("control"))

    # Taking a configuration.

    def apply(self, plan: Plan, prepared: Mapping[str, Component | None] | None = None) -> None:
        """Run under `plan` from now on. `prepared`: parts that have been made for it already. ConfigError or OSError,
        and nothing changed, if that can't be."""
        kept = self._kept(plan)
        parts: dict[str, Component] = {}
        made: dict[str, RunningPool] = {}
        sockets: dict[str, socket.socket] = {}
        try:
            make_components(plan, self, parts, prepared or {})
            division = divide(plan)
            sockets = self._bind(plan, kept)
            self._make_pools(plan, made, division[1], cast("AdminServer | None", parts.get("control")))
            for part in self._new(parts):
                part.begin()
        except Exception:
            for sock in sockets.values():
                release(sock)
            for pool in made.values():
                pool.close()
            for part in reversed(self._new(parts)):
                part.end()
            raise
        before, self.parts = self.parts, parts
        self._swap(plan, made, sockets, kept, division)
        for name, part in before.items():
            if parts.get(name) is not part:
                part.end()
        self._learn()

    def _new(self, parts: Mapping[str, Component]) -> list[Component]:
        return [part for name, part in parts.items() if self.parts.get(name) is not part]

    def serve(self) -> None:
        """This process answers from now on, alone or in the place of the one before."""
        for part in self.parts.values():
            part.serve()

    def _learn(self) -> None:
        """Go on from what the daemon before has learnt. A pool whose members are not listed yet has it once
        they are."""
        if self.learnt is None:
            return
        from loadbalancer.admin.snapshot import is_young, restore_pool

        now = time.time()
        if not is_young(self.learnt, now):
            self.learnt = None
            return
        waiting = []
        for note in self.learnt.pools:
            pool = self.pools.get(note.name)
            if pool is None:
                continue
            if not pool.proxy.listed and note.members:
                waiting.append(note)
            else:
                restore_pool(note, pool.proxy.balancer, pool.proxy.now(), max(0.0, now - self.learnt.at))
        self.learnt.pools = waiting
        if not waiting:
            self.learnt = None

    def _bind(self, plan: Plan, kept: Mapping[str, str]) -> dict[str, socket.socket]:
        """Sockets for the listeners that no running one has the address of."""
        sockets: dict[str, socket.socket] = {}
        try:
            for name, listener in plan.listeners.items():
                if name not in kept:
                    address = read_address(listener.table.address)
                    there = self.taken.claim(address) if self.taken is not None else None
                    sockets[name] = there or bind(address)
        except OSError:
            for sock in sockets.values():
                release(sock)
            raise
        return sockets

    def _kept(self, plan: Plan) -> dict[str, str]:
        """The running listener that each new one goes on with: that of its address, under whatever name."""
        if self.plan is None:
            return {}
        old = {name: read_address(self.plan.listeners[name].table.address) for name in self.listeners}
        by_address = {address: name for name, address in old.items()}
        kept = {}
        for name, listener in plan.listeners.items():
            address = read_address(listener.table.address)
            if old.get(name) == address:
                kept[name] = name
            elif address in by_address and (address[1] or address[0].startswith(UNIX)):
                kept[name] = by_address[address]
        return kept

    def _make_pools(
        self,
        plan: Plan,
        made: dict[str, RunningPool],
        shares: Mapping[str, PoolAllocation],
        control: AdminServer | None,
    ) -> None:
        held = HOLD_S if self.plan is None and plan.file.fleet is not None and self.taken is None else 0.0
        for name, pool in plan.pools.items():
            running = self.pools.get(name)
            if running is None or not running.plan.outlasts(pool):
                seed = self._random.getrandbits(64)
                marks = control.marks.get(name) if control is not None else None
                made[name] = RunningPool(
                    pool, shares[name], seed, self._ids, self.logger, plan.path.parent, marks, held
                )

    def _swap(
        self,
        plan: Plan,
        made: Mapping[str, RunningPool],
        sockets: Mapping[str, socket.socket],
        kept: Mapping[str, str],
        division: Division,
    ) -> None:
        """From here on nothing may fail."""
        slots, shares = division
        for name in list(self.pools):
            if name in made or name not in plan.pools:
                self.retirement.retire_pool(self.pools.pop(name))
        for name, pool in self.pools.items():
            try:
                pool.update(plan.pools[name])
            except ConfigError as error:  # its file of members has just changed; the old members go on
                self.logger("members file not taken", error.problems[0])
        self.pools.update(made)
        weights = {name: pool.table.limits.share for name, pool in plan.pools.items()}
        self._turns = WeightedTurns(weights) if len(weights) > 1 else None
        for name, pool in self.pools.items():
            pool.resize(shares[name], self._turns)
            pool.proxy.backends.free_descriptor = self.spares.take
            pool.proxy.backends.tls = self.keys.pools.get(name) if self.keys is not None else None
        for part in self.parts.values():
            part.reload(plan)
        self._swap_listeners(plan, sockets, kept, slots)
        self.plan = plan

    def _swap_listeners(
        self,
        plan: Plan,
        sockets: Mapping[str, socket.socket],
        kept: Mapping[str, str],
        slots: Mapping[str, ListenerSlots],
    ) -> None:
        running = {name: self.listeners.pop(old) for name, old in kept.items()}
        for listener in self.listeners.values():
            self.retirement.retire_listener(listener)
        self.listeners = running
        targets = {name: self._target(plan, name) for name in plan.routes}
        for name, listener_plan in plan.listeners.items():
            mine = self._targets_of(listener_plan, targets)
            reader = RoutedReader(listener_plan, mine, plan.key_headers, self._request_ids)
            if name in sockets:
                running[name] = Listener(reader, slots[name], self.logger, serve_of(listener_plan.table))
                running[name].start(sockets[name])
            self._set_up(running[name], listener_plan, reader, slots[name])

    def _set_up(
        self, listener: Listener, plan: ListenerPlan, reader: RoutedReader, slots: ListenerSlots
    ) -> None:
        listener.reader, listener.spares = reader, self.spares
        listener.speaks_http = plan.table.protocol == "http/1.1"
        listener.most, listener.overflow_most = slots
        listener.tls = self.keys.door(plan.table.name) if self.keys is not None else None
        listener.gate = gate_of(plan.table, listener.gate)  # connections that are there stay with the old one

    def _targets_of(self, plan: ListenerPlan, targets: Mapping[str, AnyTarget]) -> dict[str, AnyTarget]:
        chosen = targets if plan.table.routes is None else plan.table.routes
        return {route: self._hooked(targets[route], plan.table.name) for route in chosen}

    def retarget(self) -> None:
        """What operators move has changed; heads that have been read go where they were bound for."""
        if self.plan is None:
            return
        targets = {name: self._target(self.plan, name) for name in self.plan.routes}
        for name, listener in self.listeners.items():
            if isinstance(listener.reader, RoutedReader):
                listener.reader.targets = self._targets_of(self.plan.listeners[name], targets)

    def _target(self, plan: Plan, name: str) -> AnyTarget:
        route = plan.routes[name]
        if route.pool is None:
            return FixedTarget(name, route.status or 404)
        made = self._target_over(plan, name, route.pool)
        moves = self.control.moves.get(route.pool) if self.control is not None else None
        if moves is None:
            return made
        other = moves.move.other if moves.move is not None else None
        away = self._target_over(plan, name, other) if other in self.pools and other is not None else None
        return made._replace(moved=RedirectTarget(moves, away, self._random.random, time.time))

    def _target_over(self, plan: Plan, name: str, over: str) -> RouteTarget:
        route, pool = plan.routes[name], self.pools[over]
        return RouteTarget(
            name,
            pool.proxy,
            pool.reader,
            route.classes,
            route.deadline,
            route.tenant,
            route.sticky,
            pool.sessions,
            plan.pools[over].table.limits.request_body,
            rewrites=route.rewrites,
            upgrade=route.upgrade,
            attempts=route.attempts,
            repeat_on=route.repeat_on,
            repeat_statuses=route.repeat_statuses,
            remembers=None if self.memory is None else self.memory.remembers(plan, route),
        )

    def _hooked(self, target: AnyTarget, listener: str) -> AnyTarget:
        if self.extensions is None or isinstance(target, FixedTarget):
            return target
        return target._replace(hooks=self.extensions.hooks(target.name, listener))

    def sockets(self) -> list[socket.socket]:
        """Those that listen now, also those of parts."""
        found = [one.listening for one in self.listeners.values() if one.listening is not None]
        return found + [sock for part in self.parts.values() for sock in part.sockets()]

    # A few times a second.

    def _look_after(self) -> None:
        self._timer = self._loop.call_later(LOOK_S, self._look_after)
        self._heed_limit()
        self._learn()
        for part in self.parts.values():
            part.look()
        self.retirement.close_idle()

    def _heed_limit(self) -> None:
        """Guards against a limit of descriptors that is lowered while the process runs, or was lower than the file
        says: slots and members' connections are divided anew within it, and what is idle past them is closed. Harm:
        none to requests in flight; new clients are told to return."""
        self.spares.refill()
        allowed = descriptors()
        if allowed == self._descriptors or self.plan is None:
            return
        self._descriptors = allowed
        slots, shares = divide(self.plan)
        if allowed < self.plan.file.process.descriptors:
            self.logger(
                "limit of descriptors", f"{allowed}, and {self.plan.file.process.descriptors} are configured"
            )
        for name, listener in self.listeners.items():
            listener.resize(*slots[name])
        for name, pool in self.pools.items():
            pool.resize(shares[name], self._turns)

    def _measure(self) -> None:
        """How much of the last window the processor was used."""
        self._window = self._loop.call_later(WINDOW_S, self._measure)
        (wall, used), now = self._measured, (time.monotonic(), time.process_time())
        self._measured = now
        if self._turns is not None and now[0] > wall:
            self._turns.window((now[1] - used) / (now[0] - wall))

    # Reloading.

    @property
    def reloading(self) -> bool:
        return self._reloading is not None

    def reload(self) -> None:
        """Take the file anew; for a signal. One that comes while another is under way follows it."""
        if self._reloading is not None:
            self._again = True
        elif self.plan is not None:
            self._reloading = self._loop.create_task(self._reload(self.plan.path))

    async def _reload(self, path: Path) -> None:
        """Guards against a bad new file: whatever is wrong with it, what runs stays as it is."""
        for _ in range(RELOAD_SPARES):  # reading must not fail because clients hold all descriptors
            self.spares.take()
        try:
            found = await self._loop.run_in_executor(None, prepare, path, self.logger)
            self.apply(*found)
        except ConfigError as error:
            for problem in error.problems:
                self.logger(f"new configuration not taken: {problem.key or problem.file}", problem)
        except OSError as problem:
            self.logger("new configuration not taken", f"can't listen: {problem}")
        else:
            self.reloads += 1
            self.logger("new configuration taken", path)
        finally:
            self._reloading = None
            self.spares.refill()
        if self._again:
            self._again = False
            self.reload()

    # The end.

    async def end(self, succeeded: bool = False) -> None:
        """Serve for a while yet, then answer what is held, and release all. `succeeded`: another process accepts on
        the same sockets."""
        if self._reloading is not None:
            self._reloading.cancel()
        longest = self.plan.longest if self.plan is not None else 0.0
        for pool in self.pools.values():
            pool.proxy.tunnels.retire()
        listeners = [*self.listeners.values(), *self.retirement.listeners]
        await drain(listeners, longest, longest + END_BESIDE_S, succeeded)
        self.close()

    def close(self) -> None:
        self.spares.close()
        self._timer.cancel()
        self._window.cancel()
        for listener in (*self.listeners.values(), *self.retirement.listeners):
            listener.stop()
        for pool in (*self.pools.values(), *(retired.pool for retired in self.retirement.pools)):
            pool.close()
        for part in reversed(self.parts.values()):
            part.end()
        self.listeners, self.pools, self.parts = {}, {}, {}
        self.retirement = Retirement()
