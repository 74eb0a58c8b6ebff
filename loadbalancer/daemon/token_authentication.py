"""Operators by TCP: a file of tokens that may change while the daemon runs, and a desk for each holder."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Callable

from loadbalancer.admin.calls import AdminSession, ManagedDaemon
from loadbalancer.admin.tokens import GuessLimiter, TokenError, TokenHolder, Tokens
from loadbalancer.management.calls import Response
from loadbalancer.resource_limits import RateLimitedLogger

#: Bytes of a file of tokens.
MAX_TOKEN_FILE_BYTES = 256 << 10

Stamp = tuple[int, int, int]


def read_tokens(path: Path) -> tuple[Tokens, Stamp]:
    """OSError or TokenError where it can't be used; also where others than its owner may write it, or anybody may
    read."""
    status = os.stat(path)
    if status.st_mode & 0o027:
        raise TokenError(f"{path} is open to others (mode {status.st_mode & 0o777:o}); chmod 600")
    if status.st_size > MAX_TOKEN_FILE_BYTES:
        raise TokenError(f"{path} has {status.st_size} bytes; at most {MAX_TOKEN_FILE_BYTES}")
    stamp = (status.st_mtime_ns, status.st_size, status.st_ino)
    return Tokens.read(path.read_text(encoding="utf-8", errors="replace")), stamp


class TokenAuthenticator:
    """Whose desk a call by TCP comes to. Nothing is open here: the file is looked at with each call."""

    def __init__(
        self,
        path: Path,
        operated: ManagedDaemon,
        logger: RateLimitedLogger,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """OSError or TokenError where the file can't be used at the start; later a bad one leaves the tokens as they
        were."""
        self.path, self._operated, self.logger, self._clock = path, operated, logger, clock
        self._tokens, self._stamp = read_tokens(path)
        self._guesses = GuessLimiter()

    def desk(self, authorization: str | None) -> AdminSession | Response:
        """A desk for the holder, or what the caller hears in its place."""
        now = self._clock()
        if not self._guesses.may_try(now):
            return Response(429, b"too many wrong tokens; wait ten seconds\n")
        self._refresh()
        holder = self._tokens.holder(authorization)
        if holder is None:
            self._guesses.wrong()
            self.logger("operator: wrong token", "by TCP")
            return Response(401, b"Authorization: Bearer TOKEN is wanted\n")
        return self._desk_of(holder)

    def _desk_of(self, holder: TokenHolder) -> AdminSession:
        return AdminSession(self._operated, holder.role == "reads", holder.name)

    def _refresh(self) -> None:
        """Guards against a file that is half written, or gone: the tokens before go on."""
        try:
            status = os.stat(self.path)
            if (status.st_mtime_ns, status.st_size, status.st_ino) != self._stamp:
                self._tokens, self._stamp = read_tokens(self.path)
        except (OSError, TokenError) as problem:
            self.logger("operator: tokens not taken", problem)
