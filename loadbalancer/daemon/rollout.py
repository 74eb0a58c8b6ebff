"""The part of one instance in the rollout of a configuration: fetches, checks and loads the file, or rolls it back.

The stages are decided in `fleet/orchestration/rollout.py`. Instance-specific settings are not rolled out, so secrets
and keys are never transferred: the tables [process], [store], [management], [log] and [fleet], and the address and keys
of each listener.
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

#: Tables that are not rolled out; each instance keeps its own.
INSTANCE_TABLES = ("process", "store", "management", "log", "fleet")
#: Settings of a listener that are not rolled out; each instance keeps its own.
INSTANCE_LISTENER_KEYS = ("address", "tls")
MAX_FILE_BYTES = 1 << 20
#: Maximum bytes of the file in one message.
MESSAGE_BYTES = 12 << 10
#: Seconds between two attempts to fetch the file, and between two polls of a reload in progress.
FETCH_RETRY_INTERVAL_S = 0.5
RELOAD_POLL_INTERVAL_S = 0.01
#: Bytes of the digest that identifies a file.
DIGEST_BYTES = 16

#: Sends a request to an instance by its name; raises ConnectionError if the name is unknown.
RequestInstance = Callable[[str, Message], AsyncIterator[Message]]


class RequestCounts(NamedTuple):
    """Counts of requests that have ended since the start of the process."""

    ended: int
    failed: int  # the rejected or failed ones among them


def merge_configuration(rolled_out: bytes, current: bytes) -> bytes:
    """Return the rolled-out file with the instance-specific settings of the instance's current file.

    Raises:
        ValueError: One of the files is not valid TOML.
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
    """Executes this instance's part of a rollout, one task at a time.

    It owns that task, which `close` cancels, and two files beside the configuration: the checked file, which the next
    check overwrites, and the previous configuration, which is deleted once it is in force again.
    """

    def __init__(
        self,
        daemon: DaemonContext,
        name: str,
        path: Path,
        prepare: PrepareConfiguration,
        request_instance: RequestInstance,
        count_requests: Callable[[], RequestCounts],
        on_changed: Callable[[], None],
    ) -> None:
        """Create the service without a plan.

        Args:
            daemon: The daemon, which reloads the configuration.
            name: The name of this instance.
            path: The path of this instance's configuration file.
            prepare: Checks a configuration as a reload does; called in another thread.
            request_instance: Requests the file from another instance.
            count_requests: Returns the request counts of all pools.
            on_changed: Called when `report` has changed.
        """
        self._daemon = daemon
        self._name = name
        self._path = path
        self._prepare = prepare
        self._request_instance = request_instance
        self._count_requests = count_requests
        self._on_changed = on_changed
        self._files: dict[str, bytes] = {}  # only the latest file, by its digest, as the operator provided it
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
        """Cancel the task in progress."""
        if self._task is not None:
            self._task.cancel()

    def add_file(self, text: bytes) -> str:
        """Keep a file that an operator wants to roll out, and return its digest.

        Raises:
            ValueError: The file is too long or is not valid TOML.
        """
        if len(text) > MAX_FILE_BYTES:
            raise ValueError(f"{len(text)} bytes; at most {MAX_FILE_BYTES}")
        tomllib.loads(text.decode())
        digest = _digest(text)
        self._files = {digest: text}
        return digest

    def answer(self, digest: str) -> Iterator[Message]:
        """Yield the file with this digest in messages, followed by an empty message."""
        text = self._files.get(digest, b"")
        for offset in range(0, len(text), MESSAGE_BYTES):
            yield QueryResponse(text[offset : offset + MESSAGE_BYTES])
        yield QueryResponse(b"")

    @property
    def running_file(self) -> RunningFile:
        """Which file is in force at this instance."""
        if self._is_working and self._has_file:
            return RunningFile.CHANGING
        return RunningFile.NEW if self._plan_id and self._previous_path.exists() else RunningFile.OLD

    @property
    def _is_working(self) -> bool:
        return self._task is not None and not self._task.done()

    def report(self, plan: RolloutPlan | None) -> str:
        """Return this instance's report on a plan as metadata carries it; "" before `step` has seen the plan."""
        if plan is None or plan.id != self._plan_id:
            return ""
        counts = self._count_requests()
        report = StageReport(
            self.running_file,
            self._has_file,
            self._refusal,
            counts.ended - self._counts_at_stage.ended,
            counts.failed - self._counts_at_stage.failed,
        )
        return report.write(plan.id)

    def step(self, plan: RolloutPlan | None, names: list[str]) -> None:
        """Start the task that the plan requires of this instance now, unless another task is in progress.

        Args:
            plan: The current plan; None without one.
            names: The names of all instances of the fleet.
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
            self._start_task(self._fetch(plan))
        elif (
            not self._refusal
            and wants_new(plan, self._name, names, self.running_file)
            and self.running_file == RunningFile.OLD
        ):
            self._start_task(self._load(plan))
        elif self.running_file == RunningFile.NEW and not wants_new(
            plan, self._name, names, self.running_file
        ):
            self._start_task(self._roll_back())

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        self._task = asyncio.get_running_loop().create_task(work)
        self._task.add_done_callback(lambda _: self._on_changed())

    async def _fetch(self, plan: RolloutPlan) -> None:
        """Fetch the file if needed and check it as a reload does, without touching the running configuration."""
        if plan.digest not in self._files:
            text = await self._download(plan)
            if _digest(text) != plan.digest:
                await asyncio.sleep(FETCH_RETRY_INTERVAL_S)  # `step` retries until the stage is over
                return
            self._files = {plan.digest: text}
        self._refusal = await asyncio.get_running_loop().run_in_executor(
            None, self._check, self._files[plan.digest]
        )
        self._has_file = not self._refusal

    async def _download(self, plan: RolloutPlan) -> bytes:
        text = b""
        try:
            async for message in self._request_instance(plan.origin, QueryRequest(f"plan/{plan.digest}")):
                if not isinstance(message, QueryResponse) or not message.body:
                    break
                text += message.body
                if len(text) > MAX_FILE_BYTES:
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
            return b""
        return text

    def _check(self, text: bytes) -> str:
        """Return why this instance can't run the file, or "" if it can; called in another thread."""
        try:
            self._checked_path.write_bytes(merge_configuration(text, self._path.read_bytes()))
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
        new = merge_configuration(text, self._path.read_bytes())
        self._previous_path.write_bytes(self._path.read_bytes())
        if not await self._reload(new):
            self._refusal = "the reload was refused; the log of the instance says why"
            self._path.write_bytes(self._previous_path.read_bytes())
            self._previous_path.unlink()

    async def _roll_back(self) -> None:
        if await self._reload(self._previous_path.read_bytes()):
            self._previous_path.unlink()

    async def _reload(self, text: bytes) -> bool:
        """Replace the configuration file and reload; return whether the reload succeeded."""
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
    """Return the answer to `fleet rollout status`.

    Args:
        plan: The latest rollout; None without one.
        metadata: The metadata of all instances, by name.
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
