"""The store beside an event loop: one thread that writes, and all that wait for one fsync together.

A job is a function of a `StoreView`: it reads, decides and changes, in the writer's thread, and sees what the jobs
before it have done. Its result is told on the loop once its changes are on disk, or the error in its place. Between
batches the thread compacts, a step at a time.
"""

from __future__ import annotations

import asyncio
import threading
from collections import deque
from typing import Any, Callable, Sequence, TypeVar

from loadbalancer.store.engine import Change, Delete, Engine, Put
from loadbalancer.store.errors import FullError, StoreError

T = TypeVar("T")
#: Jobs of one batch, and bytes after which the next one waits.
JOBS_MOST = 512
#: Batches after which a step of compaction comes in between, however many wait.
STEP_EACH = 8
#: Jobs that may wait; past that new ones are refused, since the disk does not follow.
WAITING_MOST = 20_000


class StoreView:
    """The store as one job sees it: on disk, under what its batch changes."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._over: dict[bytes, bytes | None] = {}
        self.changes: list[Change] = []

    def now(self) -> float:
        return self._engine.now()

    def get(self, key: bytes) -> bytes | None:
        if key in self._over:
            return self._over[key]
        return self._engine.get(key)

    def keys(self, prefix: bytes) -> list[bytes]:
        found = {key for key in self._engine.keys(prefix) if self._over.get(key, b"") is not None}
        return sorted(found | {k for k, v in self._over.items() if v is not None and k.startswith(prefix)})

    def put(self, key: bytes, value: bytes, expires: float = 0.0) -> None:
        """`expires`: Unix seconds, 0 for never."""
        self._over[key] = value
        self.changes.append(Put(key, value, expires))

    def delete(self, key: bytes) -> None:
        if self.get(key) is not None:
            self._over[key] = None
            self.changes.append(Delete(key))


Job = Callable[[StoreView], T]
Done = Callable[[Any, "StoreError | None"], None]


class Store:
    """An engine and its thread. `close` waits for what was begun, and releases both."""

    def __init__(self, engine: Engine, logger: Callable[[str, object], None]) -> None:
        """`engine` is open. Complaints come on the loop."""
        self.engine, self._logger = engine, logger
        self._loop = asyncio.get_running_loop()
        self._ready = threading.Condition()
        self._jobs: deque[tuple[Job[Any], Done]] = deque()
        self._closing = False
        self.read_only = engine.read_only  # as the loop knows it
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def do(self, job: Job[T], done: Done) -> None:
        """`done` hears the job's result once it is on disk, or an error, on the loop, later."""
        with self._ready:
            if not self._closing and len(self._jobs) < WAITING_MOST:
                self._jobs.append((job, done))
                self._ready.notify()
                return
        why = "it is closing" if self._closing else f"{WAITING_MOST} jobs wait for the disk"
        self._loop.call_soon(done, None, FullError(f"the store takes nothing: {why}"))

    async def call(self, job: Job[T]) -> T:
        """The same, for who can wait."""
        future: asyncio.Future[T] = self._loop.create_future()

        def done(result: T, problem: StoreError | None) -> None:
            if future.done():
                return
            if problem is not None:
                future.set_exception(problem)
            else:
                future.set_result(result)

        self.do(job, done)
        return await future

    # The writer's thread.

    def _run(self) -> None:
        batches = 0
        while True:
            with self._ready:
                while not self._jobs and not self._closing:
                    if self.engine.wants_compaction() or not self._ready.wait(1.0):
                        break
                if self._closing and not self._jobs:
                    return
                batch = [self._jobs.popleft() for _ in range(min(JOBS_MOST, len(self._jobs)))]
            if batch:
                self._commit(batch)
                batches += 1
            if not batch or batches % STEP_EACH == 0:
                self._compact()

    def _compact(self) -> None:
        try:
            self.engine.compact()
        except (StoreError, OSError) as problem:
            self._tell_later("the store could not be compacted", problem)

    def _commit(self, batch: Sequence[tuple[Job[Any], Done]]) -> None:
        told = self._try(batch)
        if isinstance(told, FullError) and len(batch) > 1:
            # One that asks for too much, or what frees room, is not held back by the others.
            results = [(one[1], *self._alone(one)) for one in batch]
        elif isinstance(told, StoreError):
            results = [(done, None, told) for _, done in batch]
        else:
            results = [(done, result, None) for (_, done), result in zip(batch, told, strict=True)]
        self._loop.call_soon_threadsafe(self._deliver, results, self.engine.read_only)

    def _alone(self, one: tuple[Job[Any], Done]) -> tuple[Any, StoreError | None]:
        told = self._try([one])
        return (None, told) if isinstance(told, StoreError) else (told[0], None)

    def _try(self, batch: Sequence[tuple[Job[Any], Done]]) -> list[Any] | StoreError:
        view = StoreView(self.engine)
        try:
            results = [job(view) for job, _ in batch]
            if view.changes:
                self.engine.commit(view.changes)
        except StoreError as problem:
            return problem
        except Exception as problem:  # whatever a job or the disk does, the thread goes on
            self._tell_later("defect in the store", repr(problem))
            return StoreError(f"a defect: {problem!r}")
        return results

    def _tell_later(self, what: str, problem: object) -> None:
        self._loop.call_soon_threadsafe(self._logger, what, problem)

    # On the loop.

    def _deliver(self, results: Sequence[tuple[Done, Any, StoreError | None]], read_only: str) -> None:
        if read_only and not self.read_only:
            self._logger("the store takes nothing any more", read_only)
        self.read_only = read_only
        for done, result, problem in results:
            done(result, problem)

    @property
    def closed(self) -> bool:
        return self._closing

    def close(self) -> None:
        """What waits is written first."""
        with self._ready:
            self._closing = True
            self._ready.notify()
        self._thread.join()
        self.engine.close()
