"""Test of a reload that is requested during shutdown."""

from __future__ import annotations

import asyncio
from pathlib import Path

from administered import daemon_configuration, run
from daemons import requests_to, running_daemon

from standins.member import Member


# Guards against a reload that undoes the shutdown: connections would stay open and still have requests when the process
# is killed.
def test_reload_during_shutdown_is_ignored(tmp_path: Path) -> None:
    async def scenario() -> None:
        members = [Member("a")]
        async with running_daemon(tmp_path, members, lambda: daemon_configuration(members)) as here:
            client = await here.connect()
            await client.send(requests_to())
            assert (await client.read())[0] == 200
            shutdown = asyncio.ensure_future(here.daemon.end())
            await here.until(lambda: here.daemon.listeners["main"].draining)
            await here.reload()
            await client.send(requests_to())
            status, head, _ = await client.read()
            assert status == 200 and b"connection: close" in head.lower()
            assert here.daemon.reloads == 0
            await shutdown

    run(scenario)
