"""Clients that speak plain HTTP/1.1: the route says the pool, the class and the deadline (dialect `http`).

A `RoutedReader` is of one listener and one configuration; it is made anew at a reload, and a request is read to its
end by the one it began with. No I/O but the clock.
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
from loadbalancer.frontends.platform_http import PlatformReader, pass_on
from loadbalancer.frontends.sockets import LOCAL
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.proxy.open_requests import Client, OpenRequest
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.resource_limits import BufferBudget
from loadbalancer.routing.rewrites import Rewrites
from loadbalancer.routing.routes import Rule
from loadbalancer.routing.targets import Target, TargetError, read_target
from loadbalancer.routing.traffic_migration import Migrations

if TYPE_CHECKING:  # loaded where a route has plug-ins
    from loadbalancer.frontends.plugin_hooks import PluginHooks
if TYPE_CHECKING:  # loaded where keys are remembered
    from loadbalancer.proxy.idempotent_requests import IdempotencyLedger, KeyTerms

#: Headers that tell of the way to us; a stranger's are not believed and not passed on.
FORWARDED = frozenset((
    b"forwarded", b"x-forwarded-for", b"x-forwarded-proto", b"x-forwarded-host", b"x-forwarded-port", b"x-real-ip",
))  # fmt: skip
#: Methods whose requests state a length also when they have no body (RFC 9110, 8.6).
WITH_LENGTH = frozenset((b"POST", b"PUT", b"PATCH"))
#: Methods whose requests have no key that counts.
SAFE = frozenset((b"GET", b"HEAD", b"OPTIONS"))
#: Our name on the way, as RFC 9110, 7.6.3, asks of a gateway.
VIA = b"Via: 1.1 micastand\r\n"


class RecordsKeys(NamedTuple):
    """What one route's keyed requests are remembered by."""

    ledger: IdempotencyLedger
    terms: KeyTerms
    tenant: str

    def of(
        self, to: RouteTarget, head: PlainHead, cls: int, body: bytearray | None
    ) -> IdempotencyTerms | None:
        """None where the request brings no key, or its class is not the one that is remembered."""
        from loadbalancer.store.ledger import digest, find_key, scope

        key = find_key(head.noted, to.classes.key_header) if cls == self.terms.cls else None
        if key is None:
            return None
        found = digest(head.method, head.url, body)
        return IdempotencyTerms(self.ledger, scope(self.tenant, to.name, key), found, self.terms)


class RedirectTarget(NamedTuple):
    """A pool of which a part goes elsewhere, as one route sees it."""

    moves: Migrations
    away: RouteTarget | None  # the route over the other pool; None once nothing is moved any more
    draw: Callable[[], float]
    clock: Callable[[], float]  # Unix time in seconds

    def place(self, home: RouteTarget, head: PlainHead) -> RouteTarget:
        """Where a request goes. Its key, and its session, stay where they are."""
        header, away = home.classes.key_header, self.away
        key = head.noted.get(header.encode()) if header is not None and head.method not in SAFE else None
        at_home = None
        if home.sticky is not None:
            session = find_session(home.sticky, head.noted.get(b"cookie", b""), head.target.path)
            if session in home.members:
                at_home = True
            elif away is not None and session in away.members:
                at_home = False
        other = self.moves.assign(self.clock(), self.draw(), key or None, at_home)
        return home if other is None or away is None or away.proxy.name != other else away


class RouteTarget(NamedTuple):
    """Where the requests of one route go."""

    name: str
    proxy: Proxy
    platform: (
        PlatformReader | None
    )  # reads the platform's headers, where the pool's dialect is the platform's
    classes: MethodClasses
    deadline: float | None  # seconds, over that of the class
    tenant: int
    sticky: StickyTable | None
    members: Mapping[str, str]  # ids by the names that members have in sticky sessions; kept up by the pool
    body_most: int
    upload_most: int = 0
    hooks: PluginHooks | None = None  # plug-ins of the route
    rewrites: Rewrites | None = None
    remembers: RecordsKeys | None = None
    upgrade: frozenset[bytes] = frozenset()  # protocols that its requests may go over to
    attempts: int = 0  # of one request; 0: as the pool has it
    repeat_on: frozenset[AttemptResult] | None = None  # ends of attempts after which another may follow
    repeat_statuses: frozenset[int] | None = None
    moved: RedirectTarget | None = None  # where operators send a part of the pool's traffic elsewhere

    @property
    def budget(self) -> BufferBudget:
        return self.proxy.budget


class FixedTarget(NamedTuple):
    """A route whose requests are all answered alike, and go nowhere."""

    name: str
    status: int


class NoRouteTarget(NamedTuple):
    """The destination of what no pool will see."""

    budget: BufferBudget = BufferBudget(0)
    body_most: int = 0
    upload_most: int = 0


NOWHERE = NoRouteTarget()
AnyTarget = Union[RouteTarget, FixedTarget]


class PlainHead(Head):
    """What is kept of a head between its end and that of the body."""

    __slots__ = ("target", "reply")
    target: Target
    reply: tuple[int, str] | None


class RoutedReader:
    """All routes of one listener."""

    not_passed = CONNECTION_HEADERS | {b"host"}
    single = frozenset((b"content-length", b"host", b"transfer-encoding", b"expect"))
    ignores_upgrade = names_itself = True

    def __init__(
        self,
        plan: ListenerPlan,
        targets: Mapping[str, AnyTarget],
        key_headers: Iterable[str],
        ids: Iterator[bytes],
    ) -> None:
        """`targets` by the names of routes. `ids` for requests that bring none, one for the whole process."""
        self.routes, self.trusted, self.targets = plan.routes, plan.trusted, targets
        self.tenants = plan.tenants
        self.ready_path = plan.table.ready_path
        self.keep_slashes = plan.table.encoded_slashes == "keep"
        self.draining = False
        self.platform = any(isinstance(t, RouteTarget) and t.platform is not None for t in targets.values())
        self.noted = self._noted(key_headers)
        self.not_passed = RoutedReader.not_passed | FORWARDED
        if self.platform:  # the platform's members get the time left, written anew
            self.not_passed |= PlatformReader.not_passed
        self._ids = ids

    def _noted(self, key_headers: Iterable[str]) -> frozenset[bytes]:
        names = {
            b"connection",
            b"content-length",
            b"transfer-encoding",
            b"host",
            b"expect",
            b"upgrade",
            b"cookie",
        } | FORWARDED
        names |= {name.encode() for name in key_headers} | {b"x-request-id"}
        names |= {name.encode() for name in self.routes.headers}
        if self.platform:
            names |= PlatformReader.noted
        return frozenset(names)

    def proxies(self) -> Iterable[Proxy]:
        return {id(t.proxy): t.proxy for t in self.targets.values() if isinstance(t, RouteTarget)}.values()

    def new_head(self, peer: str) -> PlainHead:
        return PlainHead(self, peer)

    def believes(self, peer: str) -> bool:
        return is_trusted(peer, self.trusted)

    # The head.

    def place(self, head: Head) -> Destination:
        assert isinstance(head, PlainHead)
        found = self._find(head)
        if isinstance(found, RouteTarget):
            head.reply = None
            return found
        head.reply = found
        if head.noted.get(b"content-length", b"0") != b"0" or b"transfer-encoding" in head.noted:
            raise RejectError(*found)  # what would follow is read by nobody
        return NOWHERE

    def _find(self, head: PlainHead) -> Union[RouteTarget, tuple[int, str]]:
        noted = head.noted
        if head.method in (b"CONNECT", b"TRACE"):
            return 501, "the method is not served"
        host = noted.get(b"host")
        if host is None and not head.old:
            return 400, "no Host"
        try:
            text = host.decode("latin-1") if host is not None else "unknown"
            head.target = read_target(head.url.decode("latin-1"), text, self.keep_slashes)
        except TargetError as problem:
            return 400, str(problem)
        target = head.target
        if self.ready_path is not None and target.path == self.ready_path:
            return self._ready()
        rule = self._rule(head)
        if rule is None:
            return 404, "no route takes this request"
        found = self.targets[rule.name]
        if isinstance(found, RouteTarget) and found.moved is not None:
            found = found.moved.place(found, head)
        return found if isinstance(found, RouteTarget) else (found.status, f"by the route {found.name}")

    def _rule(self, head: PlainHead) -> Rule | None:
        noted, target = head.noted, head.target

        def value(name: str) -> str | None:
            found = noted.get(name.encode())
            return None if found is None else found.decode("latin-1")

        return self.routes.find(target.host, target.segments, head.method.decode("latin-1"), value)

    def _ready(self) -> tuple[int, str]:
        ready = not self.draining and all(
            proxy.listed and not proxy.lacks_lease() for proxy in self.proxies()
        )
        return (200, "ready") if ready else (503, "not ready")

    # The whole request.

    def read(self, head: Head, body: bytearray | None, client: Client) -> RoutedRequest | Reply:
        assert isinstance(head, PlainHead)
        if head.reply is not None:
            return Reply(*head.reply, head.close)
        destination = head.destination
        assert isinstance(destination, RouteTarget)
        if destination.hooks is not None and destination.platform is None:
            return self._hooked(head, destination, destination.hooks, body, client)
        self._rewrite(head, destination)
        if destination.platform is not None:
            return destination.platform.read_platform(head, body, client)
        cls = self._class(head, destination)
        return self._ask(head, destination, body, client, cls, self._left(destination, cls))

    def _class(self, head: PlainHead, to: RouteTarget) -> int:
        classes = to.classes
        has_key = classes.key_header is not None and bool(head.noted.get(classes.key_header.encode()))
        return classes.choose(head.method.decode("latin-1"), has_key)

    def _hooked(
        self, head: PlainHead, to: RouteTarget, hooks: PluginHooks, body: bytearray | None, client: Client
    ) -> RoutedRequest | Reply:
        """The request as its plug-ins leave it. They may choose class and tenant, and headers that are neither framing
        nor ours; the deadline is never longer than it was."""
        cls = self._class(head, to)
        left = self._left(to, cls)
        found = hooks.run(head, head.target, cls, to.tenant)
        if isinstance(found, Reply):
            return found
        cls, tenant = found
        self._rewrite(head, to)
        return self._ask(head, to._replace(tenant=tenant), body, client, cls, min(left, self._left(to, cls)))

    def _left(self, to: RouteTarget, cls: int) -> float:
        """Seconds that a request of the class has."""
        give_up = to.proxy.balancer.settings.classes[cls].client_timeout
        return give_up if to.deadline is None else min(to.deadline, give_up)

    def _ask(
        self,
        head: PlainHead,
        to: RouteTarget,
        body: bytearray | None,
        client: Client,
        cls: int,
        left: float,
    ) -> RoutedRequest:
        noted = head.noted
        sent = pass_on(head, body, head.method in WITH_LENGTH)
        request = OpenRequest(client, 0, sent, body, head.method == b"HEAD")
        request.max_attempts = to.attempts
        request.retry_on, request.retry_statuses = to.repeat_on, to.repeat_statuses
        if to.upgrade and not body and (token := _upgrade_of(head, to.upgrade)):
            request.upgrade = token
            request.head += b"Connection: Upgrade\r\nUpgrade: %b\r\n" % token
        if to.rewrites is not None and to.rewrites.changes_answers:
            request.edit_headers = partial(
                to.rewrites.rewrite_headers,
                base=(b"https://" if head.secure else b"http://") + head.target.authority.encode("latin-1"),
            )
        member = find_session(to.sticky, noted.get(b"cookie", b""), head.target.path) if to.sticky else None
        return RoutedRequest(
            to.proxy,
            request,
            cls,
            time.monotonic() + left,
            self._tenant(head, to),
            None,
            None,
            False,
            head.close,
            to.members.get(member) if member is not None else None,
            head.old,
            to.sticky is not None and to.sticky.bound,
            None if to.remembers is None else to.remembers.of(to, head, cls, body),
        )

    def _tenant(self, head: PlainHead, to: RouteTarget) -> int:
        """Whose the request is: the client's certificate says so before its route."""
        mine = (self.tenants[name] for name in head.names if name in self.tenants)
        return next(mine, to.tenant)

    def _rewrite(self, head: PlainHead, to: RouteTarget) -> None:
        """The request as it goes on: the path in its one form, Host as it counts, and who asked."""
        target, noted = head.target, head.noted
        path = target.path if to.rewrites is None else to.rewrites.rewrite_path(target.path)
        head.url = (path + target.query).encode("latin-1")
        host, lines = target.authority.encode("latin-1"), head.lines
        lines.insert(0, b"Host: %b\r\n" % host)
        lines.append(VIA)
        if b"x-request-id" not in noted:
            lines.append(b"X-Request-Id: %b\r\n" % next(self._ids))
        lines.extend(forwarded(head.peer, host, noted, self.believes(head.peer), head.secure))


def _upgrade_of(head: PlainHead, allowed: frozenset[bytes]) -> bytes:
    """The first protocol that a request asks for and its route allows (RFC 9110, 7.8); nothing for none."""
    named = [name.strip() for name in head.noted.get(b"connection", b"").lower().split(b",")]
    if head.method != b"GET" or head.old or b"upgrade" not in named:
        return b""
    asked = [token.strip() for token in head.noted.get(b"upgrade", b"").lower().split(b",")]
    return next((token for token in asked if token in allowed), b"")


def is_trusted(peer: str, networks: Networks) -> bool:
    """Whether what a peer says of the way before it is believed. Who may open our Unix socket is."""
    if peer == LOCAL:
        return True
    return peer in networks


def forwarded(
    peer: str, host: bytes, noted: Mapping[bytes, bytes], trusted: bool, secure: bool = False
) -> list[bytes]:
    """Forwarded (RFC 7239) and the older X-Forwarded-* of a request.

    Guards against clients who claim to be others: only what a trusted proxy says of the way before it is kept."""
    before = noted if trusted else {}
    address = b"unknown" if peer == LOCAL else peer.encode()
    quoted = b'"[%b]"' % address if b":" in address else address
    chain = before.get(b"x-forwarded-for")
    proto = b"https" if secure else b"http"
    element = b'for=%b;host="%b";proto=%b' % (quoted, host, proto)
    earlier = before.get(b"forwarded")
    return [
        b"X-Forwarded-For: %b\r\n" % (chain + b", " + address if chain else address),
        b"X-Forwarded-Proto: %b\r\n" % before.get(b"x-forwarded-proto", proto),
        b"X-Forwarded-Host: %b\r\n" % before.get(b"x-forwarded-host", host),
        b"Forwarded: %b\r\n" % (earlier + b", " + element if earlier else element),
    ]


def find_session(sticky: StickyTable, cookies: bytes, path: str) -> str | None:
    """The name of the member that a sticky session is with, as the client has it; None where it has none.

    With a separator the name is what follows the last one, or the first, as the route says."""
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
    """Of the last segment that has it: `/a;jsessionid=x.b1`."""
    for segment in reversed(path.split("/")):
        for part in segment.split(";")[1:]:
            key, found, value = part.partition("=")
            if found and key == name:
                return value
    return None
