"""Fleets of real processes with stand-in members, for tests. The helpers wait for events, never for a fixed time."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, AsyncIterator, Awaitable, Callable, Sequence

from standins.member import Fleet as Members
from standins.processes import CONFIG, Fleet, Instance, until

#: Time limit of one test, also on a busy machine.
TEST_TIMEOUT_S = 150.0


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a test scenario within the time limit of a test."""

    async def bounded() -> None:
        await asyncio.wait_for(scenario(), TEST_TIMEOUT_S)

    asyncio.run(bounded())


@asynccontextmanager
async def fleet(
    folder: Path, size: int, *numbers: int, members: Members | None = None, **more: Any
) -> AsyncIterator[Fleet]:
    """Start the instances with these numbers, or all of them, which then settle, in front of stand-in members."""
    members = members or Members(3)
    await members.start()
    try:
        pool = '[[pool]]\nname = "p"\nrules = { new_members = "warm" }\n' + members.tables()
        async with Fleet(folder, size, pool, **more) as processes:
            await processes.open(*numbers)
            if not numbers:
                await processes.settled()
            yield processes
    finally:
        await members.stop()


async def row(observer: Any, name: str) -> dict[str, Any] | None:
    """Return the row that one instance reports of another, or None if it does not know the name."""
    members = await observer.read("fleet/members")
    return next((member for member in members if member["instance"] == name), None)


async def until_recorded(observer: Any, name: str, state: str) -> None:
    """Wait until one instance records another in this state (alive, suspect or dead)."""

    async def is_recorded() -> bool:
        member = await row(observer, name)
        return member is not None and member["state"] == state

    await until(is_recorded, f"{observer.name} records {name} as {state}")


@asynccontextmanager
async def replicated_fleet(
    folder: Path,
    size: int,
    *numbers: int,
    members: Members | None = None,
    stale: str = "2s",
    voters: int = 5,
    cut_off: str = "refuse",
    **more: Any,
) -> AsyncIterator[Fleet]:
    """Start a fleet with replicated state; if all instances are started, wait until all may act."""
    names = ", ".join(f'"i{number}"' for number in range(min(size, voters)))
    settings = f'voters = [{names}]\nstale_most = "{stale}"\ncut_off = "{cut_off}"'
    config = '[store]\nfolder = "state"\n' + CONFIG
    async with fleet(
        folder, size, *numbers, members=members, config=config, fleet_more=settings, **more
    ) as started:
        if not numbers:
            await until_acting(started.all)
        yield started


async def replication_status(instance: Instance) -> dict[str, Any]:
    """Return an instance's status of the replicated state."""
    return dict((await instance.read("fleet/status"))["agreed"])


async def until_acting(instances: Sequence[Instance], version: int = 0) -> None:
    """Wait until all of these instances may act on this version or a later one."""

    async def all_act() -> bool:
        statuses = await asyncio.gather(*(replication_status(instance) for instance in instances))
        return all(
            not status["shut_out"] and status["version"] >= version and not status["behind"]
            for status in statuses
        )

    names = ", ".join(instance.name for instance in instances)
    await until(all_act, f"{names} act on version {version}")


async def until_version(instance: Instance, version: int) -> None:
    """Wait until an instance acts on this version or a later one."""

    async def is_reached() -> bool:
        return int((await replication_status(instance))["version"]) >= version

    await until(is_reached, f"{instance.name} is on version {version}")
