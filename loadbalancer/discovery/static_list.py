"""Endpoints listed in the configuration, or in a file of their own that is read again when it changes."""

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

POLL_INTERVAL_S = 0.5
"""Interval at which a file is polled. A change is applied once two polls in a row have found the same state."""

SessionNamesListener = Callable[[dict[str, str]], None]
"""Called with the endpoint ids by the names that sticky sessions use for them."""


class FileStamp(NamedTuple):
    """Identifies one state of a file, to detect changes."""

    modified_ns: int
    """Time of its last modification, in Unix nanoseconds."""
    size: int
    """Its size in bytes."""
    inode: int
    """Its inode number, which differs once the file is replaced by another."""


class StaticEndpoints:
    """Provides the endpoints of the configuration; a reload passes the new list to `set_members`."""

    def __init__(
        self, listener: EndpointListener, sessions: SessionNamesListener, convert: EntryConverter
    ) -> None:
        self._listener = listener
        self._sessions = sessions
        self._converter = convert

    def set_members(self, members: Sequence[MemberTable]) -> None:
        """Notify the listener of this list."""
        self._sessions(session_names(members))
        self._listener.take_list(self._converter.entries(members), whole=True)

    def watch(self, on: bool) -> None:
        """Do nothing: the list changes only at a reload."""

    def close(self) -> None:
        """Do nothing: there is nothing to release."""


def stamp(path: Path) -> FileStamp | None:
    """Return the state of a file; None if it can't be read."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)


class MembersFile(StaticEndpoints):
    """Provides the endpoints of a file, which is read again, in a thread, once a change to it has settled.

    A file that is written in place may be found half written. So it is read once two polls have found it unchanged, and
    is applied as a whole or not at all: if it can't be read, the previous list stays in use. The file can also state
    how many endpoints follow (`members = 12`). A file that is replaced by renaming is never half written.
    """

    def __init__(
        self,
        listener: EndpointListener,
        sessions: SessionNamesListener,
        convert: EntryConverter,
        path: Path,
        logger: RateLimitedLogger,
    ) -> None:
        super().__init__(listener, sessions, convert)
        self._path = path
        self._logger = logger
        self._loop = asyncio.get_running_loop()
        self._read_stamp: FileStamp | None = None  # state of the file when it was last read
        self._polled_stamp: FileStamp | None = None  # state of the file at the last poll
        self._reading: asyncio.Task[None] | None = None
        self._closed = False
        self._timer = self._loop.call_later(POLL_INTERVAL_S, self._tick)

    def begin(self) -> None:
        """Read the file and notify the listener.

        Raises:
            ConfigError: The file is not a list of endpoints.
        """
        self._read_stamp = self._polled_stamp = stamp(self._path)
        self.set_members(read_members_file(self._path))

    def _tick(self) -> None:
        self.poll()
        self._timer = self._loop.call_later(POLL_INTERVAL_S, self._tick)

    def poll(self) -> None:
        """Start reading the file if it differs from the one last read and is unchanged since the last poll."""
        current = stamp(self._path)
        is_settled = current == self._polled_stamp
        self._polled_stamp = current
        if current is None:
            self._on_missing()
        elif is_settled and current != self._read_stamp and self._reading is None:
            self._read_stamp = current
            self._reading = self._loop.create_task(self._read(current))

    def _on_missing(self) -> None:
        if self._read_stamp is not None:
            self._logger("members file is gone", f"{self._path}; its members stay as they were")
            self._read_stamp = None

    async def _read(self, expected: FileStamp) -> None:
        try:
            members = await self._loop.run_in_executor(None, read_members_file, self._path)
        except ConfigError as error:
            self._logger("members file not taken", f"{error.problems[0]}; its members stay as they were")
        else:
            self._apply(expected, members)
        finally:
            self._reading = None

    def _apply(self, expected: FileStamp, members: Sequence[MemberTable]) -> None:
        if stamp(self._path) != expected:  # it changed while it was read; the next polls read it again
            self._read_stamp = None
        elif not self._closed:
            self._logger("members file taken", f"{self._path}: {len(members)} members")
            self.set_members(members)

    def close(self) -> None:
        """Stop polling the file."""
        self._closed = True
        self._timer.cancel()
