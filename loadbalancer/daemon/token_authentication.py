"""Authentication of administrative calls by TCP: a file of tokens that may change while the daemon runs."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Callable, NamedTuple

from loadbalancer.admin.calls import AdminSession, ManagedDaemon
from loadbalancer.admin.tokens import GuessLimiter, TokenError, TokenHolder, Tokens
from loadbalancer.management.calls import Response
from loadbalancer.resource_limits import RateLimitedLogger

MAX_TOKEN_FILE_BYTES = 256 << 10
#: Permissions that the file may not have: for others all, for the group writing.
FORBIDDEN_MODE = 0o027


class FileStamp(NamedTuple):
    """By which a change of a file shows."""

    modified_ns: int
    size: int
    inode: int

    @classmethod
    def of(cls, status: os.stat_result) -> FileStamp:
        """The stamp of a file."""
        return cls(status.st_mtime_ns, status.st_size, status.st_ino)


def read_tokens(path: Path) -> tuple[Tokens, FileStamp]:
    """Read a file of tokens.

    Raises:
        OSError: It can't be read.
        TokenError: It is no file of tokens, too large, or accessible to others than its owner and readers.
    """
    status = os.stat(path)
    if status.st_mode & FORBIDDEN_MODE:
        raise TokenError(f"{path} is open to others (mode {status.st_mode & 0o777:o}); chmod 600")
    if status.st_size > MAX_TOKEN_FILE_BYTES:
        raise TokenError(f"{path} has {status.st_size} bytes; at most {MAX_TOKEN_FILE_BYTES}")
    return Tokens.read(path.read_text(encoding="utf-8", errors="replace")), FileStamp.of(status)


class TokenAuthenticator:
    """Says whose session a TCP call gets. It holds nothing open: the file is looked at with each call."""

    def __init__(
        self,
        path: Path,
        managed: ManagedDaemon,
        logger: RateLimitedLogger,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Read the tokens.

        Args:
            path: Of the file of tokens. A bad file later on leaves the tokens as they were.
            managed: What the sessions administer.
            logger: Gets wrong tokens and bad files.
            clock: Seconds, for the limit on wrong tokens.

        Raises:
            OSError, TokenError: The file can't be used.
        """
        self._path = path
        self._managed = managed
        self._logger = logger
        self._clock = clock
        self._tokens, self._stamp = read_tokens(path)
        self._guesses = GuessLimiter()

    def session(self, authorization: str | None) -> AdminSession | Response:
        """The session for a call with this Authorization header, or the answer that rejects it."""
        if not self._guesses.allows_attempt(self._clock()):
            return Response(429, b"too many wrong tokens; wait ten seconds\n")
        self._refresh()
        holder = self._tokens.holder(authorization)
        if holder is None:
            self._guesses.record_wrong_token()
            self._logger("operator: wrong token", "by TCP")
            return Response(401, b"Authorization: Bearer TOKEN is wanted\n")
        return self._session_of(holder)

    def _session_of(self, holder: TokenHolder) -> AdminSession:
        return AdminSession(self._managed, holder.role == "reads", holder.name)

    def _refresh(self) -> None:
        """Read the file if it has changed. One that is half written, or gone, leaves the tokens as they were."""
        try:
            if FileStamp.of(os.stat(self._path)) != self._stamp:
                self._tokens, self._stamp = read_tokens(self._path)
        except (OSError, TokenError) as problem:
            self._logger("operator: tokens not taken", problem)
