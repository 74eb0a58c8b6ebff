"""The lag of the event loop: what is left out of durations, on a clock that the test moves."""

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


class MovedLoop:
    """A clock, and the one timer that is set on it."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timer: tuple[float, Callable[[], None]] | None = None
        self.reports: list[float] = []
        self.lag = EventLoopLag(cast(asyncio.AbstractEventLoop, self), self.reports.append, lambda: self.now)

    def begin(self) -> None:
        """Open as many measurements as it takes."""
        for _ in range(MIN_OPEN):
            self.lag.begin()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> MovedLoop:
        self.timer = (self.now + delay_s, callback)
        return self

    def cancel(self) -> None:
        self.timer = None

    def run_for(self, seconds: float) -> None:
        """Let time pass with the timer called when it is due."""
        end = self.now + seconds
        while self.timer is not None and self.timer[0] <= end:
            self.now = self.timer[0]
            self.call_timer()
        self.now = end

    def hold_up(self, seconds: float) -> None:
        """Let time pass in which nothing runs; the timer is due and not called yet."""
        self.run_for(TICK_INTERVAL_S / 2)
        self.now += seconds

    def call_timer(self) -> None:
        timer, self.timer = self.timer, None
        assert timer is not None
        timer[1]()


# Guards against a hold-up that is counted as the time of an endpoint, before and after the timer was called.
def test_a_hold_up_is_left_out_but_for_a_tick() -> None:
    loop = MovedLoop()
    loop.begin()
    began = loop.now
    loop.hold_up(0.3)
    before = loop.lag.between(began, loop.now)
    assert 0.3 - TICK_INTERVAL_S <= before <= 0.3
    loop.call_timer()
    assert loop.lag.between(began, loop.now) == pytest.approx(before)
    loop.run_for(1.0)
    assert loop.lag.between(began, loop.now) == pytest.approx(before)
    assert loop.reports == [pytest.approx(before)]


# Guards against decisions that differ though nothing was held up.
def test_nothing_is_left_out_where_the_loop_runs() -> None:
    loop = MovedLoop()
    loop.begin()
    began = loop.now
    loop.run_for(1.0)
    loop.now += MIN_LAG_S / 2  # a callback of some milliseconds
    assert loop.lag.between(began, loop.now) == 0.0
    assert loop.reports == []


# Guards against a hold-up before or after a duration that shortens it.
def test_only_the_lag_within_a_duration_is_left_out() -> None:
    loop = MovedLoop()
    loop.begin()
    loop.hold_up(0.2)
    loop.call_timer()
    after = loop.now
    loop.run_for(0.2)
    assert loop.lag.between(after, loop.now) == 0.0
    until = loop.now
    loop.hold_up(0.2)
    assert loop.lag.between(after, until) == 0.0


# Guards against a process short of processor time that takes all its queues for hold-ups, and sheds no load.
def test_a_process_that_is_always_late_leaves_out_little() -> None:
    loop = MovedLoop()
    loop.begin()
    began = loop.now
    for _ in range(100):
        loop.hold_up(0.1)
        loop.call_timer()
    spent = loop.lag.between(loop.now - 1.0, loop.now)
    assert spent <= 2 * ALLOWANCE_PER_SECOND
    assert loop.lag.between(began, loop.now) <= MAX_ALLOWANCE_S + ALLOWANCE_PER_SECOND * (loop.now - began)


# Guards against a proxy at rest that wakes up for nothing.
def test_the_timer_rests_while_nothing_is_measured() -> None:
    loop = MovedLoop()
    loop.begin()
    loop.lag.end()
    loop.run_for(2 * TICK_INTERVAL_S)
    assert loop.timer is None
    loop.lag.begin()
    assert loop.timer is not None
    loop.lag.close()
    assert loop.timer is None


# Guards against a proxy that measures, and does not tell its policy.
def test_the_outcome_tells_the_hold_up_of_its_attempt() -> None:
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
