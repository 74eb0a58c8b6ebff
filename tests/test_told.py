"""All proxies receive the endpoint list within 6 s of when discovery can be reached: up to 400 proxies with the real
watch and the real policy, a model of the service, and a simulated clock."""

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

MAX_DELAY_S = 6.0
OLD, NEW = ("127.0.0.1", 1), ("127.0.0.1", 2)


class SimulatedSelector(selectors.DefaultSelector):
    """Advances a simulated clock to the time at which the event loop would wake, instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "no timer is pending"
        self.now += max(0.0, timeout)
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    def __init__(self, service: Service) -> None:
        self.clock = SimulatedSelector()
        super().__init__(self.clock)
        self.service = service

    def time(self) -> float:
        return self.clock.now

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        return await self.service.connect(factory, (host, port))


class ServerWatch(asyncio.Transport):
    """The service's side of one watch."""

    def __init__(self, service: Service, protocol: asyncio.Protocol, where: tuple[str, int]) -> None:
        super().__init__()
        self.service, self.protocol, self.address, self.ended = service, protocol, where, False

    def write(self, data: Any) -> None:
        asyncio.get_running_loop().create_task(self.service.handle_request(self))

    def send(self, value: object) -> None:
        if not self.ended:
            text = json.dumps(value).encode() + b"\n" if value else b"\n"
            self.protocol.data_received(b"%x\r\n%b\r\n" % (len(text), text))

    def abort(self) -> None:
        if not self.ended:
            self.ended = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)


class Service:
    """A discovery service that is up or fails as `down` says; needs `every` seconds per call, rejects long waits."""

    def __init__(self, every: float, down: str, overbook: float = 1.0, timeout: float = 2.0) -> None:
        """`overbook`: accepts calls that wait for up to this many timeouts, and processes those that timed out too."""
        self.every, self.down, self.overbook, self.timeout = every, down, overbook, timeout
        self.up_at, self.up_address = 0.0, OLD
        self.free_at = 0.0
        self.calls: list[float] = []
        self.watches: list[ServerWatch] = []

    def is_up(self, where: tuple[str, int]) -> bool:
        return asyncio.get_running_loop().time() >= self.up_at and where == self.up_address

    async def connect(self, factory: Callable[[], asyncio.Protocol], where: tuple[str, int]) -> Any:
        if not self.is_up(where):
            if self.down == "refuses":
                raise ConnectionRefusedError
            if self.down == "cut":
                await asyncio.sleep(3600)
        watch = ServerWatch(self, factory(), where)
        watch.protocol.connection_made(watch)
        return watch, watch.protocol

    async def handle_request(self, watch: ServerWatch) -> None:
        if not self.is_up(watch.address):
            return  # the call is lost without an answer or an error
        now = asyncio.get_running_loop().time()
        self.calls.append(now)
        done = max(now, self.free_at) + self.every
        if done - now <= self.timeout * self.overbook:
            self.free_at = done
            await asyncio.sleep(min(self.timeout, done - now))
        if done - now > self.timeout:
            if not watch.ended:
                watch.protocol.data_received(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        if not watch.ended:
            watch.protocol.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            watch.send({"version": 9, "full": True, "servers": []})
            self.watches.append(watch)

    async def send_heartbeats(self) -> None:
        """Send heartbeats on all open watches."""
        while True:
            await asyncio.sleep(2.0)
            for watch in self.watches:
                watch.send(None)


class Proxy:
    """The watch and the policy of one proxy, without requests."""

    def __init__(self, settings: dict[str, Any], seed: int) -> None:
        deployment = read_deployment(settings)
        self.balancer = Balancer(deployment.settings, seed)
        self.received_at = -1.0
        self.discovery = DiscoveryClient(self, deployment, OLD, RateLimitedLogger())

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        if not stale and self.received_at < 0:
            self.received_at = asyncio.get_running_loop().time()
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
    loop = SimulatedLoop(service)
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
def test_all_proxies_receive_the_list_within_6_s_after_any_outage(
    mode: str, down: str, proxies: int, seed: int
) -> None:
    """The service needs up to 3 s for one call of each proxy, and rejects calls that would wait for more than 2 s."""
    service = Service(3.0 / max(3, proxies) if mode == "subscribe" else 0.0, down)
    random.seed(seed)

    async def scene() -> None:
        service.up_at = 5.0 + 5.0 * random.random()
        nodes = [Proxy(settings(mode, proxies), 1000 * seed + n) for n in range(proxies)]
        for node in nodes:
            node.discovery.start({"version": 1, "full": True, "servers": []})
        await asyncio.sleep(service.up_at + MAX_DELAY_S)
        delays = [node.received_at - service.up_at for node in nodes]
        assert all(0 <= wait <= MAX_DELAY_S for wait in delays), max(delays)
        if proxies == 400 and mode == "subscribe":  # the calls are spread over time
            first = [sum(at <= t < at + 0.1 for t in service.calls) for at in service.calls]
            assert max(first) < proxies / 2

    play(service, scene)


@pytest.mark.parametrize("proxies", [3, 28, 400])
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("all_s", [5.0, 7.0])
def test_overbooked_service_answers_all_proxies_in_the_end(all_s: float, proxies: int, seed: int) -> None:
    """Guards against retries at a constant rate to a service that accepts more calls than it can answer in time and
    still processes those that timed out: it would never answer any call in time again."""
    service = Service(min(1.0, all_s / proxies), "refuses", overbook=2.0)
    random.seed(seed)

    async def scene() -> None:
        nodes = [Proxy(settings("subscribe", proxies), 1000 * seed + n) for n in range(proxies)]
        for node in nodes:
            node.discovery.start({"version": 1, "full": True, "servers": []})
        heartbeats = asyncio.get_running_loop().create_task(service.send_heartbeats())
        await asyncio.sleep(60.0)
        heartbeats.cancel()
        assert all(node.received_at >= 0 for node in nodes), sum(node.received_at < 0 for node in nodes)

    play(service, scene)


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize("proxies", [1, 400])
def test_silent_watch_is_reopened_within_6_s(mode: str, proxies: int) -> None:
    service = Service(2.0 / max(2, proxies) if mode == "subscribe" else 0.0, "refuses")

    async def scene() -> None:
        nodes = [Proxy(settings(mode, proxies), n) for n in range(proxies)]
        for node in nodes:
            node.discovery.start({"version": 1, "full": True, "servers": []})
        heartbeats = asyncio.get_running_loop().create_task(service.send_heartbeats())
        await asyncio.sleep(10.0)
        assert all(node.received_at >= 0 and len(service.watches) == proxies for node in nodes)
        service.watches.clear()  # no heartbeats from here on
        silent_at = asyncio.get_running_loop().time()
        for node in nodes:
            node.received_at = -1.0
        await asyncio.sleep(MAX_DELAY_S)
        assert all(silent_at < node.received_at for node in nodes)
        heartbeats.cancel()

    play(service, scene)


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
@pytest.mark.parametrize("proxies", [1, 400])
@pytest.mark.parametrize("failing", [False, True])
def test_all_proxies_receive_the_list_within_4_s_after_a_change_of_address(
    mode: str, proxies: int, failing: bool
) -> None:
    """SIGHUP sets another service, which needs 2 s for one call of each proxy; also after a long outage of the old."""
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
            node.received_at = -1.0
            node.discovery.move(NEW)
        await asyncio.sleep(4.0)
        assert all(moved_at <= node.received_at for node in nodes)
        if proxies == 400 and mode == "subscribe":
            assert sum(at < moved_at + 0.1 for at in service.calls) < proxies / 2

    play(service, scene)
