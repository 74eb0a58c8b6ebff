"""A running pool: its decisions, its connections, and the source of its members."""

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
from loadbalancer.discovery.list_handoff import AGE_MOST, read, write
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

#: What clients hear of a request that failed because its last attempt took too long (RFC 9110, 15.6.5).
GATEWAY_TIMEOUT = 504


def dialect_of(plan: PoolPlan) -> Dialect | None:
    """What the pool's members speak; None for the platform's dialect."""
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
    return TunnelLimits(table.most, float(table.idle), float(table.life), float(table.grace))


def _header(name: str | None) -> bytes | None:
    return name.lower().encode() if name is not None else None


def connect_of(plan: PoolPlan) -> Callable[..., Upstream]:
    """What makes connections to the pool's members."""
    table = plan.table
    if table.protocol == "http/1.1":
        return Http1UpstreamConnection
    own = table.fastcgi or FastCgiTable()
    made = application(own.params, own.keep, own.multiplex)
    return partial(
        MultiplexedConnection if own.multiplex and own.keep else FastCgiUpstreamConnection, application=made
    )


class RunningPool:
    """One pool between its first request and its last. The daemon owns it; `close` releases all that it holds."""

    def __init__(
        self,
        plan: PoolPlan,
        share: PoolAllocation,
        seed: int,
        ids: TransactionIds,
        logger: RateLimitedLogger,
        base: Path,
        marks: Mapping[str, AdminOverride] | None = None,
        held: float = 0.0,
    ) -> None:
        """`held`: seconds that the first call to a source of lists may wait for its turn. `base`: folder that the name
        of a members file is relative to. ConfigError if that can't be read."""
        logger = logger.bind(pool=plan.table.name)
        self.plan, self.logger, self.base, self._held = plan, logger, base, held
        self.sessions: dict[str, str] = {}  # ids of members by their names in sticky sessions
        self.proxy = Proxy(
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
        self.proxy.name = plan.table.name
        self.reader = (
            PlatformReader(self.proxy, plan.deployment) if plan.table.dialect == "platform" else None
        )
        self.overlay = EndpointOverrides(self.proxy, marks or {}, time.time)
        cold = plan.table.rules.new_members == "cold"
        self._convert = EntryConverter(plan.deployment.zones, cold)
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
            source = DiscoveryClient(self.overlay, self.plan.deployment, address, self.logger)
            source.start({"servers": []}, self._held)
        elif table.members_file is not None:
            path = self.base / table.members_file
            source = file = MembersFile(self.overlay, self._note_sessions, self._convert, path, self.logger)
            try:
                file.begin()
            except Exception:
                file.close()
                raise
        else:
            source = StaticEndpoints(self.overlay, self._note_sessions, self._convert)
            source.take(table.member)
        self.proxy.source = source
        return source

    def _note_sessions(self, names: dict[str, str]) -> None:
        self.sessions.clear()  # in place: routes hold it
        self.sessions.update(names)

    def update(self, plan: PoolPlan) -> None:
        """Go on under a new plan that differs by members alone; ConfigError, and nothing changed, if its file of
        members can't be read."""
        old, self.plan = self.plan, plan
        a, b = old.table, plan.table
        if (a.discovery, a.members_file) == (b.discovery, b.members_file):
            if b.member and isinstance(self.source, StaticEndpoints) and a.member != b.member:
                self.source.take(b.member)
            return
        before = self.source
        try:
            self.source = self._open_source()
        except Exception:
            self.plan = old
            raise
        before.close()

    def resize(self, share: PoolAllocation, turns: WeightedTurns | None) -> None:
        """Another part of the process; what is held over it is kept until it ends."""
        proxy = self.proxy
        proxy.turns = turns
        proxy.resize(share)

    def hand_on(self) -> bytes:
        """The list of its source, where that is called for it and was heard of late; else nothing."""
        if (
            not isinstance(self.source, DiscoveryClient)
            or not self.proxy.fresh
            or self.source.age() > AGE_MOST
        ):
            return b""
        deployment = self.plan.deployment
        entries = list(self.overlay.listed().values())
        return write(entries, self.source.version, self.source.age(), deployment.zones, deployment.kinds)

    def take_over(self, data: bytes) -> int:
        """A list that another instance has handed on, until the source itself is heard; how many members it has.
        ValueError for one that can't be used. Harm: a member that the source has just drained may get requests until it
        is heard, as with any list that is some seconds old."""
        if not isinstance(self.source, DiscoveryClient) or self.proxy.listed:
            return 0
        entries, _ = read(data, self.plan.deployment.zones, self.plan.deployment.kinds)
        self.overlay.take_list(entries, True, stale=True)
        return len(entries)

    def release(self, after: float) -> None:
        """The first call to the source, where it waits, is made so many seconds from now."""
        if isinstance(self.source, DiscoveryClient):
            self.source.release(after)

    def count_instances(self, number: int) -> None:
        """Decisions that divide by the fleet count with so many from now on."""
        balancer = self.proxy.balancer
        if balancer.settings.instance_count != number:
            balancer.settings = replace(balancer.settings, instance_count=number)

    def retire(self) -> None:
        """No route leads here any more: members get nothing new but what is on its way, and no connection is
        kept."""
        self.source.close()
        self.proxy.source = None
        self.proxy.retire()

    def close(self) -> None:
        self.proxy.close()
