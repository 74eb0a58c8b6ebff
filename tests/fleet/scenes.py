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
    """What one instance holds of another."""
    found = await asked.read("fleet/members")
    return next((one for one in found if one["instance"] == name), None)


async def held(asked: Any, name: str, state: str) -> None:
    """Wait until one instance holds another for this."""

    async def so() -> bool:
        found = await row(asked, name)
        return found is not None and found["state"] == state

    await until(so, f"{asked.name} holds {name} {state}")


@asynccontextmanager
async def agreeing(
    folder: Path,
    size: int,
    *numbers: int,
    members: Members | None = None,
    stale: str = "2s",
    voters: int = 5,
    cut_off: str = "refuse",
    **more: Any,
) -> AsyncIterator[Fleet]:
    """A fleet with one state; it is left once all may act, where all are started."""
    names = ", ".join(f'"i{number}"' for number in range(min(size, voters)))
    words = f'voters = [{names}]\nstale_most = "{stale}"\ncut_off = "{cut_off}"'
    config = '[store]\nfolder = "state"\n' + CONFIG
    async with fleet(
        folder, size, *numbers, members=members, config=config, fleet_more=words, **more
    ) as made:
        if not numbers:
            await acting(made.all)
        yield made


async def standing(one: One) -> dict[str, Any]:
    return dict((await one.read("fleet/status"))["agreed"])


async def acting(among: Sequence[One], version: int = 0) -> None:
    """Wait until all of these may act, on this version or a later one."""

    async def so() -> bool:
        found = await asyncio.gather(*(standing(one) for one in among))
        return all(not one["shut_out"] and one["version"] >= version and not one["behind"] for one in found)

    await until(so, f"{', '.join(one.name for one in among)} act on version {version}")


async def on(one: One, version: int) -> None:
    """Wait until one acts on this version."""

    async def so() -> bool:
        return int((await standing(one))["version"]) >= version

    await until(so, f"{one.name} is on version {version}")
