"""A running pool: its proxy, its overrides, and the source of its endpoint list."""

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
from loadbalancer.proxy.open_requests import TransactionIds
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.fair_shares import PoolAllocation, WeightedTurns
from loadbalancer.streaming.tunnels import TunnelLimits
from loadbalancer.upstreams.connections import Upstream
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.fastcgi import FastCgiUpstreamConnection, application
from loadbalancer.upstreams.http1 import Http1UpstreamConnection
from loadbalancer.upstreams.multiplex import MultiplexedConnection

#: Status for a request that failed because its last attempt took too long (RFC 9110, 15.6.5).
GATEWAY_TIMEOUT = 504


def dialect_of(plan: PoolPlan) -> Dialect | None:
    """The dialect of the pool's endpoints; None for the platform's."""
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


def tunnels_of(table: TunnelsTable) -> TunnelLimits:
    """The limits of the pool's tunnels, times in seconds."""
    return TunnelLimits(table.most, float(table.idle), float(table.life), float(table.grace))


def _header(name: str | None) -> bytes | None:
    return name.lower().encode() if name is not None else None


def connect_of(plan: PoolPlan) -> Callable[..., Upstream]:
    """What makes connections to the pool's endpoints."""
    table = plan.table
    if table.protocol == "http/1.1":
        return Http1UpstreamConnection
    fastcgi = table.fastcgi or FastCgiTable()
    connection = MultiplexedConnection if fastcgi.multiplex and fastcgi.keep else FastCgiUpstreamConnection
    return partial(connection, application=application(fastcgi.params, fastcgi.keep, fastcgi.multiplex))


def _make_proxy(
    plan: PoolPlan, share: PoolAllocation, seed: int, ids: TransactionIds, logger: RateLimitedLogger
) -> Proxy:
    proxy = Proxy(
        plan.deployment,
        seed,
        share,
        logger,
        dialect=dialect_of(plan),
        connect=connect_of(plan),
        ids=ids,
        timeout_status=GATEWAY_TIMEOUT,
        tunnels=tunnels_of(plan.table.tunnels),
    )
    proxy.name = plan.table.name
    return proxy


class RunningPool:
    """One pool between its first request and its last. The daemon owns it; `close` releases all that it holds.

    Attributes:
        plan: The pool's configuration.
        sessions: Ids of endpoints by their names in sticky sessions; changed in place, since routes hold it.
        proxy: Open requests and connections.
        reader: Reads requests of the platform's dialect; None for other dialects.
        overlay: The list of the source with the overrides of operators.
        source: Where the list comes from.
    """

    def __init__(
        self,
        plan: PoolPlan,
        share: PoolAllocation,
        seed: int,
        ids: TransactionIds,
        logger: RateLimitedLogger,
        base: Path,
        overrides: Mapping[str, AdminOverride] | None = None,
        max_first_poll_delay_s: float = 0.0,
    ) -> None:
        """Make the pool, and read or call its source.

        Args:
            plan: The pool's configuration.
            share: What the pool may hold of the process.
            seed: Of its random choices.
            ids: Of requests, for all pools of the process.
            logger: Log of the daemon.
            base: The folder that the name of an endpoints file is relative to.
            overrides: Overrides of operators by endpoint.
            max_first_poll_delay_s: Seconds that the first call to a source of lists may wait for its turn.

        Raises:
            ConfigError: The file of endpoints can't be read.
        """
        logger = logger.bind(pool=plan.table.name)
        self.plan = plan
        self.sessions: dict[str, str] = {}
        self._logger = logger
        self._base = base
        self._max_first_poll_delay_s = max_first_poll_delay_s
        self.proxy = _make_proxy(plan, share, seed, ids, logger)
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
            source = StaticEndpoints(self.overlay, self._note_sessions, self._convert)
            source.set_members(table.member)
        self.proxy.source = source
        return source

    def _open_file(self, path: Path) -> MembersFile:
        source = MembersFile(self.overlay, self._note_sessions, self._convert, path, self._logger)
        try:
            source.begin()
        except Exception:
            source.close()
            raise
        return source

    def _note_sessions(self, names: dict[str, str]) -> None:
        self.sessions.clear()
        self.sessions.update(names)

    def update(self, plan: PoolPlan) -> None:
        """Go on under a configuration that differs by the pool's endpoints alone.

        Raises:
            ConfigError: Its file of endpoints can't be read; nothing has changed.
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

    def resize(self, share: PoolAllocation, turns: WeightedTurns | None) -> None:
        """Give the pool another part of the process; what it holds above that is kept until it ends."""
        self.proxy.fair_share = turns
        self.proxy.resize(share)

    def hand_on(self) -> bytes:
        """The list for another instance, as bytes; empty where the source is not polled, or has not answered lately."""
        if (
            not isinstance(self.source, DiscoveryClient)
            or not self.proxy.has_fresh_list
            or self.source.age() > MAX_AGE_S
        ):
            return b""
        deployment = self.plan.deployment
        entries = list(self.overlay.listed().values())
        return write(entries, self.source.version, self.source.age(), deployment.zones, deployment.kinds)

    def take_over(self, data: bytes) -> int:
        """Use a list of another instance until the source itself answers.

        An endpoint that the source has just drained may get requests until then, as with any list that is some seconds
        old.

        Returns:
            How many endpoints the list has; 0 where it is not needed.

        Raises:
            ValueError: The list can't be used.
        """
        if not isinstance(self.source, DiscoveryClient) or self.proxy.listed:
            return 0
        entries, _ = read(data, self.plan.deployment.zones, self.plan.deployment.kinds)
        self.overlay.take_list(entries, True, stale=True)
        return len(entries)

    def release(self, after: float) -> None:
        """Make the first call to the source, where it waits, so many seconds from now."""
        if isinstance(self.source, DiscoveryClient):
            self.source.release(after)

    def count_instances(self, number: int) -> None:
        """Divide what a fleet shares by so many instances from now on."""
        balancer = self.proxy.balancer
        if balancer.settings.instance_count != number:
            balancer.settings = replace(balancer.settings, instance_count=number)

    def retire(self) -> None:
        """No route leads here any more: finish the requests that are on their way, and keep no idle connection."""
        self.source.close()
        self.proxy.source = None
        self.proxy.retire()

    def close(self) -> None:
        """Release all; open requests get no answer."""
        self.proxy.close()
