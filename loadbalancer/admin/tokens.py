"""Tokens that authenticate administrative calls over TCP: their digests, holders and roles.

A line of the token file is `ROLE DIGEST NAME`, such as `changes sha256:9f86... rita`; lines that begin with `#` are
comments. The file holds digests only, which do not authenticate a call. Any number of tokens are valid at once, so a
token is rotated by adding the new one first. `micastand token` makes a token and its line.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import Literal

Role = Literal["reads", "changes"]
#: Longer tokens are rejected.
MAX_TOKEN_CHARACTERS = 256
#: Longer token files are rejected.
MAX_LINES = 1000
#: Wrong tokens in a window after which all calls over TCP are rejected until the window ends.
MAX_WRONG_TOKENS = 20
WRONG_TOKEN_WINDOW_S = 10.0
DIGEST_PREFIX = "sha256:"
DIGEST_CHARACTERS = 64


class TokenError(ValueError):
    """The token file is invalid; the message names the line and the expected form."""


@dataclass(frozen=True, slots=True)
class TokenHolder:
    """The operator who holds a token, and the role that the token grants."""

    name: str
    role: Role


def digest(token: str) -> str:
    """Return the digest of a token in hexadecimal.

    A plain digest is enough, since a token is long and random and cannot be guessed from it.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def format_line(token: str, role: Role, name: str) -> str:
    """Return the line of the token file for a token."""
    return f"{role} {DIGEST_PREFIX}{digest(token)} {name}\n"


class Tokens:
    """The tokens of one token file."""

    def __init__(self, holders: list[tuple[str, TokenHolder]]) -> None:
        """Create from pairs of a digest, in lower case, and its holder."""
        self._holders = holders

    @classmethod
    def read(cls, text: str) -> Tokens:
        """Parse the text of a token file.

        Raises:
            TokenError: A line is invalid, there are too many lines, or there is no token.
        """
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
        """Return the holder of the token in an Authorization header (RFC 6750, 2.1); None where the token is not valid.

        All digests are compared, each in constant time, so that the duration reveals nothing about the tokens.
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
    """Limits token guessing: after MAX_WRONG_TOKENS in a window, all calls over TCP are rejected.

    The trade-off: anyone who can reach the address can lock operators out of it. They can still use the Unix socket.
    """

    def __init__(self) -> None:
        self._wrong_tokens = 0
        self._window_began = 0.0

    def allows_attempt(self, now: float) -> bool:
        """Return whether a token may be checked now; `now` is in seconds of any monotonic clock."""
        if now - self._window_began >= WRONG_TOKEN_WINDOW_S:
            self._wrong_tokens = 0
            self._window_began = now
        return self._wrong_tokens < MAX_WRONG_TOKENS

    def record_wrong_token(self) -> None:
        """Count a wrong token."""
        self._wrong_tokens += 1
