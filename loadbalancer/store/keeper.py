"""Runs the store in a thread beside an event loop; all waiting jobs share one fsync (group commit).

A job is a function of a `StoreView`: it reads, decides and writes in the writer thread, and sees the writes of the jobs
before it. Its result, or an error, is delivered on the loop once its writes are on disk. Between batches the thread
runs compaction, one step at a time.
"""

from __future__ import annotations

import asyncio
import threading
from collections import deque
from typing import Any, Callable, NamedTuple, Sequence, TypeVar

from loadbalancer.store.engine import Delete, Engine, Put, Write
from loadbalancer.store.errors import FullError, StoreError

T = TypeVar("T")
MAX_BATCH_JOBS = 512
BATCHES_PER_COMPACTION_STEP = 8
"""Batches after which a step of compaction runs even while jobs are waiting."""
MAX_QUEUED_JOBS = 20_000
"""Limit of the job queue; further jobs are rejected, since the disk does not keep up."""
IDLE_INTERVAL_S = 1.0
"""Seconds after which an idle thread checks whether compaction is needed."""


class StoreView:
    """The view of the store that a job gets: the stored values, overlaid with the writes of the current batch."""

    def __init__(self, engine: Engine) -> None:
        self.writes: list[Write] = []
        self._engine = engine
        self._written: dict[bytes, bytes | None] = {}  # None for a key that was deleted

    def now(self) -> float:
        """Return Unix seconds that never go back."""
        return self._engine.now()

    def get(self, key: bytes) -> bytes | None:
        """Return the value of a key; None where it has none.

        Raises:
            StoreError: The value cannot be read.
        """
        if key in self._written:
            return self._written[key]
        return self._engine.get(key)

    def keys(self, prefix: bytes) -> list[bytes]:
        """Return the keys with a prefix, sorted."""
        stored = {key for key in self._engine.keys(prefix) if self._written.get(key, b"") is not None}
        added = {key for key, value in self._written.items() if value is not None and key.startswith(prefix)}
        return sorted(stored | added)

    def put(self, key: bytes, value: bytes, expires: float = 0.0) -> None:
        """Store a value; `expires` in Unix seconds, 0 for never."""
        self._written[key] = value
        self.writes.append(Put(key, value, expires))

    def delete(self, key: bytes) -> None:
        """Remove a key; do nothing where it has no value."""
        if self.get(key) is not None:
            self._written[key] = None
            self.writes.append(Delete(key))


Job = Callable[[StoreView], T]
JobCallback = Callable[[Any, "StoreError | None"], None]
"""Receives a job's result, or None and an error; called on the loop."""


class _QueuedJob(NamedTuple):
    """A job that waits for the writer thread."""

    run: Job[Any]
    done: JobCallback


class _JobResult(NamedTuple):
    """The result or error of a job, with its callback."""

    done: JobCallback
    result: Any
    error: StoreError | None


class Store:
    """Owns an engine and its writer thread until `close`, which first writes the queued jobs."""

    def __init__(self, engine: Engine, log_event: Callable[[str, object], None]) -> None:
        """Start the writer thread; must be called on the loop.

        Args:
            engine: An open engine.
            log_event: Logs an event and its text; called on the loop.
        """
        self.engine = engine
        self.read_only = engine.read_only  # as of the last batch delivered on the loop
        self._log_event = log_event
        self._loop = asyncio.get_running_loop()
        self._ready = threading.Condition()
        self._queue: deque[_QueuedJob] = deque()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    @property
    def closed(self) -> bool:
        """Whether `close` has been called."""
        return self._closing

    def submit(self, job: Job[T], done: JobCallback) -> None:
        """Queue a job; `done` is always called on the loop after this returns, even if the job is rejected."""
        with self._ready:
            if not self._closing and len(self._queue) < MAX_QUEUED_JOBS:
                self._queue.append(_QueuedJob(job, done))
                self._ready.notify()
                return
        reason = "it is closing" if self._closing else f"{MAX_QUEUED_JOBS} jobs wait for the disk"
        self._loop.call_soon(done, None, FullError(f"the store takes nothing: {reason}"))

    async def call(self, job: Job[T]) -> T:
        """Run a job and wait for its result.

        Raises:
            StoreError: The job or its writes failed; none of them is stored.
        """
        future: asyncio.Future[T] = self._loop.create_future()

        def done(result: T, error: StoreError | None) -> None:
            if future.done():
                return
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(result)

        self.submit(job, done)
        return await future

    def close(self) -> None:
        """Write the queued jobs, end the thread and close the engine."""
        with self._ready:
            self._closing = True
            self._ready.notify()
        self._thread.join()
        self.engine.close()

    # In the writer thread.

    def _run(self) -> None:
        batches = 0
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            if batch:
                self._commit(batch)
                batches += 1
            if not batch or batches % BATCHES_PER_COMPACTION_STEP == 0:
                self._compact()

    def _next_batch(self) -> list[_QueuedJob] | None:
        """Wait for jobs and return the next batch.

        The batch is empty where compaction is due or the thread has been idle; None once the store is closing and no
        job is left.
        """
        with self._ready:
            while not self._queue and not self._closing:
                if self.engine.wants_compaction() or not self._ready.wait(IDLE_INTERVAL_S):
                    break
            if self._closing and not self._queue:
                return None
            return [self._queue.popleft() for _ in range(min(MAX_BATCH_JOBS, len(self._queue)))]

    def _compact(self) -> None:
        try:
            self.engine.compact()
        except (StoreError, OSError) as problem:
            self._log_on_loop("the store could not be compacted", problem)

    def _commit(self, batch: Sequence[_QueuedJob]) -> None:
        outcome = self._execute(batch)
        if isinstance(outcome, FullError) and len(batch) > 1:
            # A job that exceeds a limit must not fail the others, which may even free room.
            results = [self._execute_alone(job) for job in batch]
        elif isinstance(outcome, StoreError):
            results = [_JobResult(job.done, None, outcome) for job in batch]
        else:
            results = [_JobResult(job.done, result, None) for job, result in zip(batch, outcome, strict=True)]
        self._loop.call_soon_threadsafe(self._deliver, results, self.engine.read_only)

    def _execute_alone(self, job: _QueuedJob) -> _JobResult:
        outcome = self._execute([job])
        if isinstance(outcome, StoreError):
            return _JobResult(job.done, None, outcome)
        return _JobResult(job.done, outcome[0], None)

    def _execute(self, batch: Sequence[_QueuedJob]) -> list[Any] | StoreError:
        """Run the jobs and commit their writes; return their results, or the error that all of them get."""
        view = StoreView(self.engine)
        try:
            results = [job.run(view) for job in batch]
            if view.writes:
                self.engine.commit(view.writes)
        except StoreError as problem:
            return problem
        except Exception as problem:  # a bug in a job must not end the thread
            self._log_on_loop("defect in the store", repr(problem))
            return StoreError(f"a defect: {problem!r}")
        return results

    def _log_on_loop(self, event: str, problem: object) -> None:
        self._loop.call_soon_threadsafe(self._log_event, event, problem)

    # On the loop.

    def _deliver(self, results: Sequence[_JobResult], read_only: str) -> None:
        if read_only and not self.read_only:
            self._log_event("the store takes nothing any more", read_only)
        self.read_only = read_only
        for result in results:
            result.done(result.result, result.error)
