"""Configurations of daemons with administrative sockets for tests, and calls to these sockets."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Awaitable, Callable

from daemons import LISTENER, DaemonHarness, pool, requests_to, route

from standins.member import Member


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(scenario(), 60)

    asyncio.run(bounded())


MANAGED = '[management]\nsocket = "s"\nread_socket = "r"\naudit = "audit.log"\n'
STORE = '[store]\nfolder = "state"\n'


def daemon_configuration(members: list[Member], *more: str) -> str:
    return "\n".join(
        (*more, LISTENER, route("r", "p"), pool("p", members, "[pool.rules]", 'new_members = "warm"'))
    )


async def call(
    harness: DaemonHarness, method: str, path: str, name: str = "s", **body: Any
) -> tuple[int, Any]:
    reader, writer = await asyncio.open_unix_connection(str(harness.path.parent / name))
    data = json.dumps({"by": "ops", **body}).encode() if method == "POST" else b""
    writer.write(
        b"%b /v1/%b HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b"
        % (method.encode(), path.encode(), len(data), data)
    )
    response = await reader.read()
    writer.close()
    head, _, response_body = response.partition(b"\r\n\r\n")
    return int(head[9:12]), json.loads(response_body)


async def served_by(harness: DaemonHarness, count: int = 40) -> set[str]:
    answers = set()
    for _ in range(count):
        status, _, body = await harness.ask(requests_to())
        answers.add(json.loads(body)["member"] if status == 200 else str(status))
    return answers
