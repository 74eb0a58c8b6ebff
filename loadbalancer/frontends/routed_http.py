"""Dialect `http`: plain HTTP/1.1, where the route determines the pool, the class and the deadline.

A `RoutedReader` serves one listener under one configuration. A reload creates a new one, and a request keeps the one
that it began with. No I/O except reading the clock.
"""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING, Callable, Iterable, Iterator, Mapping, NamedTuple, Union

from loadbalancer.admission.networks import Networks
from loadbalancer.config.plan import ListenerPlan, MethodClasses
from loadbalancer.config.types import StickyTable
from loadbalancer.frontends.dialect import (
    CONNECTION_HEADERS,
    Destination,
    Head,
    IdempotencyTerms,
    RejectError,
    Reply,
    RoutedRequest,
)
from loadbalancer.frontends.platform_http import PlatformReader, encode_forwarded_head
from loadbalancer.frontends.sockets import LOCAL
from loadbalancer.memory_account import BufferBudget
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.proxy.open_requests import Client, OpenRequest
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.routing.rewrites import Rewrites
from loadbalancer.routing.routes import Rule
from loadbalancer.routing.targets import Target, TargetError, read_target
from loadbalancer.routing.traffic_migration import Migrations

if TYPE_CHECKING:  # imported only where a route has plug-ins
    from loadbalancer.frontends.plugin_hooks import PluginHooks
if TYPE_CHECKING:  # imported only where idempotency keys are remembered
    from loadbalancer.proxy.idempotent_requests import IdempotencyLedger, KeyTerms

#: Headers that describe the earlier hops of a request; those of untrusted peers are ignored and not forwarded.
FORWARDED = frozenset((
    b"forwarded", b"x-forwarded-for", b"x-forwarded-proto", b"x-forwarded-host", b"x-forwarded-port", b"x-real-ip",
))  # fmt: skip
#: Methods whose requests state a length even without a body (RFC 9110, 8.6).
WITH_LENGTH = frozenset((b"POST", b"PUT", b"PATCH"))
#: Methods whose idempotency keys are ignored.
SAFE = frozenset((b"GET", b"HEAD", b"OPTIONS"))
#: The Via header that a gateway must add (RFC 9110, 7.6.3).
VIA = b"Via: 1.1 micastand\r\n"


class IdempotencyRecording(NamedTuple):
    """The ledger that remembers the keyed requests of one route, and the terms under which it does."""

    ledger: IdempotencyLedger
    terms: KeyTerms
    tenant: str

    def find_terms(
        self, route: RouteTarget, head: PlainHead, cls: int, body: bytearray | None
    ) -> IdempotencyTerms | None:
        """Return the key of a request as the ledger stores it.

        Returns:
            None if the request has no key, or is not of the class whose keys are remembered.
        """
        from loadbalancer.store.ledger import digest, find_key, scope

        key = find_key(head.inspected, route.classes.key_header) if cls == self.terms.cls else None
        if key is None:
            return None
        found = digest(head.method, head.url, body)
        return IdempotencyTerms(self.ledger, scope(self.tenant, route.name, key), found, self.terms)


class RedirectTarget(NamedTuple):
    """The migration of a part of a pool's traffic to another pool, for one route."""

    migrations: Migrations
    other_target: RouteTarget | None  # the same route to the other pool; None if nothing is being moved
    random: Callable[[], float]
    clock: Callable[[], float]  # Unix time in seconds

    def choose_target(self, own_target: RouteTarget, head: PlainHead) -> RouteTarget:
        """Choose the target of a request; one with an idempotency key or a session stays with the pool that has it."""
        header, other_target = own_target.classes.key_header, self.other_target
        key = head.inspected.get(header.encode()) if header is not None and head.method not in SAFE else None
        stays = None
        if own_target.sticky is not None:
            session = find_session(own_target.sticky, head.inspected.get(b"cookie", b""), head.target.path)
            if session in own_target.members:
                stays = True
            elif other_target is not None and session in other_target.members:
                stays = False
        other_pool = self.migrations.assign(self.clock(), self.random(), key or None, stays)
        return (
            own_target
            if other_pool is None or other_target is None or other_target.proxy.name != other_pool
            else other_target
        )


class RouteTarget(NamedTuple):
    """The pool of one route, and the options with which its requests are sent."""

    name: str
    proxy: Proxy
    platform: PlatformReader | None  # reads the platform's headers, if the pool speaks that dialect
    classes: MethodClasses
    deadline: float | None  # seconds; overrides that of the class
    tenant: int
    sticky: StickyTable | None
    members: Mapping[str, str]  # member ids by their names in sticky sessions; updated by the pool
    body_most: int
    upload_most: int = 0
    hooks: PluginHooks | None = None  # runs the plug-ins of the route
    rewrites: Rewrites | None = None
    idempotency: IdempotencyRecording | None = None
    upgrade: frozenset[bytes] = frozenset()  # protocols that its requests may switch to
    attempts: int = 0  # limit for one request; 0 for that of the pool
    repeat_on: frozenset[AttemptResult] | None = None  # results of attempts after which a retry may follow
    repeat_statuses: frozenset[int] | None = None
    migration: RedirectTarget | None = None  # set if operators may move a part of the pool's traffic

    @property
    def budget(self) -> BufferBudget:
        """Return the budget of the pool."""
        return self.proxy.budget


class FixedTarget(NamedTuple):
    """A route whose requests are all answered with one status and are not forwarded."""

    name: str
    status: int


class NoRouteTarget(NamedTuple):
    """The destination of requests that the proxy answers itself; it accepts no body."""

    budget: BufferBudget = BufferBudget(0)
    body_most: int = 0
    upload_most: int = 0


NO_ROUTE = NoRouteTarget()
AnyTarget = Union[RouteTarget, FixedTarget]


class PlainHead(Head):
    """A head with its parsed target, and with the proxy's own answer if the request has no pool."""

    __slots__ = ("target", "reply")
    target: Target
    reply: tuple[int, str] | None


class RoutedReader:
    """Reads plain HTTP requests and finds their destinations among the routes of one listener."""

    not_passed = CONNECTION_HEADERS | {b"host"}
    not_repeatable = frozenset((b"content-length", b"host", b"transfer-encoding", b"expect"))
    adds_proxy_status = True

    def __init__(
        self,
        plan: ListenerPlan,
        targets: Mapping[str, AnyTarget],
        key_headers: Iterable[str],
        ids: Iterator[bytes],
    ) -> None:
        """Create the reader of one listener.

        Args:
            plan: The listener's configuration.
            targets: Targets of the routes, by the routes' names.
            key_headers: Names of the headers that carry idempotency keys.
            ids: Makes request ids for requests that have none; shared by the whole process.
        """
        self.routes, self.trusted, self.targets = plan.routes, plan.trusted, targets
        self.tenants = plan.tenants
        self.ready_path = plan.table.ready_path
        self.keep_slashes = plan.table.encoded_slashes == "keep"
        self.draining = False
        self.platform = any(isinstance(t, RouteTarget) and t.platform is not None for t in targets.values())
        self.inspected = self._inspected_headers(key_headers)
        self.not_passed = RoutedReader.not_passed | FORWARDED
        if self.platform:  # the remaining time is rewritten for the platform's members
            self.not_passed |= PlatformReader.not_passed
        self._ids = ids

    def _inspected_headers(self, key_headers: Iterable[str]) -> frozenset[bytes]:
        header_names = {
            b"connection",
            b"content-length",
            b"transfer-encoding",
            b"host",
            b"expect",
            b"upgrade",
            b"cookie",
        } | FORWARDED
        header_names |= {name.encode() for name in key_headers} | {b"x-request-id"}
        header_names |= {name.encode() for name in self.routes.headers}
        if self.platform:
            header_names |= PlatformReader.inspected
        return frozenset(header_names)

    def proxies(self) -> Iterable[Proxy]:
        """Return all pools of the routes."""
        return {id(t.proxy): t.proxy for t in self.targets.values() if isinstance(t, RouteTarget)}.values()

    def new_head(self, peer: str) -> PlainHead:
        """Return the empty head of a new request."""
        return PlainHead(self, peer)

    def trusts(self, peer: str) -> bool:
        """Return whether the forwarding headers of this peer are trusted."""
        return is_trusted(peer, self.trusted)

    # Choosing the destination from the head.

    def find_destination(self, head: Head) -> Destination:
        """Find the route of the request; raise RejectError if it has a body that nothing would read."""
        assert isinstance(head, PlainHead)
        found = self._find(head)
        if isinstance(found, RouteTarget):
            head.reply = None
            return found
        head.reply = found
        if head.inspected.get(b"content-length", b"0") != b"0" or b"transfer-encoding" in head.inspected:
            raise RejectError(*found)  # nothing would read the body
        return NO_ROUTE

    def _find(self, head: PlainHead) -> Union[RouteTarget, tuple[int, str]]:
        inspected = head.inspected
        if head.method in (b"CONNECT", b"TRACE"):
            return 501, "the method is not served"
        host = inspected.get(b"host")
        if host is None and not head.is_http10:
            return 400, "no Host"
        try:
            text = host.decode("latin-1") if host is not None else "unknown"
            head.target = read_target(head.url.decode("latin-1"), text, self.keep_slashes)
        except TargetError as problem:
            return 400, str(problem)
        target = head.target
        if self.ready_path is not None and target.path == self.ready_path:
            return self._ready()
        rule = self._find_rule(head)
        if rule is None:
            return 404, "no route takes this request"
        found = self.targets[rule.name]
        if isinstance(found, RouteTarget) and found.migration is not None:
            found = found.migration.choose_target(found, head)
        return found if isinstance(found, RouteTarget) else (found.status, f"by the route {found.name}")

    def _find_rule(self, head: PlainHead) -> Rule | None:
        inspected, target = head.inspected, head.target

        def value(name: str) -> str | None:
            found = inspected.get(name.encode())
            return None if found is None else found.decode("latin-1")

        return self.routes.find(target.host, target.segments, head.method.decode("latin-1"), value)

    def _ready(self) -> tuple[int, str]:
        ready = not self.draining and all(
            proxy.listed and not proxy.lacks_lease() for proxy in self.proxies()
        )
        return (200, "ready") if ready else (503, "not ready")

    # Interpreting the request.

    def read(self, head: Head, body: bytearray | None, client: Client) -> RoutedRequest | Reply:
        """Interpret the request, and run the plug-ins of its route."""
        assert isinstance(head, PlainHead)
        if head.reply is not None:
            return Reply(*head.reply, head.close)
        destination = head.destination
        assert isinstance(destination, RouteTarget)
        if destination.hooks is not None and destination.platform is None:
            return self._run_plugins(head, destination, destination.hooks, body, client)
        self._rewrite(head, destination)
        if destination.platform is not None:
            return destination.platform.read_platform(head, body, client)
        cls = self._class(head, destination)
        return self._build_request(head, destination, body, client, cls, self._timeout_s(destination, cls))

    def _class(self, head: PlainHead, route: RouteTarget) -> int:
        classes = route.classes
        has_key = classes.key_header is not None and bool(head.inspected.get(classes.key_header.encode()))
        return classes.choose(head.method.decode("latin-1"), has_key)

    def _run_plugins(
        self, head: PlainHead, route: RouteTarget, hooks: PluginHooks, body: bytearray | None, client: Client
    ) -> RoutedRequest | Reply:
        """Run the plug-ins of the route, and return the resulting request or their answer.

        Plug-ins may set the class, the tenant, and headers that neither frame the message nor belong to the proxy. The
        deadline never gets longer.
        """
        cls = self._class(head, route)
        timeout_s = self._timeout_s(route, cls)
        found = hooks.run(head, head.target, cls, route.tenant)
        if isinstance(found, Reply):
            return found
        cls, tenant = found
        self._rewrite(head, route)
        return self._build_request(
            head,
            route._replace(tenant=tenant),
            body,
            client,
            cls,
            min(timeout_s, self._timeout_s(route, cls)),
        )

    def _timeout_s(self, route: RouteTarget, cls: int) -> float:
        """Return the timeout of a request of the class, in seconds."""
        client_timeout_s = route.proxy.balancer.settings.classes[cls].client_timeout
        return client_timeout_s if route.deadline is None else min(route.deadline, client_timeout_s)

    def _build_request(
        self,
        head: PlainHead,
        route: RouteTarget,
        body: bytearray | None,
        client: Client,
        cls: int,
        timeout_s: float,
    ) -> RoutedRequest:
        inspected = head.inspected
        forwarded_head = encode_forwarded_head(head, body, head.method in WITH_LENGTH)
        request = OpenRequest(client, 0, forwarded_head, body, head.method == b"HEAD")
        request.max_attempts = route.attempts
        request.retry_on, request.retry_statuses = route.repeat_on, route.repeat_statuses
        if route.upgrade and (token := _find_upgrade(head, route.upgrade)):
            request.upgrade = token
            request.head += b"Connection: Upgrade\r\nUpgrade: %b\r\n" % token
        if route.rewrites is not None and route.rewrites.changes_answers:
            request.edit_headers = partial(
                route.rewrites.rewrite_headers,
                base=(b"https://" if head.secure else b"http://") + head.target.authority.encode("latin-1"),
            )
        member = (
            find_session(route.sticky, inspected.get(b"cookie", b""), head.target.path)
            if route.sticky
            else None
        )
        return RoutedRequest(
            route.proxy,
            request,
            cls,
            time.monotonic() + timeout_s,
            self._tenant(head, route),
            None,
            None,
            False,
            head.close,
            route.members.get(member) if member is not None else None,
            head.is_http10,
            route.sticky is not None and route.sticky.bound,
            None if route.idempotency is None else route.idempotency.find_terms(route, head, cls, body),
        )

    def _tenant(self, head: PlainHead, route: RouteTarget) -> int:
        """Return the tenant of the request: that of the client's certificate, or else that of the route."""
        tenants = (self.tenants[name] for name in head.certificate_names if name in self.tenants)
        return next(tenants, route.tenant)

    def _rewrite(self, head: PlainHead, route: RouteTarget) -> None:
        """Rewrite the head for forwarding: the normalised path, the effective Host, and the forwarding headers."""
        target, inspected = head.target, head.inspected
        path = target.path if route.rewrites is None else route.rewrites.rewrite_path(target.path)
        head.url = (path + target.query).encode("latin-1")
        host, lines = target.authority.encode("latin-1"), head.lines
        lines.insert(0, b"Host: %b\r\n" % host)
        lines.append(VIA)
        if b"x-request-id" not in inspected:
            lines.append(b"X-Request-Id: %b\r\n" % next(self._ids))
        lines.extend(forwarded(head.peer, host, inspected, self.trusts(head.peer), head.secure))


def _find_upgrade(head: PlainHead, allowed: frozenset[bytes]) -> bytes:
    """Return the first protocol in Upgrade that the route allows (RFC 9110, 7.8); empty if there is none."""
    if head.method != b"GET" or not head.may_switch_protocol:
        return b""
    requested = [token.strip() for token in head.inspected.get(b"upgrade", b"").lower().split(b",")]
    return next((token for token in requested if token in allowed), b"")


def is_trusted(peer: str, networks: Networks) -> bool:
    """Return whether the forwarding headers of a peer are trusted; peers on a Unix socket always are."""
    if peer == LOCAL:
        return True
    return peer in networks


def forwarded(
    peer: str, host: bytes, inspected: Mapping[bytes, bytes], trusted: bool, secure: bool = False
) -> list[bytes]:
    """Return the Forwarded header (RFC 7239) and the older X-Forwarded-* headers of a request.

    Guards against clients that claim the address of others: earlier values are kept only from a trusted proxy.
    """
    trusted_headers = inspected if trusted else {}
    address = b"unknown" if peer == LOCAL else peer.encode()
    quoted = b'"[%b]"' % address if b":" in address else address
    earlier_addresses = trusted_headers.get(b"x-forwarded-for")
    proto = b"https" if secure else b"http"
    element = b'for=%b;host="%b";proto=%b' % (quoted, host, proto)
    earlier = trusted_headers.get(b"forwarded")
    return [
        b"X-Forwarded-For: %b\r\n" % (earlier_addresses + b", " + address if earlier_addresses else address),
        b"X-Forwarded-Proto: %b\r\n" % trusted_headers.get(b"x-forwarded-proto", proto),
        b"X-Forwarded-Host: %b\r\n" % trusted_headers.get(b"x-forwarded-host", host),
        b"Forwarded: %b\r\n" % (earlier + b", " + element if earlier else element),
    ]


def find_session(sticky: StickyTable, cookies: bytes, path: str) -> str | None:
    """Return the member name in the sticky session that the client sent; None if there is none.

    If the route has a separator, the name follows its last occurrence, or its first, as configured.
    """
    by_cookie = _cookie(cookies, sticky.cookie.encode()) if sticky.cookie is not None else None
    value = by_cookie
    if sticky.path_parameter is not None and (by_cookie is None or sticky.prefer == "path"):
        value = _parameter(path, sticky.path_parameter)
        value = by_cookie if value is None else value
    if value is None or sticky.separator is None:
        return value
    if sticky.separator_at == "first":
        _, found, name = value.partition(sticky.separator)
    else:
        _, found, name = value.rpartition(sticky.separator)
    return name if found else None


def _cookie(cookies: bytes, name: bytes) -> str | None:
    for pair in cookies.split(b";"):
        key, found, value = pair.strip().partition(b"=")
        if found and key == name:
            return value.strip(b'"').decode("latin-1")
    return None


def _parameter(path: str, name: str) -> str | None:
    """Return a path parameter, from the last segment that has it: `/a;jsessionid=x.b1`."""
    for segment in reversed(path.split("/")):
        for part in segment.split(";")[1:]:
            key, found, value = part.partition("=")
            if found and key == name:
                return value
    return None
