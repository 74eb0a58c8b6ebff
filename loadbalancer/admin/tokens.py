"""Tokens of administrative calls by TCP: their digests, whose they are, and what each may do.

A line of the file of tokens is `ROLE DIGEST NAME`, such as `changes sha256:9f86... rita`; lines that begin with `#` are
comments. Nobody can call with what the file holds. Any number of tokens are valid at once, so a token is changed by
adding the new one first. `micastand token` makes a token and its line.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import Literal

Role = Literal["reads", "changes"]
#: Characters of a token; a longer one is nobody's.
MAX_TOKEN_CHARACTERS = 256
#: Lines of a file.
MAX_LINES = 1000
#: Wrong tokens in a window, after which no call by TCP is answered until the window ends.
MAX_WRONG_TOKENS = 20
WRONG_TOKEN_WINDOW_S = 10.0
DIGEST_PREFIX = "sha256:"
DIGEST_CHARACTERS = 64


class TokenError(ValueError):
    """The file of tokens can't be read; says which line, and what would be right."""


@dataclass(frozen=True, slots=True)
class TokenHolder:
    """Whose a token is, and what it is for."""

    name: str
    role: Role


def digest(token: str) -> str:
    """The digest of a token, in hexadecimal. A token is long and random, so a plain digest gives nothing away."""
    return hashlib.sha256(token.encode()).hexdigest()


def line_of(token: str, role: Role, name: str) -> str:
    """The line of a token in the file."""
    return f"{role} {DIGEST_PREFIX}{digest(token)} {name}\n"


class Tokens:
    """The tokens of one file."""

    def __init__(self, holders: list[tuple[str, TokenHolder]]) -> None:
        """Take digests in lower case, with whose they are."""
        self._holders = holders

    @classmethod
    def read(cls, text: str) -> Tokens:
        """Read a file's text; TokenError with the first line that is wrong."""
        lines = text.splitlines()
        if len(lines) > MAX_LINES:
            raise TokenError(f"{len(lines)} lines; at most {MAX_LINES}")
        holders = [
            _read_line(number, line)
            for number, line in enumerate(lines, 1)
            if line.strip() and not line.lstrip().startswith("#")
        ]
        if not holders:
            raise TokenError("holds no token; `micastand token` makes a line")
        return cls(holders)

    def holder(self, header: str | None) -> TokenHolder | None:
        """Whose token an Authorization header has (RFC 6750, 2.1); None for nobody's.

        All digests are compared, each in constant time, so that the time taken says nothing of the token.
        """
        scheme, _, token = (header or "").strip().partition(" ")
        token = token.strip()
        if scheme.lower() != "bearer" or not token or len(token) > MAX_TOKEN_CHARACTERS:
            return None
        presented = digest(token)
        found = None
        for known, holder in self._holders:
            if hmac.compare_digest(known, presented) and found is None:
                found = holder
        return found


def _read_line(number: int, line: str) -> tuple[str, TokenHolder]:
    words = line.split()
    role = _read_role(words[0])
    if len(words) != 3 or role is None or not _is_digest(words[1]):
        raise TokenError(f"line {number}: not `reads|changes sha256:HEX NAME`; `micastand token` makes one")
    return words[1].removeprefix(DIGEST_PREFIX).lower(), TokenHolder(words[2], role)


def _read_role(word: str) -> Role | None:
    if word == "reads":
        return "reads"
    return "changes" if word == "changes" else None


def _is_digest(word: str) -> bool:
    digits = word.removeprefix(DIGEST_PREFIX)
    return (
        word.startswith(DIGEST_PREFIX)
        and len(digits) == DIGEST_CHARACTERS
        and all(digit in "0123456789abcdefABCDEF" for digit in digits)
    )


class GuessLimiter:
    """Limits how many wrong tokens are tried: past MAX_WRONG_TOKENS in a window all calls by TCP are rejected.

    The trade-off: who can reach the address can keep operators off it. The Unix socket stays open to them.
    """

    def __init__(self) -> None:
        self._wrong_tokens = 0
        self._window_began = 0.0

    def may_try(self, now: float) -> bool:
        """Whether a token is looked at now; in seconds on any clock that only advances."""
        if now - self._window_began >= WRONG_TOKEN_WINDOW_S:
            self._wrong_tokens = 0
            self._window_began = now
        return self._wrong_tokens < MAX_WRONG_TOKENS

    def wrong(self) -> None:
        """Count a wrong token."""
        self._wrong_tokens += 1
