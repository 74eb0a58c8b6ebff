"""Start times of members under a wall clock that is wrong, here or there."""

from __future__ import annotations

import math
import time
from typing import Any

import pytest
from peers import (
    SETTINGS,
    ScriptedBackend,
    answering,
    run_with_timeout,
    running_proxy,
    until_lists,
)

from loadbalancer.discovery.endpoint_source import Entry
from loadbalancer.discovery.start_times import MAX_REPORT_DELAY_S, StartTimes
from loadbalancer.policy.events import EndpointEntry, EndpointState

OFFSETS_S = [3600.0, 5.0, 0.0, -5.0, -3600.0]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


class Clocks:
    """This machine's clock, which is wrong by `offset_s`, and the true time, on which members start."""

    def __init__(self, offset_s: float) -> None:
        self.offset_s, self.now = offset_s, 100_000.0
        self.messages: list[str] = []
        self.starts = StartTimes(lambda: self.now + offset_s, self.log)  # type: ignore[arg-type]

    def log(self, kind: str, text: object = "") -> None:
        self.messages.append(f"{kind}: {text}")

    def entry(self, name: str, started: float, state: EndpointState = EndpointState.READY) -> Entry:
        return EndpointEntry(name, 0, 0, 0, state, 1.0, started), ("127.0.0.1", 9)

    def age_s(self, entry: Entry) -> float:
        """Return how old the entry's process seems to be by this machine's clock."""
        return self.now + self.offset_s - entry[0].started


@pytest.mark.parametrize("offset_s", OFFSETS_S)
def test_member_that_is_listed_as_new_is_taken_for_one_that_has_just_started(offset_s: float) -> None:
    clocks = Clocks(offset_s)
    clocks.starts.bound([clocks.entry("old", 0.0)], True, math.inf)
    clocks.now += 60.0
    (entry,) = clocks.starts.bound([clocks.entry("new", clocks.now - 0.3)], False, 0.0)
    assert 0.0 <= clocks.age_s(entry) <= MAX_REPORT_DELAY_S
    assert len(clocks.messages) == (abs(offset_s) > 3.0)
    clocks.now += 4.0
    (again,) = clocks.starts.bound([clocks.entry("new", clocks.now - 4.3)], False, 0.0)
    assert again == entry and len(clocks.messages) == (abs(offset_s) > 3.0)
    (restarted,) = clocks.starts.bound([clocks.entry("new", clocks.now)], False, 0.0)
    assert restarted[0].started > entry[0].started and clocks.age_s(restarted) <= MAX_REPORT_DELAY_S


@pytest.mark.parametrize("offset_s", OFFSETS_S)
def test_start_during_an_outage_is_not_older_than_the_outage(offset_s: float) -> None:
    clocks = Clocks(offset_s)
    clocks.starts.bound([clocks.entry("old", 0.0)], True, math.inf)
    clocks.now += 20.0
    (_, entry) = clocks.starts.bound(
        [clocks.entry("old", 0.0), clocks.entry("new", clocks.now - 6.0)], True, 8.0
    )
    assert 0.0 <= clocks.age_s(entry) <= 8.0 + MAX_REPORT_DELAY_S
    if not offset_s:
        assert clocks.age_s(entry) == pytest.approx(6.0)


def test_first_list_is_believed_but_for_starts_in_the_future() -> None:
    clocks = Clocks(0.0)
    entries = [clocks.entry("early", clocks.now - 500.0), clocks.entry("later", clocks.now + 60.0)]
    early, later = clocks.starts.bound(entries, True, math.inf)
    assert (clocks.age_s(early), clocks.age_s(later)) == (500.0, 0.0)


def test_member_that_is_gone_is_forgotten() -> None:
    clocks = Clocks(3600.0)
    clocks.starts.bound([clocks.entry("a", clocks.now)], True, math.inf)
    clocks.starts.bound([clocks.entry("a", clocks.now, EndpointState.GONE)], False, 0.0)
    clocks.now += 30.0
    (entry,) = clocks.starts.bound([clocks.entry("a", clocks.now)], False, 0.0)
    assert clocks.age_s(entry) <= MAX_REPORT_DELAY_S


@pytest.mark.parametrize("offset_s", OFFSETS_S)
@pytest.mark.parametrize("step_s", [0.0, 3600.0, -3600.0])
def test_running_proxy_warms_up_a_new_member_whatever_its_wall_clock_says(
    offset_s: float, step_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_time, shift = time.time, [offset_s]
    monkeypatch.setattr(time, "time", lambda: real_time() + shift[0])

    def listed(name: str, **other: Any) -> dict[str, Any]:
        where = {"addr": "127.0.0.1:9", "zone": "a", "kind": "std", "cell": 0, "state": "SERVING"}
        return {"id": name, "weight": 1.0, **where, "started_ms": int(real_time() * 1000), **other}

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("a", answering(OK)), settings=SETTINGS) as here:
            await here.discovery.until_watched()
            await here.discovery.line(2, listed("a", started_ms=0), full=True)
            await until_lists(here, 2)
            shift[0] += step_s
            await here.discovery.line(3, listed("new"))
            await until_lists(here, 3)
            endpoint = here.proxy.balancer.endpoints["new"]
            assert here.proxy.balancer.slow_start.is_warming_up(endpoint, here.proxy.now())
            assert -0.1 <= here.proxy.now() - endpoint.started <= MAX_REPORT_DELAY_S + 1.0

    run_with_timeout(scene)
