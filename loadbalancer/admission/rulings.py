"""The possible decisions on a new connection."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

#: Seconds after which a client that was refused may retry.
RETRY_AFTER_S = 1.0


class Verdict(Enum):
    """Whether and how a connection is admitted."""

    ADMIT = auto()
    ADMIT_ONCE = auto()  # admit, and close the connection after one answer
    #: As ADMIT_ONCE if another connection, with no request open, can be evicted for it; else refuse.
    ADMIT_BY_EVICTION = auto()
    REFUSE = auto()


ADMIT, ADMIT_ONCE, ADMIT_BY_EVICTION, REFUSE = Verdict


class AdmissionDecision(NamedTuple):
    """Holds the decision on a connection; a refusal has a reason and a retry time."""

    verdict: Verdict
    reason: str = ""
    retry_after: float = 0.0  # seconds; 0 if the client is not told one
