"""A rollout of a configuration at one instance: the file is fetched, checked, loaded, and taken back.

Which stage follows is decided in `fleet/orchestration/rollout.py`. What belongs to an instance alone is not rolled out,
so secrets and keys are never carried: the tables [process], [store], [management], [log] and [fleet], and of each
listener its address and keys.
"""

from __future__ import annotations

import asyncio
import os
import tomllib
from pathlib import Path
from typing import AsyncIterator, Callable, Coroutine, Iterator, Mapping, NamedTuple

import msgspec
import tomli_w
from blake3 import blake3

from loadbalancer.config.reader import ConfigError
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.fleet_interfaces import JsonObject, PrepareConfiguration
from loadbalancer.fleet.orchestration.rollout import (
    RolloutPlan,
    RolloutStage,
    RunningFile,
    StageReport,
    wants_new,
)
from loadbalancer.fleet.replication.messages import QueryRequest, QueryResponse
from loadbalancer.fleet.wire import Message

#: Tables that an instance keeps as they are.
INSTANCE_TABLES = ("process", "store", "management", "log", "fleet")
#: Keys of a listener that an instance keeps.
INSTANCE_LISTENER_KEYS = ("address", "tls")
MAX_FILE_BYTES = 1 << 20
#: Bytes of the file in one message.
MESSAGE_BYTES = 12 << 10
#: Seconds between two attempts to fetch the file, and between two looks at a reload that is under way.
FETCH_RETRY_INTERVAL_S = 0.5
RELOAD_POLL_INTERVAL_S = 0.01
#: Bytes of the digest by which a file is known.
DIGEST_BYTES = 16

#: Asks an instance by its name; raises ConnectionError where the name is not known.
AskInstance = Callable[[str, Message], AsyncIterator[Message]]


class RequestCounts(NamedTuple):
    """Requests that have ended since the start of the process."""

    ended: int
    failed: int  # of these, rejected or failed


def merged(rolled_out: bytes, current: bytes) -> bytes:
    """Return the file that an instance runs under: the rolled out one with what is the instance's own.

    Raises:
        ValueError: one of the files is no TOML.
    """
    new = tomllib.loads(rolled_out.decode())
    own = tomllib.loads(current.decode())
    for key in INSTANCE_TABLES:
        new.pop(key, None)
        if key in own:
            new[key] = own[key]
    own_listeners = {listener.get("name"): listener for listener in own.get("listener", [])}
    for listener in new.get("listener", []):
        own_listener = own_listeners.get(listener.get("name"), {})
        for key in INSTANCE_LISTENER_KEYS:
            listener.pop(key, None)
            if key in own_listener:
                listener[key] = own_listener[key]
    return tomli_w.dumps(new).encode()


class RolloutService:
    """Carries out this instance's part of a rollout, one step at a time.

    It owns a task, which `close` cancels, and two files beside the configuration: the one that was checked, which the
    next check overwrites, and the one that was in force before, which is deleted once it is in force again.
    """

    def __init__(
        self,
        daemon: DaemonContext,
        name: str,
        path: Path,
        prepare: PrepareConfiguration,
        ask: AskInstance,
        count_requests: Callable[[], RequestCounts],
        on_changed: Callable[[], None],
    ) -> None:
        """Begin without a plan.

        Args:
            daemon: is made to reload.
            name: of this instance.
            path: of its configuration.
            prepare: checks a configuration as a reload would; called in another thread.
            ask: asks another instance for the file.
            count_requests: counts those of all pools.
            on_changed: called when `report` has changed.
        """
        self._daemon = daemon
        self._name = name
        self._path = path
        self._prepare = prepare
        self._ask = ask
        self._count_requests = count_requests
        self._on_changed = on_changed
        self._files: dict[str, bytes] = {}  # the last one, by its digest, as it came from an operator
        self._plan_id = ""
        self._stage_version = 0
        self._counts_at_stage = RequestCounts(0, 0)
        self._has_file = False
        self._refusal = ""
        self._task: asyncio.Task[None] | None = None

    @property
    def _checked_path(self) -> Path:
        return self._path.with_name(f".{self._path.name}.next.toml")

    @property
    def _previous_path(self) -> Path:
        return self._path.with_name(f".{self._path.name}.before-{self._plan_id}")

    def close(self) -> None:
        """Cancel what is under way."""
        if self._task is not None:
            self._task.cancel()

    def offer(self, text: bytes) -> str:
        """Hold a file that an operator wants to roll out, and return its digest.

        Raises:
            ValueError: it is too long, or no TOML.
        """
        if len(text) > MAX_FILE_BYTES:
            raise ValueError(f"{len(text)} bytes; at most {MAX_FILE_BYTES}")
        tomllib.loads(text.decode())
        digest = _digest(text)
        self._files = {digest: text}
        return digest

    def answer(self, digest: str) -> Iterator[Message]:
        """Return the file of this digest in messages, and an empty one at the end."""
        text = self._files.get(digest, b"")
        for offset in range(0, len(text), MESSAGE_BYTES):
            yield QueryResponse(text[offset : offset + MESSAGE_BYTES])
        yield QueryResponse(b"")

    @property
    def runs(self) -> RunningFile:
        """Return which file is in force."""
        if self._is_working and self._has_file:
            return RunningFile.CHANGING
        return RunningFile.NEW if self._plan_id and self._previous_path.exists() else RunningFile.OLD

    @property
    def _is_working(self) -> bool:
        return self._task is not None and not self._task.done()

    def report(self, plan: RolloutPlan | None) -> str:
        """Return this instance's report on a plan, as its metadata carries it; "" for none."""
        if plan is None or plan.id != self._plan_id:
            return ""
        counts = self._count_requests()
        report = StageReport(
            self.runs,
            self._has_file,
            self._refusal,
            counts.ended - self._counts_at_stage.ended,
            counts.failed - self._counts_at_stage.failed,
        )
        return report.write(plan.id)

    def step(self, plan: RolloutPlan | None, names: list[str]) -> None:
        """Begin what the plan asks of this instance now, unless something is under way.

        Args:
            plan: as it stands.
            names: of all instances of the fleet.
        """
        if plan is None:
            return
        if plan.id != self._plan_id:
            self._plan_id = plan.id
            self._has_file = False
            self._refusal = ""
        if plan.version != self._stage_version:
            self._stage_version = plan.version
            self._counts_at_stage = self._count_requests()
        if self._is_working:
            return
        if plan.stage == RolloutStage.CHECKING and not self._has_file and not self._refusal:
            self._begin(self._fetch(plan))
        elif (
            not self._refusal
            and wants_new(plan, self._name, names, self.runs)
            and self.runs == RunningFile.OLD
        ):
            self._begin(self._load(plan))
        elif self.runs == RunningFile.NEW and not wants_new(plan, self._name, names, self.runs):
            self._begin(self._take_back())

    def _begin(self, work: Coroutine[None, None, None]) -> None:
        self._task = asyncio.get_running_loop().create_task(work)
        self._task.add_done_callback(lambda _: self._on_changed())

    async def _fetch(self, plan: RolloutPlan) -> None:
        """Fetch the whole file and check it as a reload would; the running configuration is not touched."""
        if plan.digest not in self._files:
            text = await self._download(plan)
            if _digest(text) != plan.digest:
                await asyncio.sleep(
                    FETCH_RETRY_INTERVAL_S
                )  # another attempt follows, until the stage is over
                return
            self._files = {plan.digest: text}
        self._refusal = await asyncio.get_running_loop().run_in_executor(
            None, self._check, self._files[plan.digest]
        )
        self._has_file = not self._refusal

    async def _download(self, plan: RolloutPlan) -> bytes:
        text = b""
        try:
            async for message in self._ask(plan.origin, QueryRequest(f"plan/{plan.digest}")):
                if not isinstance(message, QueryResponse) or not message.body:
                    break
                text += message.body
                if len(text) > MAX_FILE_BYTES:
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
            return b""
        return text

    def _check(self, text: bytes) -> str:
        """Return why this instance can't run the file, "" where it can; called in another thread."""
        try:
            self._checked_path.write_bytes(merged(text, self._path.read_bytes()))
            self._prepare(self._checked_path, self._daemon.logger)
        except ConfigError as error:
            return str(error.problems[0].text)
        except (OSError, ValueError, TypeError, AttributeError) as problem:
            return f"{type(problem).__name__}: {problem}"
        return ""

    async def _load(self, plan: RolloutPlan) -> None:
        text = self._files.get(plan.digest)
        if text is None:
            await self._fetch(plan)
            text = self._files.get(plan.digest)
            if text is None or self._refusal:
                return
        new = merged(text, self._path.read_bytes())
        self._previous_path.write_bytes(self._path.read_bytes())
        if not await self._reload(new):
            self._refusal = "the reload was refused; the log of the instance says why"
            self._path.write_bytes(self._previous_path.read_bytes())
            self._previous_path.unlink()

    async def _take_back(self) -> None:
        if await self._reload(self._previous_path.read_bytes()):
            self._previous_path.unlink()

    async def _reload(self, text: bytes) -> bool:
        """Replace the configuration; return whether the daemon has taken it."""
        new_path = self._path.with_name(f".{self._path.name}.new")
        new_path.write_bytes(text)
        os.replace(new_path, self._path)
        reloads = self._daemon.reloads
        self._daemon.reload()
        while self._daemon.reloading:
            await asyncio.sleep(RELOAD_POLL_INTERVAL_S)
        return self._daemon.reloads > reloads


def _digest(text: bytes) -> str:
    return blake3(text).hexdigest(DIGEST_BYTES)


def rollout_status(plan: RolloutPlan | None, metadata: Mapping[str, Mapping[str, str]]) -> JsonObject:
    """Return what `fleet rollout status` shows.

    Args:
        plan: the latest rollout.
        metadata: of all instances, by their names.
    """
    if plan is None:
        return {"rollout": None}
    return {
        "rollout": msgspec.to_builtins(plan),
        "stage": plan.stage,
        "why": plan.why or None,
        "instances": [_instance_row(plan, name, fields) for name, fields in sorted(metadata.items())],
    }


def _instance_row(plan: RolloutPlan, name: str, metadata: Mapping[str, str]) -> JsonObject:
    report = StageReport.read(metadata.get("plan", ""), plan.id)
    if report is None:
        return {"instance": name, "runs": "not known"}
    return {
        "instance": name,
        "runs": report.runs or "changing",
        "has": report.has,
        "refused": report.refused or None,
        "requests": report.requests,
        "bad": report.bad,
    }
