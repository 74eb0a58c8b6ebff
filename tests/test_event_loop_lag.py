"""The lag of the event loop that is subtracted from durations, measured on a simulated clock."""

from __future__ import annotations

import asyncio
from typing import Callable, cast

import pytest
from peers import request, run_with_timeout, running_proxy
from test_stalls import Answering

from loadbalancer.event_loop_lag import (
    ALLOWANCE_PER_SECOND,
    MAX_ALLOWANCE_S,
    MIN_LAG_S,
    MIN_OPEN,
    TICK_INTERVAL_S,
    EventLoopLag,
)


class SimulatedLoop:
    """A simulated event loop with a clock and one timer."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timer: tuple[float, Callable[[], None]] | None = None
        self.reports: list[float] = []
        self.lag = EventLoopLag(cast(asyncio.AbstractEventLoop, self), self.reports.append, lambda: self.now)

    def begin(self) -> None:
        """Open as many measurements as the timer needs."""
        for _ in range(MIN_OPEN):
            self.lag.begin()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> SimulatedLoop:
        self.timer = (self.now + delay_s, callback)
        return self

    def cancel(self) -> None:
        self.timer = None

    def run_for(self, seconds: float) -> None:
        """Advance the clock, and call the timer when it is due."""
        end = self.now + seconds
        while self.timer is not None and self.timer[0] <= end:
            self.now = self.timer[0]
            self.call_timer()
        self.now = end

    def block_for(self, seconds: float) -> None:
        """Advance the clock without calling the timer, which is overdue afterwards."""
        self.run_for(TICK_INTERVAL_S / 2)
        self.now += seconds

    def call_timer(self) -> None:
        timer, self.timer = self.timer, None
        assert timer is not None
        timer[1]()


# Guards against lag that counts as the response time of an endpoint, before and after the timer was called.
def test_lag_is_measured_up_to_one_tick() -> None:
    loop = SimulatedLoop()
    loop.begin()
    began = loop.now
    loop.block_for(0.3)
    before = loop.lag.between(began, loop.now)
    assert 0.3 - TICK_INTERVAL_S <= before <= 0.3
    loop.call_timer()
    assert loop.lag.between(began, loop.now) == pytest.approx(before)
    loop.run_for(1.0)
    assert loop.lag.between(began, loop.now) == pytest.approx(before)
    assert loop.reports == [pytest.approx(before)]


# Guards against lag that is measured although the loop was not blocked.
def test_no_lag_while_the_loop_runs() -> None:
    loop = SimulatedLoop()
    loop.begin()
    began = loop.now
    loop.run_for(1.0)
    loop.now += MIN_LAG_S / 2  # a callback of some milliseconds
    assert loop.lag.between(began, loop.now) == 0.0
    assert loop.reports == []


# Guards against lag before or after a duration that is subtracted from it.
def test_only_lag_within_the_duration_counts() -> None:
    loop = SimulatedLoop()
    loop.begin()
    loop.block_for(0.2)
    loop.call_timer()
    after = loop.now
    loop.run_for(0.2)
    assert loop.lag.between(after, loop.now) == 0.0
    until = loop.now
    loop.block_for(0.2)
    assert loop.lag.between(after, until) == 0.0


# Guards against a process short of processor time that counts all its queueing delay as lag, and sheds no load.
def test_permanent_lag_is_limited_by_the_allowance() -> None:
    loop = SimulatedLoop()
    loop.begin()
    began = loop.now
    for _ in range(100):
        loop.block_for(0.1)
        loop.call_timer()
    spent = loop.lag.between(loop.now - 1.0, loop.now)
    assert spent <= 2 * ALLOWANCE_PER_SECOND
    assert loop.lag.between(began, loop.now) <= MAX_ALLOWANCE_S + ALLOWANCE_PER_SECOND * (loop.now - began)


# Guards against an idle proxy that wakes up without need.
def test_timer_stops_without_open_measurements() -> None:
    loop = SimulatedLoop()
    loop.begin()
    loop.lag.end()
    loop.run_for(2 * TICK_INTERVAL_S)
    assert loop.timer is None
    loop.lag.begin()
    assert loop.timer is not None
    loop.lag.close()
    assert loop.timer is None


# Guards against a proxy that measures lag and does not pass it to its policy.
def test_outcome_contains_the_lag_of_its_attempt() -> None:
    async def scene() -> None:
        peer = Answering("a")
        async with running_proxy(peer.backend) as here:
            clients = [await here.connect() for _ in range(MIN_OPEN)]
            for client in clients:
                await client.send(request())
            while len(peer.backend.calls) < MIN_OPEN:
                await asyncio.sleep(0)
            asyncio.get_running_loop().call_later(0.01, peer.answer_and_stall)
            for client in clients:
                assert (await client.read())[0] == 200
            for outcome in await here.proxy.until_outcomes(MIN_OPEN):
                assert 0.0 < outcome.lag < outcome.elapsed
                assert outcome.response_time < outcome.elapsed

    run_with_timeout(scene)
