"""A configuration that is rolled out, at one daemon: fetched, checked, taken up, taken back. What follows when is
decided in fleet/orchestration/rollout.py.

What is of this instance alone stays its own: [process], [store], [management], [log], [fleet], and of each listener
its address and keys. So secrets and keys are never carried.
"""

from __future__ import annotations

import asyncio
import os
import tomllib
from pathlib import Path
from typing import Any, AsyncIterator, Callable, Iterator, Mapping, Protocol

import msgspec
import tomli_w
from blake3 import blake3

from loadbalancer.config.reader import ConfigError
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.preparation import prepare
from loadbalancer.fleet.orchestration.rollout import RolloutPlan, StageReport, wants_new
from loadbalancer.fleet.replication import messages as form
from loadbalancer.fleet.wire import Message

#: Tables that an instance keeps as they are.
OWN = ("process", "store", "management", "log", "fleet")
#: Keys of a listener that it keeps.
OWN_OF_LISTENER = ("address", "tls")
#: Bytes of a file that is rolled out, and of one message of it.
FILE_MOST, PART = 1 << 20, 12 << 10
#: Seconds between two tries to fetch a file.
FETCH_S = 0.5


class RolloutControl(Protocol):
    def __call__(self, name: str, message: Message) -> AsyncIterator[Message]: ...


def merged(theirs: bytes, ours: bytes) -> bytes:
    """The file that an instance runs under. ValueError where either is no TOML."""
    new, own = tomllib.loads(theirs.decode()), tomllib.loads(ours.decode())
    for key in OWN:
        new.pop(key, None)
        if key in own:
            new[key] = own[key]
    mine = {one.get("name"): one for one in own.get("listener", [])}
    for listener in new.get("listener", []):
        kept = mine.get(listener.get("name"), {})
        for key in OWN_OF_LISTENER:
            listener.pop(key, None)
            if key in kept:
                listener[key] = kept[key]
    return tomli_w.dumps(new).encode()


class RolloutService:
    """One daemon's. It owns two files beside the configuration: what was checked, and what was in force before."""

    def __init__(
        self,
        daemon: DaemonContext,
        name: str,
        path: Path,
        ask: RolloutControl,
        counts: Callable[[], tuple[int, int]],
        tell: Callable[[], None],
    ) -> None:
        """`counts`: all requests so far, and those refused or failed. `tell`: what is reported has changed."""
        self.daemon, self.name, self.path = daemon, name, path
        self._ask, self._counts, self._tell = ask, counts, tell
        self.files: dict[str, bytes] = {}  # by digest, as they came from an operator
        self._plan = ""
        self._stage = 0
        self._since = (0, 0)
        self._has, self._refused = False, ""
        self._work: asyncio.Task[None] | None = None

    @property
    def _checked(self) -> Path:
        return self.path.with_name(f".{self.path.name}.next.toml")

    @property
    def _before(self) -> Path:
        return self.path.with_name(f".{self.path.name}.before-{self._plan}")

    def close(self) -> None:
        if self._work is not None:
            self._work.cancel()

    def offer(self, text: bytes) -> str:
        """Hold a file that an operator wants rolled out; its digest. ValueError where it is none."""
        if len(text) > FILE_MOST:
            raise ValueError(f"{len(text)} bytes; at most {FILE_MOST}")
        tomllib.loads(text.decode())
        digest = blake3(text).hexdigest(16)
        self.files = {digest: text}
        return digest

    def answer(self, digest: str) -> Iterator[Message]:
        text = self.files.get(digest, b"")
        for at in range(0, len(text), PART):
            yield form.QueryResponse(text[at : at + PART])
        yield form.QueryResponse(b"")

    @property
    def runs(self) -> str:
        """ "" while it changes."""
        if self._work is not None and not self._work.done() and self._has:
            return ""
        return "new" if self._plan and self._before.exists() else "old"

    def report(self, plan: RolloutPlan | None) -> str:
        if plan is None or plan.id != self._plan:
            return ""
        requests, bad = self._counts()
        found = StageReport(
            self.runs, self._has, self._refused, requests - self._since[0], bad - self._since[1]
        )
        return found.write(plan.id)

    def look(self, plan: RolloutPlan | None, names: list[str]) -> None:
        """Do what the plan wants of this instance now, one thing at a time. `names`: of the fleet."""
        if plan is None:
            return
        if plan.id != self._plan:
            self._plan, self._has, self._refused = plan.id, False, ""
        if plan.version != self._stage:
            self._stage, self._since = plan.version, self._counts()
        if self._work is not None and not self._work.done():
            return
        if plan.stage == "checking" and not self._has and not self._refused:
            self._begin(self._fetch(plan))
        elif not self._refused and wants_new(plan, self.name, names, self.runs) and self.runs == "old":
            self._begin(self._take(plan))
        elif self.runs == "new" and not wants_new(plan, self.name, names, self.runs):
            self._begin(self._take_back())

    def _begin(self, work: Any) -> None:
        self._work = asyncio.get_running_loop().create_task(work)
        self._work.add_done_callback(lambda _: self._tell())

    # Off the loop's way, one at a time.

    async def _fetch(self, plan: RolloutPlan) -> None:
        """Whole, by its digest, then checked as a reload would; nothing that runs is touched by it."""
        if plan.digest not in self.files:
            text = b""
            try:
                async for message in self._ask(plan.origin, form.QueryRequest(f"plan/{plan.digest}")):
                    if not isinstance(message, form.QueryResponse) or not message.body:
                        break
                    text += message.body
                    if len(text) > FILE_MOST:
                        break
            except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
                text = b""
            if blake3(text).hexdigest(16) != plan.digest:
                await asyncio.sleep(FETCH_S)  # another try follows, until the stage is over
                return
            self.files = {plan.digest: text}
        self._refused = await asyncio.get_running_loop().run_in_executor(
            None, self._check, self.files[plan.digest]
        )
        self._has = not self._refused

    def _check(self, text: bytes) -> str:
        try:
            self._checked.write_bytes(merged(text, self.path.read_bytes()))
            prepare(self._checked, self.daemon.logger)
        except ConfigError as error:
            return str(error.problems[0].text)
        except (OSError, ValueError, TypeError, AttributeError) as problem:
            return f"{type(problem).__name__}: {problem}"
        return ""

    async def _take(self, plan: RolloutPlan) -> None:
        text = self.files.get(plan.digest)
        if text is None:
            await self._fetch(plan)
            text = self.files.get(plan.digest)
            if text is None or self._refused:
                return
        new = merged(text, self.path.read_bytes())
        self._before.write_bytes(self.path.read_bytes())
        if not await self._reload(new):
            self._refused = "the reload was refused; the log of the instance says why"
            self.path.write_bytes(self._before.read_bytes())
            self._before.unlink()

    async def _take_back(self) -> None:
        old = self._before.read_bytes()
        if await self._reload(old):
            self._before.unlink()

    async def _reload(self, text: bytes) -> bool:
        """Whether it was taken."""
        new = self.path.with_name(f".{self.path.name}.new")
        new.write_bytes(text)
        os.replace(new, self.path)
        taken = self.daemon.reloads
        self.daemon.reload()
        while self.daemon.reloading:
            await asyncio.sleep(0.01)
        return self.daemon.reloads > taken


def rows(plan: RolloutPlan | None, cards: Mapping[str, Mapping[str, str]]) -> dict[str, Any]:
    """For `fleet rollout status`."""
    if plan is None:
        return {"rollout": None}
    found = []
    for name, card in sorted(cards.items()):
        report = StageReport.read(card.get("plan", ""), plan.id)
        row: dict[str, Any] = {"instance": name, "runs": "not known"}
        if report is not None:
            row |= {
                "runs": report.runs or "changing",
                "has": report.has,
                "refused": report.refused or None,
                "requests": report.requests,
                "bad": report.bad,
            }
        found.append(row)
    return {
        "rollout": msgspec.to_builtins(plan),
        "stage": plan.stage,
        "why": plan.why or None,
        "instances": found,
    }
