"""Discovery: the watch on the list of backends, and its entries in the module's form."""

from __future__ import annotations

import asyncio
import ipaddress
import math
import random
from typing import Any, Mapping, cast

import httptools

from loadbalancer.deployment import Deployment
from loadbalancer.discovery.endpoint_source import EndpointListener, Entry
from loadbalancer.discovery.json_stream import JsonValues
from loadbalancer.policy.events import (
    EndpointEntry,
    EndpointState,
)
from loadbalancer.resource_limits import RateLimitedLogger

STATES = {"SERVING": EndpointState.READY, "DRAINING": EndpointState.DRAINING, "DELETED": EndpointState.GONE}
#: A watch sends at least an empty line every 2 s; one silent for longer is dead, though its connection
#: may stay open. No longer than needed: drains are told behind it.
SILENT_S = 2.5
#: After which, once more, what has come meanwhile is looked for: this process itself may have stood still.
DOUBT_S = 0.05
#: The first bytes of an answer may wait for their turn behind other callers', 2 s where a deployment says nothing else.
FIRST_S = 2.8
#: A connect to discovery that takes longer fails: nothing answers there. In sum with the module's wait before the next
#: call a list comes within 6 s of the moment at which it can be had (docs/standing-test.md).
CONNECT_S = 1.0
#: Longest list, in bytes, some twenty thousand entries; guards the memory.
LIST_MOST = 4 << 20
#: Where lists are pushed the proxy itself watches anew, after a random moment up to this. Nobody waits at the agent,
#: and what that has been told counts here too.
AGAIN_S = 0.1
#: Where lists are asked for, all proxies are told together of another service: each calls it after up to this. What
#: they wait in line comes on top, and the list counts 4 s after the move.
MOVE_SPREAD_S = 1.8
#: A refusal after longer than this was not one on the spot: the call has waited in line in vain.
IN_LINE_S = 0.5


class EntryError(ValueError):
    """An entry that does not say what it must."""


def read_entry(box: Any, deployment: Deployment) -> Entry:
    """One entry of a list; unknown fields are skipped, unknown zones and kinds share one number."""
    if not isinstance(box, dict):
        raise EntryError("not an object")
    server, state = box.get("id"), box.get("state", "SERVING")
    if not isinstance(server, str) or not server:
        raise EntryError("id: missing")
    if state not in STATES:
        raise EntryError(f"state: {state!r}")
    host, _, port = str(box.get("addr", "")).rpartition(":")
    if STATES[state] == EndpointState.GONE:
        address = ("", 0)
    else:
        try:
            address = (str(ipaddress.IPv4Address(host)), int(port))
        except ValueError:
            raise EntryError(f"addr: {box.get('addr')!r}") from None
    return (
        EndpointEntry(
            endpoint=server,
            zone=deployment.zones.get(box.get("zone", ""), -1),
            cell=_number(box, "cell", 0, int),
            kind=deployment.kinds.get(box.get("kind", ""), -1),
            state=STATES[state],
            weight=_number(box, "weight", 1.0),
            started=_number(box, "started_ms", 0.0) / 1000,
        ),
        address,
    )


def _number(box: Mapping[str, Any], key: str, default: float, kind: type = float) -> Any:
    value = box.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise EntryError(f"{key}: {value!r}")
    return kind(value)


def read_list(box: Any, deployment: Deployment, logger: RateLimitedLogger) -> tuple[int, bool, list[Entry]]:
    """Version, whether it is whole, and the entries that can be read; ValueError if it is no list."""
    if not isinstance(box, dict) or not isinstance(box.get("servers"), list):
        raise ValueError("not a list of servers")
    version = box.get("version", 0)
    if isinstance(version, bool) or not isinstance(version, int):
        raise ValueError(f"version: {version!r}")
    entries = []
    for item in box["servers"]:
        try:
            entries.append(read_entry(item, deployment))
        except (EntryError, TypeError) as problem:
            logger("unreadable entry in a list", problem)
    return version, box.get("full") is True, entries


class DiscoveryClient:
    """Keeps one watch, where it is wanted."""

    def __init__(
        self,
        proxy: EndpointListener,
        deployment: Deployment,
        address: tuple[str, int],
        logger: RateLimitedLogger,
    ) -> None:
        self.proxy, self.deployment, self.address, self.logger = proxy, deployment, address, logger
        self.pushed = not deployment.settings.list_on_request
        self.version: int | None = None  # of the list that is held
        self.current: Watch | None = None
        self.wanted = False
        self.heard_at = -math.inf  # when the service last said something, in seconds of the loop
        self._held: asyncio.TimerHandle | None = None  # the first watch waits for its turn
        self._loop = asyncio.get_running_loop()
        self._opening: asyncio.Task[None] | None = None

    def start(self, known: Any, held: float = 0.0) -> None:
        """Begin with the list from before; where lists are pushed nobody else asks for the watch. `held`: seconds that
        the first watch waits for `release`, at most."""
        try:
            self.version, _, entries = read_list(known, self.deployment, self.logger)
        except ValueError as problem:
            self.logger("no list from before", problem)
            entries = []
        self.proxy.take_list(entries, whole=True, stale=True)
        if self.pushed and held:
            self._held = self._loop.call_later(held, self.release)
        elif self.pushed:
            self.watch(True)

    def release(self, after: float = 0.0) -> None:
        """The first watch begins, now or so many seconds later."""
        if self._held is None:
            return
        self._held.cancel()
        self._held = None
        if after > 0:
            self._held = self._loop.call_later(after, self.release)
        else:
            self.watch(True)

    def age(self) -> float:
        """Seconds since the service was last heard; 0 while a watch stands."""
        return 0.0 if self.current is not None and self.heard_at > 0 else self._loop.time() - self.heard_at

    def watch(self, on: bool) -> None:
        """Guards against a late call that would end a good watch: one that runs or opens is kept."""
        self.wanted = on
        if not on:
            self.close()
        elif self.current is None and self._opening is None:
            self._opening = self._loop.create_task(self._open())

    def move(self, address: tuple[str, int]) -> None:
        """Another service from now on: its whole list is asked for, since versions are of one service.

        Guards against drains missed across a reload. The old watch ends at once, as the old service
        soon ends it anyway; what it had listed stands until the new one has told its list."""
        if address == self.address:
            return
        self.address, self.version = address, None
        self.close()
        self.wanted = True
        if self.pushed:
            self.watch(True)
        else:
            wait = MOVE_SPREAD_S * self.deployment.settings.other_instances_share * random.random()
            self._loop.call_later(wait, self._again)

    def close(self) -> None:
        if self._held is not None:
            self._held.cancel()
            self._held = None
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        if self.current is not None:
            watch, self.current = self.current, None
            watch.close()

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                _, watch = await self._loop.create_connection(lambda: Watch(self), *self.address)
        except (OSError, TimeoutError) as problem:
            self._opening = None
            self.failed(None, f"no connection: {problem}")
        else:
            self._opening = None
            self.current = watch

    def failed(self, watch: Watch | None, why: object, busy: bool = False) -> None:
        """The watch has ended, whatever the reason; what was listed before stands. `busy`: it had waited in line."""
        if watch is not self.current or not self.wanted:
            return
        self.logger("watch failed", why)
        self.close()
        if self.pushed:
            self._loop.call_later(AGAIN_S * random.random(), self._again)
        else:
            self.proxy.list_failed(busy)

    def _again(self) -> None:
        if self.wanted and self.current is None and self._opening is None:
            self.watch(True)

    def missed(self, watch: Watch, why: str) -> None:
        """What it said can't be taken, so the whole list is needed."""
        if watch is self.current:
            self.version = None
            self.failed(watch, why)

    def told(self, watch: Watch, value: object) -> None:
        """A list, or a change to one."""
        if watch is not self.current:
            return
        try:
            version, full, entries = read_list(value, self.deployment, self.logger)
        except ValueError as problem:
            self.missed(watch, f"unreadable list: {problem}")
            return
        if not full and self.version is not None and version < self.version:
            self.missed(watch, f"version {version} after a newer one")
            return
        self.version, self.heard_at = version, self._loop.time()
        self.proxy.take_list(entries, full)


class Watch(asyncio.Protocol):
    """One watch: an answer that stays open, one JSON object behind another."""

    def __init__(self, discovery: DiscoveryClient) -> None:
        self.discovery = discovery
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.body: list[bytes] = []  # found by the parser and not read yet
        self.values = JsonValues(LIST_MOST)
        self.status = 0
        self.ended = False
        self.silence: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self.asked_at = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        owner = self.discovery
        owner.current = self
        start = b"" if owner.version is None else b"&from=%d" % owner.version
        host = "{}:{}".format(*owner.address).encode()
        transport.write(b"GET /v1/endpoints?watch=1%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (start, host))
        self._listen(FIRST_S)

    def _listen(self, patience: float) -> None:
        if self.silence is not None:
            self.silence.cancel()
        self.silence = self._loop.call_later(patience, self._doubt)

    def _doubt(self) -> None:
        """Guards against a watch that is given up for a silence of our own: its bytes wait in the kernel."""
        self.silence = self._loop.call_later(DOUBT_S, self._fail, "silent")

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        if self.status == 200:
            self.body.append(body)

    def on_message_complete(self) -> None:
        if self.status >= 200:
            self.ended = True

    def data_received(self, data: bytes) -> None:
        if not self.values.is_inside:  # one that trickles has the time of a silence to come to its end
            self._listen(SILENT_S)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._fail(f"malformed: {problem}")
            return
        if self.status >= 300:
            self._fail(f"status {self.status}", self._loop.time() - self.asked_at > IN_LINE_S)
            return
        self._read()
        if self.ended:
            self._fail("ended")

    def _read(self) -> None:
        body, self.body = b"".join(self.body), []
        try:
            values = self.values.feed(body)
        except ValueError as problem:
            self.discovery.missed(self, f"unreadable list: {problem}")
            return
        for value in values:
            self.discovery.told(self, value)

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail("connection ended" if exc is None else exc)

    def _fail(self, why: object, busy: bool = False) -> None:
        self.close()
        self.discovery.failed(self, why, busy)

    def close(self) -> None:
        if self.silence is not None:
            self.silence.cancel()
            self.silence = None
        if self.transport is not None:
            self.transport.abort()
