"""Endpoints listed in the configuration, or in a file of their own that is followed when it changes."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Callable, NamedTuple, Sequence

from loadbalancer.config.reader import ConfigError, read_members_file
from loadbalancer.config.types import MemberTable
from loadbalancer.discovery.endpoint_source import EndpointListener
from loadbalancer.discovery.entry_conversion import EntryConverter, session_names
from loadbalancer.resource_limits import RateLimitedLogger

LOOK_S = 0.5
"""Seconds between two looks at a file. A change counts once two looks have seen the same file."""

Sessions = Callable[[dict[str, str]], None]
"""Is notified of the endpoint ids by the names that sticky sessions have for them."""


class FileStamp(NamedTuple):
    """Tells one state of a file from another."""

    modified_ns: int
    """When it was written, in Unix nanoseconds."""
    size: int
    """Bytes."""
    inode: int
    """Which file it is."""


class StaticEndpoints:
    """Endpoints as the configuration has them; a reload hands over the next list."""

    def __init__(self, taker: EndpointListener, sessions: Sessions, convert: EntryConverter) -> None:
        self._listener = taker
        self._sessions = sessions
        self._converter = convert

    def take(self, members: Sequence[MemberTable]) -> None:
        """Notify of this list."""
        self._sessions(session_names(members))
        self._listener.take_list(self._converter.entries(members), whole=True)

    def watch(self, on: bool) -> None:
        """Do nothing: the list changes at a reload alone."""

    def close(self) -> None:
        """Do nothing: nothing is open."""


def stamp(path: Path) -> FileStamp | None:
    """The state of a file; None where there is no such file."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)


class MembersFile(StaticEndpoints):
    """Endpoints in a file, read anew, off the loop, when it has changed and is still.

    A file that is written in place may be seen half written: it is read once two looks have found it the same, as a
    whole or not at all, and what cannot be read leaves the list before in force. It can also state how many endpoints
    follow (`members = 12`). A file that is replaced by renaming is never half written.
    """

    def __init__(
        self,
        taker: EndpointListener,
        sessions: Sessions,
        convert: EntryConverter,
        path: Path,
        logger: RateLimitedLogger,
    ) -> None:
        super().__init__(taker, sessions, convert)
        self._path = path
        self._logger = logger
        self._loop = asyncio.get_running_loop()
        self._taken: FileStamp | None = None  # of what was read last
        self._seen: FileStamp | None = None  # at the last look
        self._reading: asyncio.Task[None] | None = None
        self._closed = False
        self._timer = self._loop.call_later(LOOK_S, self._tick)

    def begin(self) -> None:
        """Take the file as it stands.

        Raises:
            ConfigError: It is no list.
        """
        self._taken = self._seen = stamp(self._path)
        self.take(read_members_file(self._path))

    def _tick(self) -> None:
        self.look()
        self._timer = self._loop.call_later(LOOK_S, self._tick)

    def look(self) -> None:
        """Read the file if it has changed, and has not changed since the last look."""
        now = stamp(self._path)
        is_still = now == self._seen
        self._seen = now
        if now is None:
            self._on_missing()
        elif is_still and now != self._taken and self._reading is None:
            self._taken = now
            self._reading = self._loop.create_task(self._read(now))

    def _on_missing(self) -> None:
        if self._taken is not None:
            self._logger("members file is gone", f"{self._path}; its members stay as they were")
            self._taken = None

    async def _read(self, wanted: FileStamp) -> None:
        try:
            members = await self._loop.run_in_executor(None, read_members_file, self._path)
        except ConfigError as error:
            self._logger("members file not taken", f"{error.problems[0]}; its members stay as they were")
        else:
            self._take_read(wanted, members)
        finally:
            self._reading = None

    def _take_read(self, wanted: FileStamp, members: Sequence[MemberTable]) -> None:
        if stamp(self._path) != wanted:  # it changed while it was read; the next look sees that
            self._taken = None
        elif not self._closed:
            self._logger("members file taken", f"{self._path}: {len(members)} members")
            self.take(members)

    def close(self) -> None:
        """End following the file."""
        self._closed = True
        self._timer.cancel()
