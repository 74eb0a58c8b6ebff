"""Selects the answer to a request that the policy rejects or fails: an endpoint's answer or the proxy's own. No I/O.

The policy decides whether a retry is safe (a rejection) or the request may have run (a failure); the table in this
module maps that decision to an answer. `python -m loadbalancer.proxy.final_answers` prints the table for
docs/operating/answers.md; tests compare the two and run the rows.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.metrics import RETRYABLE_STATUSES
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.upstreams.interfaces import UpstreamResponse

STATUS_PREFERENCE = {501: 0, 500: 1, 502: 2, 504: 3, 503: 4}
"""Preference between the error answers of several endpoints, the lowest first: answers of the application itself come
before those about the path to it."""
DEFAULT_PREFERENCE = STATUS_PREFERENCE[500]
PROXY_STATUS_NAME = b"micastand"
"""The proxy's name in Proxy-Status (RFC 9209, 2)."""
TIMEOUT_STATUS = 0
"""Placeholder for the pool's status for timeouts, which is 504 for ordinary clients."""


class FinalAnswerRule(NamedTuple):
    """One row of the table of final answers."""

    rejected: bool
    """Whether the policy rejects the request, rather than failing it."""
    last: AttemptResult | None
    """The result of the last attempt; None if there was none."""
    status: int
    """The status that the client gets; `TIMEOUT_STATUS` for the pool's status for timeouts."""
    error: str
    """The error in Proxy-Status (RFC 9209, 2.3)."""
    description: str
    """Explains the row to operators."""


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
    505: "http_request_error",
}
"""Errors in Proxy-Status, by status, of answers that a front end gives before a pool has the request."""


class FinalAnswer(NamedTuple):
    """The answer that the client gets: an endpoint's answer or the proxy's own."""

    endpoint_response: UpstreamResponse | None
    """The endpoint's answer; None for the proxy's own."""
    status: int = 0
    """Status of the proxy's own answer."""
    close: bool = False
    """Whether to close the client's connection after it."""
    error: str = ""
    """The error in Proxy-Status of the proxy's own answer."""


def is_better(kept: UpstreamResponse | None, other: UpstreamResponse) -> bool:
    """Return whether another endpoint's error answer replaces the kept one; of two equal ones, the later is kept."""
    return kept is None or _preference(other.status) <= _preference(kept.status)


def _preference(status: int) -> int:
    return STATUS_PREFERENCE.get(status, DEFAULT_PREFERENCE)


def answer_rejected(kept: UpstreamResponse | None, last: AttemptResult | None = None) -> FinalAnswer:
    """Return the answer to a request that the policy has rejected: a retry is safe.

    A kept answer takes precedence whatever its status: if it promises that a retry is safe, that is true here.

    Args:
        kept: The kept error answer of an endpoint.
        last: The result of the last attempt.
    """
    if kept is not None:
        return FinalAnswer(kept)
    rule = _RULES.get((True, last)) or _RULES[True, None]
    return FinalAnswer(None, rule.status, False, rule.error)


def answer_failed(
    kept: UpstreamResponse | None, unusable: bool, last: AttemptResult | None, timeout_status: int
) -> FinalAnswer:
    """Return the answer to a request that the policy has failed: it may have run.

    An endpoint's answer takes precedence unless the last attempt timed out, or the answer would promise that a retry is
    safe.

    Args:
        kept: The kept error answer of an endpoint.
        unusable: Whether an endpoint has found the request itself invalid.
        last: The result of the last attempt.
        timeout_status: The pool's status for timeouts.
    """
    if unusable:
        rule = _RULES[False, AttemptResult.UNUSABLE]
        return FinalAnswer(None, rule.status, True, rule.error)
    if last != AttemptResult.TIMEOUT and kept is not None and kept.status not in RETRYABLE_STATUSES:
        return FinalAnswer(kept)
    rule = _RULES.get((False, last)) or _RULES[False, None]
    return FinalAnswer(None, rule.status or timeout_status, False, rule.error)


def proxy_status(error: str) -> bytes:
    """Return the header line that marks an answer as the proxy's own (RFC 9209)."""
    return b"Proxy-Status: %b; error=%b\r\n" % (PROXY_STATUS_NAME, error.encode())


def frontend_proxy_status(status: int) -> list[bytes]:
    """Return the Proxy-Status line of a front end's own answer; empty if its status has no error in the table."""
    return [proxy_status(FRONTEND_ERRORS[status])] if status in FRONTEND_ERRORS else []


def document() -> str:
    """Return the tables as Markdown, as in docs/operating/answers.md."""
    rows = [
        "| the module's word | last attempt | the client hears | Proxy-Status error | |",
        "| --- | --- | --- | --- | --- |",
    ]
    for row in FINAL_ANSWER_RULES:
        decision = "refused" if row.rejected else "failed"
        last = row.last.name.lower().replace("_", " ") if row.last is not None else "none"
        rows.append(f"| {decision} | {last} | {row.status or 504} | `{row.error}` | {row.description} |")
    rows += ["", "| a front's own answer | error |", "| --- | --- |"]
    rows += [f"| {status} | `{error}` |" for status, error in sorted(FRONTEND_ERRORS.items())]
    return "\n".join(rows)


if __name__ == "__main__":
    print(document())
