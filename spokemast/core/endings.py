"""What a client hears of a request that the module has given up: an answer that a member made, or the proxy's own.

Pure: no socket and no clock. The module says whether trying again is harmless (a refusal) or nothing is promised (a
failure); which words say so to the client is decided here.

| the module's word | kept answer | the client hears |
| --- | --- | --- |
| refused | any | it, as the member worded it, also a 503 with its Retry-After |
| refused | none | 503, and when to return where the settings say so |
| failed: no member can use it | - | 400, and the connection ends |
| failed: its last attempt took too long | - | 502, or 504 where clients expect that |
| failed | other than 429 and 503 | it, as the member worded it |
| failed | 429 or 503 | 502: it may have run, and theirs would say that trying again is harmless |
| failed | none | 502 |
"""

from __future__ import annotations

from typing import NamedTuple

from spokemast.figures import REFUSALS
from spokemast.upstreams.connections import Answer

#: What says most of the application comes first; then what says most of the way to it. Others stand with 500.
ORDER = {501: 0, 500: 1, 502: 2, 504: 3, 503: 4}


class Heard(NamedTuple):
    """Exactly one of the two: a member's answer, or a status of the proxy's own."""

    kept: Answer | None
    status: int = 0
    close: bool = False


def better(kept: Answer | None, other: Answer) -> bool:
    """Whether another answer that a member made of its failure is the one to keep. Of two alike, the later."""
    return kept is None or ORDER.get(other.status, 1) <= ORDER.get(kept.status, 1)


def refused(kept: Answer | None) -> Heard:
    """The module has refused the request: trying again is harmless, whoever says so."""
    return Heard(kept) if kept is not None else Heard(None, 503)


def failed(kept: Answer | None, unusable: bool, timed_out: bool, timeout_status: int) -> Heard:
    """The module has failed it: it may have run."""
    if unusable:
        return Heard(None, 400, True)
    if timed_out:
        return Heard(None, timeout_status)
    if kept is not None and kept.status not in REFUSALS:
        return Heard(kept)
    return Heard(None, 502)
