"""What discovery has is known here within 6 s of the moment at which it can be reached: 400 proxies on a clock that
the test moves, the real watch and the real decisions, a modelled service."""

from __future__ import annotations

import asyncio
import json
import random
import selectors
from typing import Any, Callable, Coroutine

import pytest
from peers import SETTINGS

from loadbalancer.deployment import read_deployment
from loadbalancer.discovery.endpoint_source import Entry
from loadbalancer.discovery.watch import DiscoveryClient
from loadbalancer.policy.actions import (
    SetTimer,
    WatchEndpoints,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    EndpointList,
    TimerFired,
)
from loadbalancer.resource_limits import RateLimitedLogger

TOLD_S = 6.0
OLD, NEW = ("127.0.0.1", 1), ("127.0.0.1", 2)


class NoSockets(selectors.DefaultSelector):
    """Nothing is waited for: the clock is moved to where the loop would wake."""

    moved = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "nothing is left to happen"
        self.moved += max(0.0, timeout)
        return []


class MovedLoop(asyncio.SelectorEventLoop):
    def __init__(self, service: Service) -> None:
        self.clock = NoSockets()
        super().__init__(self.clock)
        self.service = service

    def time(self) -> float:
        return self.clock.moved

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        return await self.service.connect(factory, (host, port))


class Line(asyncio.Transport):
    """A watch as the service has it."""

    def __init__(self, service: Service, protocol: asyncio.Protocol, where: tuple[str, int]) -> None:
        super().__init__()
        self.service, self.protocol, self.where, self.ended = service, protocol, where, False

    def write(self, data: Any) -> None:
        asyncio.get_running_loop().create_task(self.service.asked(self))

    def say(self, value: object) -> None:
        if not self.ended:
            text = json.dumps(value).encode() + b"\n" if value else b"\n"
            self.protocol.data_received(b"%x\r\n%b\r\n" % (len(text), text))

    def abort(self) -> None:
        if not self.ended:
            self.ended = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)


class Service:
    """Down, cut off or up; it answers in turn, `every` seconds a caller, and turns away what would wait for long."""

    def __init__(self, every: float, down: str, overbook: float = 1.0, timeout: float = 2.0) -> None:
        """`overbook`: it takes calls that would wait for so many time-outs, and works on for those who gave up."""
        self.every, self.down, self.overbook, self.timeout = every, down, overbook, timeout
        self.up_at, self.up_address = 0.0, OLD
        self.free_at = 0.0
        self.calls: list[float] = []
        self.lines: list[Line] = []

    def is_up(self, where: tuple[str, int]) -> bool:
        return asyncio.get_running_loop().time() >= self.up_at and where == self.up_address

    async def connect(self, factory: Callable[[], asyncio.Protocol], where: tuple[str, int]) -> Any:
        if not self.is_up(where):
            if self.down == "refuses":
                raise ConnectionRefusedError
            if self.down == "cut":
                await asyncio.sleep(3600)
        line = Line(self, factory(), where)
        line.protocol.connection_made(line)
        return line, line.protocol

    async def asked(self, line: Line) -> None:
        if not self.is_up(line.where):
            return  # lost: nobody answers, and nothing says so
        now = asyncio.get_running_loop().time()
        self.calls.append(now)
        done = max(now, self.free_at) + self.every
        if done - now <= self.timeout * self.overbook:
            self.free_at = done
            await asyncio.sleep(min(self.timeout, done - now))
        if done - now > self.timeout:
            if not line.ended:
                line.protocol.data_received(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        if not line.ended:
            line.protocol.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line.say({"version": 9, "full": True, "servers": []})
            self.lines.append(line)

    async def beat(self) -> None:
        """A watch that has begun is never silent by itself."""
        while True:
            await asyncio.sleep(2.0)
            for line in self.lines:
                line.say(None)


class Proxy:
    """The watch and the decisions of one proxy, without its requests."""

    def __init__(self, settings: dict[str, Any], seed: int) -> None:
        deployment = read_deployment(settings)
        self.balancer = Balancer(deployment.settings, seed)
        self.told_at = -1.0
        self.discovery = DiscoveryClient(self, deployment, OLD, RateLimitedLogger())

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        if not stale and self.told_at < 0:
            self.told_at = asyncio.get_running_loop().time()
        self._post(EndpointList(tuple(entry for entry, _ in entries), whole, False, stale))

    def list_failed(self, busy: bool = False) -> None:
        self._post(EndpointList(failed=True, busy=busy))

    def _post(self, event: EndpointList | TimerFired) -> None:
        loop = asyncio.get_running_loop()
        for action in self.balancer.handle(loop.time() + 1e9, [event]):
            if isinstance(action, SetTimer):
                loop.call_later(action.delay, self._post, TimerFired(action.token))
            elif isinstance(action, WatchEndpoints):
                self.discovery.watch(action.enabled)


def play(service: Service, scene: Callable[[], Coroutine[Any, Any, None]]) -> None:
    loop = MovedLoop(service)
    try:
        loop.run_until_complete(scene())
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(1))
    finally:
        loop.close()


def settings(mode: str, proxies: int) -> dict[str, Any]:
    return {**SETTINGS, "n-instances": proxies, "registry-mode": mode}


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize("down", ["refuses", "cut", "silent"])
@pytest.mark.parametrize("proxies", [1, 25, 400])
@pytest.mark.parametrize("seed", range(3))
def test_after_any_outage_all_know_within_6_s(mode: str, down: str, proxies: int, seed: int) -> None:
    """The service needs up to 3 s for a call of each proxy, and turns away what would wait for over 2 s."""
    service = Service(3.0 / max(3, proxies) if mode == "subscribe" else 0.0, down)
    random.seed(seed)

    async def scene() -> None:
        service.up_at = 5.0 + 5.0 * random.random()
        nodes = [Proxy(settings(mode, proxies), 1000 * seed + n) for n in range(proxies)]
        for node in nodes:
            node.discovery.start({"version": 1, "full": True, "servers": []})
        await asyncio.sleep(service.up_at + TOLD_S)
        late = [node.told_at - service.up_at for node in nodes]
        assert all(0 <= wait <= TOLD_S for wait in late), max(late)
        if proxies == 400 and mode == "subscribe":  # nor did they come together
            first = [sum(at <= t < at + 0.1 for t in service.calls) for at in service.calls]
            assert max(first) < proxies / 2

    play(service, scene)


@pytest.mark.parametrize("proxies", [3, 28, 400])
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("all_s", [5.0, 7.0])
def test_a_line_that_is_too_long_is_emptied_again(all_s: float, proxies: int, seed: int) -> None:
    """One service that takes more calls than it can answer in time, and works on for those who gave up: called again at
    a constant pace it answers nobody any more, for good."""
    service = Service(min(1.0, all_s / proxies), "refuses", overbook=2.0)
    random.seed(seed)

    async def scene() -> None:
        nodes = [Proxy(settings("subscribe", proxies), 1000 * seed + n) for n in range(proxies)]
        for node in nodes:
            node.discovery.start({"version": 1, "full": True, "servers": []})
        beating = asyncio.get_running_loop().create_task(service.beat())
        await asyncio.sleep(60.0)
        beating.cancel()
        assert all(node.told_at >= 0 for node in nodes), sum(node.told_at < 0 for node in nodes)

    play(service, scene)


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize("proxies", [1, 400])
def test_a_watch_that_falls_silent_is_opened_anew_within_6_s(mode: str, proxies: int) -> None:
    service = Service(2.0 / max(2, proxies) if mode == "subscribe" else 0.0, "refuses")

    async def scene() -> None:
        nodes = [Proxy(settings(mode, proxies), n) for n in range(proxies)]
        for node in nodes:
            node.discovery.start({"version": 1, "full": True, "servers": []})
        beating = asyncio.get_running_loop().create_task(service.beat())
        await asyncio.sleep(10.0)
        assert all(node.told_at >= 0 and len(service.lines) == proxies for node in nodes)
        service.lines.clear()  # from here on they say nothing
        silent_at = asyncio.get_running_loop().time()
        for node in nodes:
            node.told_at = -1.0
        await asyncio.sleep(TOLD_S)
        assert all(silent_at < node.told_at for node in nodes)
        beating.cancel()

    play(service, scene)


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize("proxies", [1, 400])
@pytest.mark.parametrize("failing", [False, True])
def test_after_a_move_all_know_within_4_s(mode: str, proxies: int, failing: bool) -> None:
    """SIGHUP: another service, 2 s for a call of each; also where the old one had failed for long."""
    service = Service(2.0 / max(2, proxies) if mode == "subscribe" else 0.0, "refuses")

    async def scene() -> None:
        service.up_at = 1e9 if failing else 0.0
        nodes = [Proxy(settings(mode, proxies), n) for n in range(proxies)]
        for node in nodes:
            node.discovery.start({"version": 1, "full": True, "servers": []})
        await asyncio.sleep(30.0)
        service.up_at, service.up_address, service.calls = 0.0, NEW, []
        moved_at = asyncio.get_running_loop().time()
        for node in nodes:
            node.told_at = -1.0
            node.discovery.move(NEW)
        await asyncio.sleep(4.0)
        assert all(moved_at <= node.told_at for node in nodes)
        if proxies == 400 and mode == "subscribe":
            assert sum(at < moved_at + 0.1 for at in service.calls) < proxies / 2

    play(service, scene)
