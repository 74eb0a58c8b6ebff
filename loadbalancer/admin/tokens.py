"""Who may call by TCP: tokens by their digests, with a role each. Pure: the file's text comes in.

A line of the file: `ROLE DIGEST NAME`, such as `changes sha256:9f86... rita`. The file holds no token that could be
used by who reads it. Any number of lines are valid at once, so a token changes by adding the new one first.
`micastand token` makes a token and its line."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import Literal

Role = Literal["reads", "changes"]
#: Characters of a token that is looked at.
TOKEN_MOST = 256
#: Lines of a file.
LINES_MOST = 1000
#: Wrong tokens in WINDOW_S after which no call by TCP is heard until the window ends.
WRONG_MOST = 20
WINDOW_S = 10.0
PREFIX = "sha256:"


class TokenError(ValueError):
    """The file of tokens can't be read; says which line, and what would be right."""


@dataclass(frozen=True, slots=True)
class TokenHolder:
    """Whose a token is, and what it is for."""

    name: str
    role: Role


def digest(token: str) -> str:
    """A token is long and random, so a plain digest can't be guessed back."""
    return hashlib.sha256(token.encode()).hexdigest()


def line_of(token: str, role: Role, name: str) -> str:
    return f"{role} {PREFIX}{digest(token)} {name}\n"


class Tokens:
    """The holders of one file."""

    def __init__(self, holders: list[tuple[str, TokenHolder]]) -> None:
        self._holders = holders

    @classmethod
    def read(cls, text: str) -> Tokens:
        """TokenError with the first line that is wrong."""
        holders: list[tuple[str, TokenHolder]] = []
        lines = text.splitlines()
        if len(lines) > LINES_MOST:
            raise TokenError(f"{len(lines)} lines; at most {LINES_MOST}")
        for number, line in enumerate(lines, 1):
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            words = line.split()
            if len(words) != 3 or words[0] not in ("reads", "changes") or not _is_digest(words[1]):
                raise TokenError(
                    f"line {number}: not `reads|changes sha256:HEX NAME`; `micastand token` makes one"
                )
            holders.append((words[1].removeprefix(PREFIX).lower(), TokenHolder(words[2], words[0])))  # type: ignore[arg-type]
        if not holders:
            raise TokenError("holds no token; `micastand token` makes a line")
        return cls(holders)

    def holder(self, header: str | None) -> TokenHolder | None:
        """Whose token an Authorization header bears (RFC 6750, 2.1); None for nobody's. Takes as long for each."""
        kind, _, token = (header or "").strip().partition(" ")
        token = token.strip()
        if kind.lower() != "bearer" or not token or len(token) > TOKEN_MOST:
            return None
        mine, found = digest(token), None
        for known, holder in self._holders:
            if hmac.compare_digest(known, mine) and found is None:
                found = holder
        return found


def _is_digest(word: str) -> bool:
    rest = word.removeprefix(PREFIX)
    return word.startswith(PREFIX) and len(rest) == 64 and all(c in "0123456789abcdefABCDEF" for c in rest)


class GuessLimiter:
    """Guards against guessing: past WRONG_MOST wrong tokens in a window no call by TCP is heard until it ends. Harm:
    who can reach the address can keep operators off it; the Unix socket stays."""

    def __init__(self) -> None:
        self._count, self._began = 0, 0.0

    def may_try(self, now: float) -> bool:
        """`now`: seconds on any clock that only advances."""
        if now - self._began >= WINDOW_S:
            self._count, self._began = 0, now
        return self._count < WRONG_MOST

    def wrong(self) -> None:
        self._count += 1
