"""Members listed in the configuration, or in a file of their own that is followed when it changes."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Callable, Sequence

from loadbalancer.config.reader import ConfigError, read_members_file
from loadbalancer.config.types import MemberTable
from loadbalancer.discovery.endpoint_source import EndpointListener
from loadbalancer.discovery.entry_conversion import EntryConverter, session_names
from loadbalancer.resource_limits import RateLimitedLogger

#: How often a members file is looked at. A change counts once two looks have seen the same file.
LOOK_S = 0.5

#: What is told of the names in sticky sessions, by id of member.
Sessions = Callable[[dict[str, str]], None]
#: What tells one state of a file from another: when it was written, its size, and which file it is.
Stamp = tuple[int, int, int]


class StaticEndpoints:
    """Members as the configuration has them; a reload hands over the next list."""

    def __init__(self, taker: EndpointListener, sessions: Sessions, convert: EntryConverter) -> None:
        self.taker, self.sessions, self.convert = taker, sessions, convert

    def take(self, members: Sequence[MemberTable]) -> None:
        self.sessions(session_names(members))
        self.taker.take_list(self.convert.entries(members), whole=True)

    def watch(self, on: bool) -> None:
        """What is listed changes at a reload alone."""

    def close(self) -> None:
        """Nothing is open."""


def stamp(path: Path) -> Stamp | None:
    """None where there is no such file."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


class MembersFile(StaticEndpoints):
    """Members in a file, read anew when it has changed and is still.

    Guards against a file that is caught half written: it is read once two looks have found it the same, whole or
    not at all, off the loop, and what can't be read leaves the list before it in force. A file that is replaced by
    renaming is never half written; one written in place can state how many members follow (`members = 12`)."""

    def __init__(
        self,
        taker: EndpointListener,
        sessions: Sessions,
        convert: EntryConverter,
        path: Path,
        logger: RateLimitedLogger,
    ) -> None:
        super().__init__(taker, sessions, convert)
        self.path, self.logger = path, logger
        self._loop = asyncio.get_running_loop()
        self._taken: Stamp | None = None  # of what was read last
        self._seen: Stamp | None = None  # at the last look
        self._reading: asyncio.Task[None] | None = None
        self._closed = False
        self._timer = self._loop.call_later(LOOK_S, self._tick)

    def begin(self) -> None:
        """Take the file as it stands; ConfigError if it is no list."""
        self._taken = self._seen = stamp(self.path)
        self.take(read_members_file(self.path))

    def _tick(self) -> None:
        self.look()
        self._timer = self._loop.call_later(LOOK_S, self._tick)

    def look(self) -> None:
        """Read the file if it has changed, and has not changed since the last look."""
        now = stamp(self.path)
        still, self._seen = now == self._seen, now
        if now is None:
            if self._taken is not None:
                self.logger("members file is gone", f"{self.path}; its members stay as they were")
                self._taken = None
        elif still and now != self._taken and self._reading is None:
            self._taken = now
            self._reading = self._loop.create_task(self._read(now))

    async def _read(self, wanted: Stamp) -> None:
        try:
            members = await self._loop.run_in_executor(None, read_members_file, self.path)
        except ConfigError as error:
            self.logger("members file not taken", f"{error.problems[0]}; its members stay as they were")
        else:
            if stamp(self.path) != wanted:  # it changed while it was read; the next look sees that
                self._taken = None
            elif not self._closed:
                self.logger("members file taken", f"{self.path}: {len(members)} members")
                self.take(members)
        finally:
            self._reading = None

    def close(self) -> None:
        self._closed = True
        self._timer.cancel()
