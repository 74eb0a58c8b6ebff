"""Operators by TCP: a file of tokens that may change while the daemon runs, and a desk for each holder."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Callable

from loadbalancer.admin.calls import Desk, Operated
from loadbalancer.admin.tokens import Guesses, Holder, TokenError, Tokens
from loadbalancer.management.calls import Said
from loadbalancer.resource_limits import Complaints

#: Bytes of a file of tokens.
FILE_MOST = 256 << 10

Stamp = tuple[int, int, int]


def read_tokens(path: Path) -> tuple[Tokens, Stamp]:
    """OSError or TokenError where it can't be used; also where others than its owner may write it, or anybody may
    read."""
    status = os.stat(path)
    if status.st_mode & 0o027:
        raise TokenError(f"{path} is open to others (mode {status.st_mode & 0o777:o}); chmod 600")
    if status.st_size > FILE_MOST:
        raise TokenError(f"{path} has {status.st_size} bytes; at most {FILE_MOST}")
    stamp = (status.st_mtime_ns, status.st_size, status.st_ino)
    return Tokens.read(path.read_text(encoding="utf-8", errors="replace")), stamp


class TokenDoor:
    """Whose desk a call by TCP comes to. Nothing is open here: the file is looked at with each call."""

    def __init__(
        self,
        path: Path,
        operated: Operated,
        complain: Complaints,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """OSError or TokenError where the file can't be used at the start; later a bad one leaves the tokens as they
        were."""
        self.path, self._operated, self.complain, self._clock = path, operated, complain, clock
        self._tokens, self._stamp = read_tokens(path)
        self._guesses = Guesses()

    def desk(self, authorization: str | None) -> Desk | Said:
        """A desk for the holder, or what the caller hears in its place."""
        now = self._clock()
        if not self._guesses.may_try(now):
            return Said(429, b"too many wrong tokens; wait ten seconds\n")
        self._refresh()
        holder = self._tokens.holder(authorization)
        if holder is None:
            self._guesses.wrong()
            self.complain("operator: wrong token", "by TCP")
            return Said(401, b"Authorization: Bearer TOKEN is wanted\n")
        return self._desk_of(holder)

    def _desk_of(self, holder: Holder) -> Desk:
        return Desk(self._operated, holder.role == "reads", holder.name)

    def _refresh(self) -> None:
        """Guards against a file that is half written, or gone: the tokens before go on."""
        try:
            status = os.stat(self.path)
            if (status.st_mtime_ns, status.st_size, status.st_ino) != self._stamp:
                self._tokens, self._stamp = read_tokens(self.path)
        except (OSError, TokenError) as problem:
            self.complain("operator: tokens not taken", problem)
