"""The targets of a configuration's routes: each route's pool, with the route's settings for its requests."""

from __future__ import annotations

import time
from typing import Callable, Mapping

from loadbalancer.config.plan import ListenerPlan, Plan
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.daemon.typed_components import TypedComponents
from loadbalancer.frontends.routed_http import AnyTarget, FixedTarget, RedirectTarget, RouteTarget


class RouteTargets:
    """Builds the targets of one configuration's routes from the running pools."""

    def __init__(
        self,
        plan: Plan,
        pools: Mapping[str, RunningPool],
        components: TypedComponents,
        random: Callable[[], float],
    ) -> None:
        """Build the targets.

        Args:
            plan: The configuration.
            pools: Running pools by name, including every pool that a route of the configuration names.
            components: Components of the same configuration.
            random: Returns random numbers from 0 to 1, for the shares of migrations.
        """
        self._plan = plan
        self._pools = pools
        self._components = components
        self._random = random
        self._by_route = {name: self._target(name) for name in plan.routes}

    def for_listener(self, listener: ListenerPlan) -> dict[str, AnyTarget]:
        """Return a listener's targets by route, with its plug-ins; a listener may serve only some of the routes."""
        table = listener.table
        routes = self._by_route if table.routes is None else table.routes
        return {route: self._with_plugins(self._by_route[route], table.name) for route in routes}

    def _with_plugins(self, target: AnyTarget, listener: str) -> AnyTarget:
        plugins = self._components.plugins
        if plugins is None or isinstance(target, FixedTarget):
            return target
        return target._replace(hooks=plugins.hooks(target.name, listener))

    def _target(self, name: str) -> AnyTarget:
        route = self._plan.routes[name]
        if route.pool is None:
            return FixedTarget(name, route.status or 404)
        target = self._pool_target(name, route.pool)
        admin = self._components.admin
        migrations = admin.state.migrations.get(route.pool) if admin is not None else None
        if migrations is None:
            return target
        other = migrations.current.other if migrations.current is not None else None
        other_target = self._pool_target(name, other) if other is not None and other in self._pools else None
        return target._replace(migration=RedirectTarget(migrations, other_target, self._random, time.time))

    def _pool_target(self, name: str, pool_name: str) -> RouteTarget:
        route = self._plan.routes[name]
        pool = self._pools[pool_name]
        storage = self._components.storage
        return RouteTarget(
            name,
            pool.proxy,
            pool.reader,
            route.classes,
            route.deadline,
            route.tenant,
            route.sticky,
            pool.sessions,
            self._plan.pools[pool_name].table.limits.request_body,
            rewrites=route.rewrites,
            upgrade=route.upgrade,
            attempts=route.attempts,
            repeat_on=route.repeat_on,
            repeat_statuses=route.repeat_statuses,
            idempotency=None if storage is None else storage.key_recording(self._plan, route),
        )
