"""A fleet that is restarted on purpose, as one of its daemons drives it; each instance hands over in place, so that no
door closes. What follows when is decided in fleet/orchestration/rolling_restart.py.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any, Callable, Iterator

from loadbalancer.admin.calls import CallError, Change
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.recovery import RecoveryService
from loadbalancer.fleet.membership.member_state import MemberStatus
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.orchestration.recovery import RecoveryPhase, is_full
from loadbalancer.fleet.orchestration.rolling_restart import MemberRestart, RestartMember, RollingRestart
from loadbalancer.fleet.replication import messages as form
from loadbalancer.fleet.transport import FleetTransport
from loadbalancer.fleet.wire import Message

#: Seconds between two looks, and that the program of an instance has to hand over.
LOOK_S, HAND_S = 0.25, 50


class RollingRestartService:
    """One daemon's. It owns the pass that it drives, and the program that hands this instance over."""

    def __init__(
        self,
        daemon: DaemonContext,
        name: str,
        link: FleetTransport,
        view: MembershipView,
        returning: RecoveryService,
    ) -> None:
        self.daemon, self.name, self.link, self.view, self.returning = daemon, name, link, view, returning
        self.passing: RollingRestart | None = None
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._program: asyncio.Task[None] | None = None

    def end(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def begin(self, change: Change, done: Callable[[Any], None]) -> None:
        """CallError where one is under way here."""
        if self.passing is not None and not self.passing.over:
            raise CallError(409, "a restart of the fleet is under way here")
        names = [self.name, *(peer.state.name for peer in self.view.table.living)]
        self.passing = RollingRestart(self.name, names, change.request.group, time.monotonic())
        self._task = self._loop.create_task(self._run(self.passing))
        done(self.report())

    async def _run(self, passing: RollingRestart) -> None:
        while not passing.over:
            for begin in passing.step(time.monotonic(), self._lives()):
                await self._restart(begin, passing)
            await asyncio.sleep(LOOK_S)
        self.daemon.logger("fleet: restart", passing.halted or "all have restarted")

    def _lives(self) -> dict[str, MemberRestart]:
        found = {
            self.name: MemberRestart(
                self.view.own_state.boot, True, self.returning.comeback.phase == RecoveryPhase.FULL
            )
        }
        for peer in self.view.table:
            if peer.state.status != MemberStatus.LEFT:
                found[peer.state.name] = MemberRestart(peer.state.boot, peer.is_live, is_full(peer.phase))
        return found

    async def _restart(self, begin: RestartMember, passing: RollingRestart) -> None:
        if begin.name == self.name:
            self.hand_over()
            return
        peer = self.view.table.get(begin.name)
        try:
            if peer is None:
                raise ConnectionError("not known")
            async for message in self.link.ask(
                peer.state.address, peer.state.boot, form.QueryRequest("restart")
            ):
                if isinstance(message, form.QueryResponse) and message.body != b"begun":
                    raise ConnectionError(message.body.decode("utf-8", "replace"))
                break
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError) as problem:
            passing.halted = f"{begin.name} could not be asked: {problem}"

    def hand_over(self) -> str:
        """Have a new process take this one's place; says why not, or nothing."""
        plan = self.daemon.plan
        if plan is None or plan.file.management is None or plan.file.management.socket is None:
            return "no [management] socket, by which a successor would find this process"
        if self._program is None or self._program.done():
            words = ("-m", "loadbalancer.cli", "upgrade", "-c", str(plan.path), "--timeout", str(HAND_S))
            self._program = self._loop.create_task(self._spawn(words))
        return ""

    async def _spawn(self, words: tuple[str, ...]) -> None:
        made = await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        _, errors = await made.communicate()
        if made.returncode:
            self.daemon.logger(
                "fleet: restart of this instance failed", errors.decode("utf-8", "replace").strip()
            )

    def answer(self, message: Message) -> Iterator[tuple[Message, float]] | None:
        if not isinstance(message, form.QueryRequest) or message.path != "restart":
            return None
        return iter([(form.QueryResponse((self.hand_over() or "begun").encode()), 0.0)])

    def report(self) -> dict[str, Any]:
        passing = self.passing
        if passing is None:
            return {"restart": None}
        return {
            "restart": "halted" if passing.halted else "done" if passing.over else "under way",
            "why": passing.halted or None,
            "done": passing.done,
            "left": [n for group in passing.groups for n in group],
        }
