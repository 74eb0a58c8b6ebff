"""Authenticates administrative calls over TCP by a file of tokens, which may change while the daemon runs."""

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
#: Mode bits that the file must not have: all permissions of others, and write permission of the group.
FORBIDDEN_MODE = 0o027


class FileStamp(NamedTuple):
    """Identifies a version of a file; a different stamp means that the file has changed."""

    modified_ns: int
    size: int
    inode: int

    @classmethod
    def from_status(cls, status: os.stat_result) -> FileStamp:
        """Return the stamp of a file with this status."""
        return cls(status.st_mtime_ns, status.st_size, status.st_ino)


def read_tokens(path: Path) -> tuple[Tokens, FileStamp]:
    """Read a file of tokens.

    Raises:
        OSError: The file can't be read.
        TokenError: The file has another format, is too large, or is accessible to others than its owner and readers.
    """
    status = os.stat(path)
    if status.st_mode & FORBIDDEN_MODE:
        raise TokenError(f"{path} is accessible to others (mode {status.st_mode & 0o777:o}); chmod 600")
    if status.st_size > MAX_TOKEN_FILE_BYTES:
        raise TokenError(f"{path} has {status.st_size} bytes; at most {MAX_TOKEN_FILE_BYTES} are allowed")
    return Tokens.read(path.read_text(encoding="utf-8", errors="replace")), FileStamp.from_status(status)


class TokenAuthenticator:
    """Assigns sessions to calls over TCP by their tokens. It keeps no file open: each call checks the file's stamp."""

    def __init__(
        self,
        path: Path,
        managed: ManagedDaemon,
        logger: RateLimitedLogger,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Read the tokens.

        Args:
            path: Path of the token file. If the file becomes unusable later, the previous tokens stay valid.
            managed: The daemon that the sessions administer.
            logger: Receives wrong tokens and unusable files.
            clock: Returns the time in seconds, for the limit on wrong tokens.

        Raises:
            OSError, TokenError: The token file can't be used.
        """
        self._path = path
        self._managed = managed
        self._logger = logger
        self._clock = clock
        self._tokens, self._stamp = read_tokens(path)
        self._guesses = GuessLimiter()

    def session(self, authorization: str | None) -> AdminSession | Response:
        """Return the session for a call with this Authorization header, or the response that rejects it."""
        if not self._guesses.allows_attempt(self._clock()):
            return Response(429, b"too many wrong tokens; wait ten seconds\n")
        self._refresh()
        holder = self._tokens.holder(authorization)
        if holder is None:
            self._guesses.record_wrong_token()
            self._logger("operator: wrong token", "by TCP")
            return Response(401, b"Authorization: Bearer TOKEN is wanted\n")
        return self._make_session(holder)

    def _make_session(self, holder: TokenHolder) -> AdminSession:
        return AdminSession(self._managed, holder.role == "reads", holder.name)

    def _refresh(self) -> None:
        """Reread the file if it has changed. If it is incomplete or missing, the previous tokens stay valid."""
        try:
            if FileStamp.from_status(os.stat(self._path)) != self._stamp:
                self._tokens, self._stamp = read_tokens(self._path)
        except (OSError, TokenError) as problem:
            self._logger("operator: tokens not taken", problem)
