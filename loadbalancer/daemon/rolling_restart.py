"""A rolling restart of the fleet, driven by one of its daemons.

Each instance is replaced by a hot restart, so that its listeners stay open. The order and the times are decided in
`fleet/orchestration/rolling_restart.py`.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Callable

from loadbalancer.admin.calls import CallError, Change
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.fleet_interfaces import AnswerCallback, JsonObject, StreamedAnswer, StreamedMessage
from loadbalancer.daemon.fleet_peers import FleetPeers
from loadbalancer.fleet.member_state import MemberStatus
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.orchestration.recovery import is_full
from loadbalancer.fleet.orchestration.rolling_restart import MemberRestart, RollingRestart
from loadbalancer.fleet.replication.messages import QueryRequest, QueryResponse
from loadbalancer.fleet.wire import Message

#: Seconds between two polls of the restarting instances.
POLL_INTERVAL_S = 0.25
#: Seconds within which the successor of an instance has to take over.
HOT_RESTART_TIMEOUT_S = 50
#: The query that makes another instance restart, and its answer if it does.
RESTART_QUERY = "restart"
RESTART_BEGUN = "begun"


class RollingRestartService:
    """Restarts this instance, and drives a rolling restart that was started here.

    It owns the task of the rolling restart, which `end` cancels. The successor program intentionally outlives this
    process; the task that waits for that program ends with the program or with the event loop.
    """

    def __init__(
        self,
        daemon: DaemonContext,
        peers: FleetPeers,
        view: MembershipView,
        in_full_service: Callable[[], bool],
    ) -> None:
        """`in_full_service` returns whether this instance has recovered from its own start."""
        self._daemon = daemon
        self._peers = peers
        self._view = view
        self._in_full_service = in_full_service
        self._restart: RollingRestart | None = None
        self._task: asyncio.Task[None] | None = None
        self._successor: asyncio.Task[None] | None = None

    def end(self) -> None:
        """Cancel the rolling restart; restarts of instances that are in progress continue."""
        if self._task is not None:
            self._task.cancel()

    def begin(self, change: Change, answer: AnswerCallback) -> None:
        """Start a rolling restart of all live instances, in groups of the size that the change sets.

        Raises:
            CallError: A rolling restart is already in progress here.
        """
        if self._restart is not None and not self._restart.is_over:
            raise CallError(409, "a restart of the fleet is under way here")
        names = [self._peers.name, *self._peers.live_names()]
        self._restart = RollingRestart(self._peers.name, names, change.request.group, time.monotonic())
        self._task = asyncio.get_running_loop().create_task(self._drive(self._restart))
        answer(self.report())

    async def _drive(self, restart: RollingRestart) -> None:
        while not restart.is_over:
            for member in restart.step(time.monotonic(), self._observe()):
                await self._restart_member(member.name, restart)
            await asyncio.sleep(POLL_INTERVAL_S)
        self._daemon.logger("fleet: rolling restart ended", restart.halted or "all have restarted")

    def _observe(self) -> dict[str, MemberRestart]:
        restarts = {
            self._peers.name: MemberRestart(self._view.own_state.boot, True, self._in_full_service()),
        }
        for peer in self._view.table:
            if peer.state.status != MemberStatus.LEFT:
                restarts[peer.state.name] = MemberRestart(peer.state.boot, peer.is_live, is_full(peer.phase))
        return restarts

    async def _restart_member(self, name: str, restart: RollingRestart) -> None:
        if name == self._peers.name:
            self.begin_hot_restart()
            return
        try:
            await self._request_restart(name)
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError) as problem:
            restart.halted = f"{name} could not be asked: {problem}"

    async def _request_restart(self, name: str) -> None:
        async for message in self._peers.request(name, QueryRequest(RESTART_QUERY)):
            if isinstance(message, QueryResponse) and message.body != RESTART_BEGUN.encode():
                raise ConnectionError(message.body.decode("utf-8", "replace"))
            break

    def begin_hot_restart(self) -> str:
        """Start a process that replaces this one; return why it can't start, or "" if it is in progress."""
        plan = self._daemon.plan
        if plan is None or plan.file.management is None or plan.file.management.socket is None:
            return "no [management] socket, by which a successor would find this process"
        if self._successor is None or self._successor.done():
            arguments = ("upgrade", "-c", str(plan.path), "--timeout", str(HOT_RESTART_TIMEOUT_S))
            self._successor = asyncio.get_running_loop().create_task(self._run_successor(arguments))
        return ""

    async def _run_successor(self, arguments: tuple[str, ...]) -> None:
        """Run the command that starts the successor, and log its failure."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loadbalancer.cli",
            *arguments,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        _, errors = await process.communicate()
        if process.returncode:
            text = errors.decode("utf-8", "replace").strip()
            self._daemon.logger("fleet: hot restart failed", text)

    def answer(self, message: Message) -> StreamedAnswer | None:
        """Start a hot restart if another instance requests it, and return the answer; None for any other message."""
        if not isinstance(message, QueryRequest) or message.path != RESTART_QUERY:
            return None
        result = self.begin_hot_restart() or RESTART_BEGUN
        return iter([StreamedMessage(QueryResponse(result.encode()), 0.0)])

    def report(self) -> JsonObject:
        """Return the progress of the last rolling restart that was started here, for `fleet restart`."""
        restart = self._restart
        if restart is None:
            return {"restart": None}
        return {
            "restart": _progress(restart),
            "why": restart.halted or None,
            "done": restart.done,
            "left": [name for group in restart.groups for name in group],
        }


def _progress(restart: RollingRestart) -> str:
    if restart.halted:
        return "halted"
    return "done" if restart.is_over else "under way"
