"""What may be said of a connection that has come."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

#: Seconds for which a client that is refused should stay away.
RETURN_S = 1.0


class Verdict(Enum):
    ADMIT = auto()
    ONCE = auto()  # admit, and end it after one answer
    SWAP = auto()  # as ONCE, if a stranger's connection on which no request is open makes room; else refuse
    REFUSE = auto()


ADMIT, ONCE, SWAP, REFUSE = Verdict


class Ruling(NamedTuple):
    verdict: Verdict
    why: str = ""
    retry_after: float = 0.0  # seconds; 0 for none
