"""What a client gets of a request that the policy rejects or fails: an endpoint's answer, or the proxy's own. No I/O.

The policy says whether trying again is harmless (a rejection) or nothing is promised (a failure); how the client is
told is decided here, by one table. `python -m loadbalancer.proxy.final_answers` prints it for
docs/operating/answers.md; a test compares the two, and plays each row.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.metrics import RETRYABLE_STATUSES
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.upstreams.interfaces import UpstreamResponse

STATUS_PREFERENCE = {501: 0, 500: 1, 502: 2, 504: 3, 503: 4}
"""Which of two endpoints' failures is kept: what says most of the application comes first, then what says most of the
way to it."""
DEFAULT_PREFERENCE = STATUS_PREFERENCE[500]
PROXY_STATUS_NAME = b"micastand"
"""Name of the proxy in Proxy-Status (RFC 9209, 2)."""
TIMEOUT_STATUS = 0
"""Stands for the status that the pool has for time-outs; 504 for ordinary clients."""


class FinalAnswerRule(NamedTuple):
    """One row of the table."""

    rejected: bool
    """Whether the policy rejects the request; otherwise it fails it."""
    last: AttemptResult | None
    """The result of the last attempt; None where there was none."""
    status: int
    """What the client gets; `TIMEOUT_STATUS` for that of the pool."""
    error: str
    """The error in Proxy-Status (RFC 9209, 2.3)."""
    what: str
    """The row in words, for operators."""


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
        False,
        AttemptResult.TIMEOUT,
        TIMEOUT_STATUS,
        "http_response_timeout",
        "the last attempt took too long",
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
_RULES = {(row.rejected, row.last): row for row in FINAL_ANSWER_RULES}

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
"""Errors in Proxy-Status of what a front end answers before any pool has the request, by status."""


class FinalAnswer(NamedTuple):
    """What the client gets: an endpoint's answer, or the proxy's own."""

    endpoint_response: UpstreamResponse | None
    """The endpoint's answer; None for the proxy's own."""
    status: int = 0
    """Status of the proxy's own answer."""
    close: bool = False
    """Whether the client's connection ends with it."""
    error: str = ""
    """Its error in Proxy-Status."""


def is_better(kept: UpstreamResponse | None, other: UpstreamResponse) -> bool:
    """Whether another endpoint's failure is the one to keep; of two alike, the later."""
    return kept is None or _preference(other.status) <= _preference(kept.status)


def _preference(status: int) -> int:
    return STATUS_PREFERENCE.get(status, DEFAULT_PREFERENCE)


def answer_rejected(kept: UpstreamResponse | None, last: AttemptResult | None = None) -> FinalAnswer:
    """The policy has rejected the request: trying again is harmless, whoever says so.

    Args:
        kept: An endpoint's answer to its own failure.
        last: The result of the last attempt.
    """
    if kept is not None:
        return FinalAnswer(kept)
    rule = _RULES.get((True, last)) or _RULES[True, None]
    return FinalAnswer(None, rule.status, False, rule.error)


def answer_failed(
    kept: UpstreamResponse | None, unusable: bool, last: AttemptResult | None, timeout_status: int
) -> FinalAnswer:
    """The policy has failed the request: it may have run.

    An endpoint's answer counts more than all but a time-out, unless it would promise that trying again is harmless.

    Args:
        kept: An endpoint's answer to its own failure.
        unusable: Whether an endpoint has found the request itself wrong.
        last: The result of the last attempt.
        timeout_status: The pool's status for time-outs.
    """
    if unusable:
        rule = _RULES[False, AttemptResult.UNUSABLE]
        return FinalAnswer(None, rule.status, True, rule.error)
    if last != AttemptResult.TIMEOUT and kept is not None and kept.status not in RETRYABLE_STATUSES:
        return FinalAnswer(kept)
    rule = _RULES.get((False, last)) or _RULES[False, None]
    return FinalAnswer(None, rule.status or timeout_status, False, rule.error)


def proxy_status(error: str) -> bytes:
    """The header line that names an answer as the proxy's own (RFC 9209)."""
    return b"Proxy-Status: %b; error=%b\r\n" % (PROXY_STATUS_NAME, error.encode())


def frontend_proxy_status(status: int) -> list[bytes]:
    """That header line of what a front end answers itself; none where the status has no error."""
    return [proxy_status(FRONTEND_ERRORS[status])] if status in FRONTEND_ERRORS else []


def document() -> str:
    """The tables as they stand in docs/operating/answers.md."""
    out = [
        "| the module's word | last attempt | the client hears | Proxy-Status error | |",
        "| --- | --- | --- | --- | --- |",
    ]
    for row in FINAL_ANSWER_RULES:
        word = "refused" if row.rejected else "failed"
        last = row.last.name.lower().replace("_", " ") if row.last is not None else "none"
        out.append(f"| {word} | {last} | {row.status or 504} | `{row.error}` | {row.what} |")
    out += ["", "| a front's own answer | error |", "| --- | --- |"]
    out += [f"| {status} | `{error}` |" for status, error in sorted(FRONTEND_ERRORS.items())]
    return "\n".join(out)


if __name__ == "__main__":
    print(document())
