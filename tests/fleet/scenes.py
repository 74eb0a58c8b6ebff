"""A fleet of real processes before stand-in members, for tests; they wait for events and never for a while."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, AsyncIterator, Awaitable, Callable, Sequence

from standins.member import Fleet as Members
from standins.processes import CONFIG, Fleet, One, until

#: Seconds that one test may take, on however busy a machine.
TEST_S = 150.0


def run(scene: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(scene(), TEST_S)

    asyncio.run(bounded())


@asynccontextmanager
async def fleet(
    folder: Path, size: int, *numbers: int, members: Members | None = None, **more: Any
) -> AsyncIterator[Fleet]:
    """`numbers`: the places whose processes are started, or all."""
    members = members or Members(3)
    await members.start()
    try:
        pool = '[[pool]]\nname = "p"\nrules = { new_members = "warm" }\n' + members.tables()
        async with Fleet(folder, size, pool, **more) as made:
            await made.open(*numbers)
            if not numbers:
                await made.settled()
            yield made
    finally:
        await members.stop()


async def row(asked: Any, name: str) -> dict[str, Any] | None:
    """Return what one instance holds of another, None where it does not know the name."""
    members = await asked.read("fleet/members")
    return next((member for member in members if member["instance"] == name), None)


async def held(asked: Any, name: str, state: str) -> None:
    """Wait until one instance holds another for alive, suspected or dead."""

    async def is_held() -> bool:
        member = await row(asked, name)
        return member is not None and member["state"] == state

    await until(is_held, f"{asked.name} holds {name} {state}")


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
    """A fleet with a replicated state; where all are started, it is entered once all may act."""
    names = ", ".join(f'"i{number}"' for number in range(min(size, voters)))
    settings = f'voters = [{names}]\nstale_most = "{stale}"\ncut_off = "{cut_off}"'
    config = '[store]\nfolder = "state"\n' + CONFIG
    async with fleet(
        folder, size, *numbers, members=members, config=config, fleet_more=settings, **more
    ) as started:
        if not numbers:
            await until_acting(started.all)
        yield started


async def replication_status(instance: One) -> dict[str, Any]:
    """Return an instance's place in the replicated state."""
    return dict((await instance.read("fleet/status"))["agreed"])


async def until_acting(instances: Sequence[One], version: int = 0) -> None:
    """Wait until all of these may act, on this version or a later one."""

    async def all_act() -> bool:
        found = await asyncio.gather(*(replication_status(instance) for instance in instances))
        return all(
            not status["shut_out"] and status["version"] >= version and not status["behind"]
            for status in found
        )

    names = ", ".join(instance.name for instance in instances)
    await until(all_act, f"{names} act on version {version}")


async def until_version(instance: One, version: int) -> None:
    """Wait until an instance acts on this version or a later one."""

    async def is_reached() -> bool:
        return int((await replication_status(instance))["version"]) >= version

    await until(is_reached, f"{instance.name} is on version {version}")
