"""Reloads a daemon's configuration: prepares it off the event loop, and applies it completely or not at all."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Callable

from loadbalancer.config.reader import ConfigError
from loadbalancer.daemon.preparation import Preparation, prepare
from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
from loadbalancer.resource_limits import RateLimitedLogger

#: Reserve descriptors that a reload may use: one for the file, one for the files of endpoints, read one by one.
RELOAD_SPARES = 2


class Reloader:
    """Runs one reload at a time. It owns the reload's task; `close` cancels it.

    Attributes:
        completed: Reloads whose configuration was applied.
    """

    def __init__(
        self,
        apply: Callable[[Preparation], None],
        spares: ReserveDescriptors,
        logger: RateLimitedLogger,
    ) -> None:
        """Create a reloader.

        Args:
            apply: Puts a configuration in force; raises ConfigError or OSError, without a change, if that fails.
            spares: Descriptors held in reserve for when the system has no others left.
            logger: Receives the outcome.
        """
        self.completed = 0
        self._apply = apply
        self._spares = spares
        self._logger = logger
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._queued: Path | None = None
        self._is_closed = False

    @property
    def is_running(self) -> bool:
        """Return whether a reload is in progress."""
        return self._task is not None

    def reload(self, path: Path) -> None:
        """Reload from a file; during a reload, queue one more after it. Does nothing after `close`."""
        if self._is_closed:
            return
        if self._task is not None:
            self._queued = path
        else:
            self._task = self._loop.create_task(self._run(path))

    async def _run(self, path: Path) -> None:
        for _ in range(RELOAD_SPARES):  # reading must not fail because clients use all other descriptors
            self._spares.take()
        try:
            self._apply(await self._loop.run_in_executor(None, prepare, path, self._logger))
        except ConfigError as error:
            for problem in error.problems:
                self._logger(f"new configuration not taken: {problem.key or problem.file}", problem)
        except OSError as problem:
            self._logger("new configuration not taken", f"can't listen: {problem}")
        else:
            self.completed += 1
            self._logger("new configuration taken", path)
        finally:
            self._task = None
            self._spares.refill()
        queued, self._queued = self._queued, None
        if queued is not None:
            self.reload(queued)

    def close(self) -> None:
        """Cancel a reload in progress and start no others: the daemon is shutting down."""
        self._is_closed = True
        if self._task is not None:
            self._task.cancel()
