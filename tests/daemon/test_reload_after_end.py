"""A configuration that is to be reloaded while the daemon ends."""

from __future__ import annotations

import asyncio
from pathlib import Path

from administered import daemon_configuration, run
from daemons import ground, requests_to

from standins.member import Member


# Guards against a reload that undoes the shutdown: connections stay open, and the kill finds requests on them.
def test_a_reload_after_the_end_has_begun_is_not_taken(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [Member("a")]
        async with ground(tmp_path, members, lambda: daemon_configuration(members)) as here:
            client = await here.connect()
            await client.send(requests_to())
            assert (await client.read())[0] == 200
            ended = asyncio.ensure_future(here.daemon.end())
            await here.until(lambda: here.daemon.listeners["main"].draining)
            await here.reload()
            await client.send(requests_to())
            status, head, _ = await client.read()
            assert status == 200 and b"connection: close" in head.lower()
            assert here.daemon.reloads == 0
            await ended

    run(scene)
