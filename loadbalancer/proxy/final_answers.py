"""What a client hears of a request that the module has given up: an answer that a member made, or the proxy's own.

Pure: no socket and no clock. The module says whether trying again is harmless (a refusal) or nothing is promised (a
failure); which words say so to the client is decided here, by one table. `python -m loadbalancer.proxy.final_answers`
prints it for docs/operating/answers.md; a test compares the two, and plays each row.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.metrics import RETRYABLE_STATUSES
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.upstreams.connections import UpstreamResponse

#: What says most of the application comes first; then what says most of the way to it. Others stand with 500.
STATUS_PREFERENCE = {501: 0, 500: 1, 502: 2, 504: 3, 503: 4}
#: Our name in Proxy-Status (RFC 9209, 2).
NAME = b"micastand"


class FinalAnswerRule(NamedTuple):
    """A way to end. `last`: what became of the last attempt, None where there was none. `error`: RFC 9209, 2.3."""

    refused: bool
    last: AttemptResult | None
    status: int
    error: str
    what: str


#: 0 as status: the pool's word for time-outs, 504 for ordinary clients.
FINAL_ANSWER_RULES = (
    FinalAnswerRule(
        True,
        None,
        503,
        "destination_unavailable",
        "refused before any attempt: no member may take it, or overload",
    ),
    FinalAnswerRule(True, AttemptResult.NO_CONNECTION, 503, "connection_refused", "no connection came up"),
    FinalAnswerRule(
        True, AttemptResult.TIMEOUT, 503, "http_response_timeout", "the last attempt took too long"
    ),
    FinalAnswerRule(
        True,
        AttemptResult.CANCELLED,
        503,
        "http_response_timeout",
        "the last attempt was given up for its silence",
    ),
    FinalAnswerRule(
        True,
        AttemptResult.RESET,
        503,
        "connection_terminated",
        "the connection broke, or what came was no answer",
    ),
    FinalAnswerRule(
        True,
        AttemptResult.FULL,
        503,
        "connection_limit_reached",
        "the last member turned it away, it never ran",
    ),
    FinalAnswerRule(
        True,
        AttemptResult.ERROR,
        503,
        "http_response_incomplete",
        "the last member failed, and its answer was not kept",
    ),
    FinalAnswerRule(
        False, None, 502, "proxy_internal_error", "given up before any attempt, and it may not be refused"
    ),
    FinalAnswerRule(
        False,
        AttemptResult.NO_CONNECTION,
        502,
        "connection_refused",
        "no connection came up; an earlier one may have run",
    ),
    FinalAnswerRule(
        False, AttemptResult.TIMEOUT, 0, "http_response_timeout", "the last attempt took too long"
    ),
    FinalAnswerRule(
        False,
        AttemptResult.CANCELLED,
        502,
        "http_response_timeout",
        "the last attempt was given up for its silence",
    ),
    FinalAnswerRule(
        False,
        AttemptResult.RESET,
        502,
        "connection_terminated",
        "the connection broke, or what came was no answer",
    ),
    FinalAnswerRule(
        False,
        AttemptResult.FULL,
        502,
        "connection_limit_reached",
        "turned away; an earlier attempt may have run",
    ),
    FinalAnswerRule(
        False,
        AttemptResult.ERROR,
        502,
        "http_response_incomplete",
        "the last member failed with 429 or 503, which would promise that it has not run, or its answer was not kept",
    ),
    FinalAnswerRule(
        False, AttemptResult.UNUSABLE, 400, "http_request_error", "no member can use it; the connection ends"
    ),
)
_BY = {(row.refused, row.last): row for row in FINAL_ANSWER_RULES}

#: Errors of what a front answers before any pool has the request, by status.
FRONTEND_ERRORS = {
    400: "http_request_error",
    404: "destination_not_found",
    405: "http_request_error",
    408: "http_request_error",
    409: "http_request_denied",
    413: "http_request_error",
    421: "http_request_error",
    422: "http_request_denied",
    429: "http_request_denied",
    431: "http_request_error",
    501: "http_request_error",
    503: "connection_limit_reached",
}


class FinalAnswer(NamedTuple):
    """Exactly one of the two: a member's answer, or a status of the proxy's own with its error."""

    kept: UpstreamResponse | None
    status: int = 0
    close: bool = False
    error: str = ""


def better(kept: UpstreamResponse | None, other: UpstreamResponse) -> bool:
    """Whether another answer that a member made of its failure is the one to keep. Of two alike, the later."""
    return kept is None or STATUS_PREFERENCE.get(other.status, 1) <= STATUS_PREFERENCE.get(kept.status, 1)


def refused(kept: UpstreamResponse | None, last: AttemptResult | None = None) -> FinalAnswer:
    """The module has refused the request: trying again is harmless, whoever says so."""
    if kept is not None:
        return FinalAnswer(kept)
    row = _BY.get((True, last)) or _BY[True, None]
    return FinalAnswer(None, row.status, False, row.error)


def failed(
    kept: UpstreamResponse | None, unusable: bool, last: AttemptResult | None, timeout_status: int
) -> FinalAnswer:
    """The module has failed it: it may have run. An answer of a member stands above all but a time-out and what would
    promise that trying again is harmless."""
    row = _BY[False, AttemptResult.UNUSABLE] if unusable else _BY.get((False, last)) or _BY[False, None]
    if (
        not unusable
        and last != AttemptResult.TIMEOUT
        and kept is not None
        and kept.status not in RETRYABLE_STATUSES
    ):
        return FinalAnswer(kept)
    return FinalAnswer(None, row.status or timeout_status, unusable, row.error)


def proxy_status(error: str) -> bytes:
    """The field that names an answer as ours (RFC 9209)."""
    return b"Proxy-Status: %b; error=%b\r\n" % (NAME, error.encode())


def own_status(status: int) -> list[bytes]:
    """The same for what a front answers itself."""
    return [proxy_status(FRONTEND_ERRORS[status])] if status in FRONTEND_ERRORS else []


def document() -> str:
    """The table as it stands in the docs."""
    out = [
        "| the module's word | last attempt | the client hears | Proxy-Status error | |",
        "| --- | --- | --- | --- | --- |",
    ]
    for row in FINAL_ANSWER_RULES:
        word = "refused" if row.refused else "failed"
        last = row.last.name.lower().replace("_", " ") if row.last is not None else "none"
        out.append(f"| {word} | {last} | {row.status or 504} | `{row.error}` | {row.what} |")
    out += ["", "| a front's own answer | error |", "| --- | --- |"]
    out += [f"| {status} | `{error}` |" for status, error in sorted(FRONTEND_ERRORS.items())]
    return "\n".join(out)


if __name__ == "__main__":
    print(document())
