"""A running pool: its proxy, its administrative overrides, and the source of its endpoint list."""

from __future__ import annotations

import time
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Callable, Mapping, Union

from loadbalancer.config.plan import PoolPlan, statuses
from loadbalancer.config.reader import read_address
from loadbalancer.config.types import FastCgiTable, TunnelsTable
from loadbalancer.discovery.entry_conversion import EntryConverter
from loadbalancer.discovery.list_handoff import MAX_AGE_S, read, write
from loadbalancer.discovery.overrides import AdminOverride, EndpointOverrides
from loadbalancer.discovery.static_list import MembersFile, StaticEndpoints
from loadbalancer.discovery.watch import DiscoveryClient
from loadbalancer.frontends.platform_http import PlatformReader
from loadbalancer.memory_account import MemoryAccount
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.proxy.transaction_ids import TransactionIds
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.fair_shares import PoolAllocation, WeightedAdmission
from loadbalancer.streaming.tunnels import TunnelLimits
from loadbalancer.upstreams.connections import Upstream
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.fastcgi import FastCgiUpstreamConnection, application
from loadbalancer.upstreams.http1 import Http1UpstreamConnection
from loadbalancer.upstreams.multiplex import MultiplexedConnection

#: Status for a request that failed because its last attempt timed out (RFC 9110, 15.6.5).
GATEWAY_TIMEOUT = 504


def make_dialect(plan: PoolPlan) -> Dialect | None:
    """Return the dialect of the pool's endpoints; None for the platform's."""
    table = plan.table
    if table.dialect == "platform":
        return None
    return Dialect(
        report_header=_header(table.load_header),
        report_fields=plan.deployment.settings.report_fields,
        refusal_header=_header(table.refusal_header),
        deadline_header=None,
        body_most=table.limits.answer_body,
        stream_most=table.limits.answer_stream,
        platform=False,
        close_delimited=table.close_delimited,
        repeat_statuses=statuses(table.repeats.on),
        repeat_header=_header(table.repeats.header),
    )


def make_tunnel_limits(table: TunnelsTable) -> TunnelLimits:
    """Return the limits of the pool's tunnels, with times in seconds."""
    return TunnelLimits(table.most, float(table.idle), float(table.life), float(table.grace))


def _header(name: str | None) -> bytes | None:
    return name.lower().encode() if name is not None else None


def make_connection_factory(plan: PoolPlan) -> Callable[..., Upstream]:
    """Return the function that creates connections to the pool's endpoints."""
    table = plan.table
    if table.protocol == "http/1.1":
        return Http1UpstreamConnection
    fastcgi = table.fastcgi or FastCgiTable()
    connection = MultiplexedConnection if fastcgi.multiplex and fastcgi.keep else FastCgiUpstreamConnection
    return partial(connection, application=application(fastcgi.params, fastcgi.keep, fastcgi.multiplex))


def _make_proxy(
    plan: PoolPlan,
    allocation: PoolAllocation,
    seed: int,
    ids: TransactionIds,
    logger: RateLimitedLogger,
    account: MemoryAccount,
) -> Proxy:
    proxy = Proxy(
        plan.deployment,
        seed,
        allocation,
        logger,
        dialect=make_dialect(plan),
        connect=make_connection_factory(plan),
        ids=ids,
        timeout_status=GATEWAY_TIMEOUT,
        tunnels=make_tunnel_limits(plan.table.tunnels),
        account=account,
    )
    proxy.name = plan.table.name
    return proxy


class RunningPool:
    """Runs one pool. The daemon owns it; `close` releases its connections and its source.

    Attributes:
        plan: The pool's configuration.
        sessions: Endpoint ids by their names in sticky sessions; changed in place, since routes refer to this dict.
        proxy: Holds the open requests and connections.
        reader: Reads requests of the platform's dialect; None for other dialects.
        overlay: Applies operators' overrides to the endpoint list of the source.
        source: The source of the endpoint list.
    """

    def __init__(
        self,
        plan: PoolPlan,
        allocation: PoolAllocation,
        seed: int,
        ids: TransactionIds,
        logger: RateLimitedLogger,
        account: MemoryAccount,
        base: Path,
        overrides: Mapping[str, AdminOverride] | None = None,
        max_first_poll_delay_s: float = 0.0,
    ) -> None:
        """Create the pool, and read its endpoints file or start to poll its source.

        Args:
            plan: The pool's configuration.
            allocation: The pool's share of the process's resources.
            seed: Seed of the pool's random choices.
            ids: Generator of request ids, shared by all pools of the process.
            logger: Log of the daemon.
            account: The memory account of the process.
            base: Folder to which the path of an endpoints file is relative.
            overrides: Operators' overrides by endpoint.
            max_first_poll_delay_s: Longest delay of the first discovery poll, in seconds.

        Raises:
            ConfigError: The endpoints file can't be read.
        """
        logger = logger.bind(pool=plan.table.name)
        self.plan = plan
        self.sessions: dict[str, str] = {}
        self._logger = logger
        self._base = base
        self._max_first_poll_delay_s = max_first_poll_delay_s
        self.proxy = _make_proxy(plan, allocation, seed, ids, logger, account)
        self.reader = (
            PlatformReader(self.proxy, plan.deployment) if plan.table.dialect == "platform" else None
        )
        self.overlay = EndpointOverrides(self.proxy, overrides or {}, time.time)
        starts_cold = plan.table.rules.new_members == "cold"
        self._convert = EntryConverter(plan.deployment.zones, starts_cold)
        self.source: Union[StaticEndpoints, DiscoveryClient]
        try:
            self.source = self._open_source()
        except Exception:
            self.proxy.close()
            raise

    def _open_source(self) -> Union[StaticEndpoints, DiscoveryClient]:
        table = self.plan.table
        source: Union[StaticEndpoints, DiscoveryClient]
        if table.discovery is not None:
            address = read_address(table.discovery)
            source = DiscoveryClient(self.overlay, self.plan.deployment, address, self._logger)
            source.start({"servers": []}, self._max_first_poll_delay_s)
        elif table.members_file is not None:
            source = self._open_file(self._base / table.members_file)
        else:
            source = StaticEndpoints(self.overlay, self._update_sessions, self._convert)
            source.set_members(table.member)
        self.proxy.source = source
        return source

    def _open_file(self, path: Path) -> MembersFile:
        source = MembersFile(self.overlay, self._update_sessions, self._convert, path, self._logger)
        try:
            source.begin()
        except Exception:
            source.close()
            raise
        return source

    def _update_sessions(self, names: dict[str, str]) -> None:
        self.sessions.clear()
        self.sessions.update(names)

    def update(self, plan: PoolPlan) -> None:
        """Switch to a configuration in which only the pool's endpoints or its share differ.

        Raises:
            ConfigError: The new endpoints file can't be read; nothing has changed.
        """
        old = self.plan
        self.plan = plan
        before, after = old.table, plan.table
        if (before.discovery, before.members_file) == (after.discovery, after.members_file):
            if after.member and isinstance(self.source, StaticEndpoints) and before.member != after.member:
                self.source.set_members(after.member)
            return
        source_before = self.source
        try:
            self.source = self._open_source()
        except Exception:
            self.plan = old
            raise
        source_before.close()

    def resize(self, allocation: PoolAllocation, weighted_turns: WeightedAdmission | None) -> None:
        """Change the pool's share of the process's resources; what is in use above the new share is not revoked."""
        self.proxy.fair_share = weighted_turns
        self.proxy.resize(allocation)

    def export_list(self) -> bytes:
        """Return the encoded list for another instance; empty if the source is not polled or its list is not recent."""
        if (
            not isinstance(self.source, DiscoveryClient)
            or not self.proxy.has_fresh_list
            or self.source.age() > MAX_AGE_S
        ):
            return b""
        deployment = self.plan.deployment
        entries = list(self.overlay.listed().values())
        return write(entries, self.source.version, self.source.age(), deployment.zones, deployment.kinds)

    def import_list(self, data: bytes) -> int:
        """Use a list from another instance until the source responds.

        An endpoint that the source has just drained may receive requests until then, as with any list that is some
        seconds old.

        Returns:
            The number of endpoints in the list; 0 if the list is not needed.

        Raises:
            ValueError: The list can't be used.
        """
        if not isinstance(self.source, DiscoveryClient) or self.proxy.listed:
            return 0
        entries, _ = read(data, self.plan.deployment.zones, self.plan.deployment.kinds)
        self.overlay.take_list(entries, True, stale=True)
        return len(entries)

    def schedule_first_poll(self, after: float) -> None:
        """Reschedule a first poll of the source that is still delayed.

        Args:
            after: Seconds from now.
        """
        if isinstance(self.source, DiscoveryClient):
            self.source.release(after)

    def set_instance_count(self, number: int) -> None:
        """Set the number of instances among which the fleet's shared limits are divided."""
        balancer = self.proxy.balancer
        if balancer.settings.instance_count != number:
            balancer.settings = replace(balancer.settings, instance_count=number)

    def retire(self) -> None:
        """Drain the pool, to which no route leads any more: finish the open requests and keep no idle connection."""
        self.source.close()
        self.proxy.source = None
        self.proxy.retire()

    def close(self) -> None:
        """Release everything; open requests get no response."""
        self.proxy.close()
