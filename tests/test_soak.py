"""Short soaks with fixed seeds; `python -m benchmarks.soak` runs more seeds for longer."""

from __future__ import annotations

import asyncio
import random

import pytest

from benchmarks.soak import Disturbances, Schedule, run_soak
from benchmarks.soak_peers import RECONNECT_S, Journal, SoakClient

SHORT_RUN_S = 4.0
LONG_RUN_S = 6.0


# Guards against lost requests, duplicated effects and leaked descriptors around signals, kills and many idle clients.
@pytest.mark.parametrize(
    ("seed", "seconds"),
    [
        pytest.param(1, SHORT_RUN_S, id="run"),
        pytest.param(3, SHORT_RUN_S, id="run-with-a-crowd"),
        pytest.param(4, SHORT_RUN_S, id="serve"),
        pytest.param(52, LONG_RUN_S, id="serve-seed-52"),
        pytest.param(56, LONG_RUN_S, id="serve-seed-56"),
        pytest.param(73, LONG_RUN_S, id="run-with-a-crowd-seed-73"),
    ],
)
def test_no_rule_is_broken_before_earliest_kill(seed: int, seconds: float) -> None:
    soak = asyncio.run(run_soak(seed, seconds))

    assert soak.counts["200"] > 100
    assert not soak.journal.violations, "\n".join(
        (soak.journal.violations[0], *soak.journal.preceding_events)
    )


def test_client_opens_no_connection_after_its_last_moment() -> None:
    """Guards against a soak that sends new connections to a process later than the platform does."""
    opened = 0

    async def accept(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal opened
        opened += 1
        writer.close()

    async def scene(connects_until: float) -> None:
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        client = SoakClient(1, address, Journal(), random.Random(1), 1.5, True, {})
        client.connects_until = connects_until
        running = asyncio.ensure_future(client.run())
        for _ in range(100):
            await asyncio.sleep(0)
        await asyncio.sleep(RECONNECT_S)
        client.stopped = True
        await running
        server.close()

    asyncio.run(scene(0.0))
    assert not opened
    asyncio.run(scene(float("inf")))
    assert opened


def test_seed_always_gives_same_schedule() -> None:
    assert Schedule.from_seed(7, SHORT_RUN_S) == Schedule.from_seed(7, SHORT_RUN_S)
    kinds = {
        (
            Schedule.from_seed(seed, SHORT_RUN_S).is_daemon,
            Schedule.from_seed(seed, SHORT_RUN_S).has_idle_clients,
        )
        for seed in range(40)
    }
    assert len(kinds) == 4


# Guards against a process that passes its memory limit, or lets its other clients wait, beside crowds.
@pytest.mark.parametrize("seed", [pytest.param(7001, id="run"), pytest.param(7004, id="serve")])
def test_no_rule_is_broken_beside_crowds(seed: int) -> None:
    soak = asyncio.run(run_soak(seed, SHORT_RUN_S, Disturbances(has_crowds=True)))

    assert soak.counts["200"] > 100
    assert not soak.journal.violations, "\n".join(
        (soak.journal.violations[0], *soak.journal.preceding_events)
    )


# Guards against answers that come late, rest or never end, beside signals, drains and members that hang.
@pytest.mark.parametrize("seed", [pytest.param(9001, id="run"), pytest.param(9004, id="serve")])
def test_no_rule_is_broken_beside_late_bodies(seed: int) -> None:
    soak = asyncio.run(run_soak(seed, SHORT_RUN_S, Disturbances(has_late_bodies=True)))

    assert soak.counts["200"] > 100
    assert not soak.journal.violations, "\n".join(
        (soak.journal.violations[0], *soak.journal.preceding_events)
    )


# Guards against an event loop that blocks until its log is read, which would delay every client as long.
@pytest.mark.parametrize(
    ("seed", "seconds"),
    [
        pytest.param(1, SHORT_RUN_S, id="run"),
        pytest.param(52, LONG_RUN_S, id="serve-seed-52"),
    ],
)
def test_unread_log_delays_no_request(seed: int, seconds: float) -> None:
    soak = asyncio.run(run_soak(seed, seconds, Disturbances(log_is_unread=True)))

    assert soak.counts["200"] > 100
    assert not soak.journal.violations, "\n".join(
        (soak.journal.violations[0], *soak.journal.preceding_events)
    )
