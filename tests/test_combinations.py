"""Runs the HTTP tests in all four combinations of client and member protocol, and compares the counts of answers.

Tests that depend on the bytes of HTTP itself are left out; `BYTES_OF_HTTP` lists them with the reason.
"""

from __future__ import annotations

import inspect
from collections import Counter
from typing import Any, Callable, Iterator

import peers
import pytest
import test_backends
import test_clients
from translated import TALLY

from loadbalancer.upstreams import connections

COMBINATIONS = [
    (front, upstream) for front in ("http/1.1", "fastcgi") for upstream in ("http/1.1", "fastcgi")
]

#: Tests that apply to HTTP only, with the reason.
BYTES_OF_HTTP = {
    "test_malformed_request_is_refused_and_not_forwarded": "malformed heads; FastCGI's own are in test_fastcgi.py",
    "test_request_sent_byte_by_byte_is_served": "bytes of a head",
    "test_chunked_request_is_forwarded_whole_with_its_length": "chunks",
    "test_expect_continue_is_answered_100": "100 Continue",
    "test_pipelined_requests_are_answered_in_order": "FastCGI multiplexes instead",
    "test_pipelining_flood_is_limited_and_closes_the_connection": "FastCGI multiplexes instead",
    "test_answer_delimited_by_connection_close_is_served": "a FastCGI answer ends with its END_REQUEST",
    "test_attempt_result_for_each_kind_of_answer['a reset without a length']": "as above",
    "test_aborted_upload_releases_its_buffers": "half a message",
    "test_incomplete_request_is_answered_408": "half a message",
    "test_unused_connection_times_out_and_a_used_one_stays": "a limit patched in http1",
    "test_timeout_of_the_first_request_counts_from_connecting": "bytes of a head",
    "test_upload_in_pieces_within_its_timeout_is_served": "half a message",
    "test_client_that_stops_reading_is_disconnected": "a limit patched in http1",
    "test_rest_of_a_rejected_upload_is_not_read": "a length that is refused unread",
    "test_upload_past_the_budget_is_refused_and_other_requests_are_served": "half messages",
    "test_connections_past_the_limit_are_answered_503": "Connection: close",
    "test_http_1_0_client_is_answered_and_closed": "HTTP/1.0",
    "test_drain_serves_open_and_new_requests_and_closes_idle_connections": "Connection: close",
    "test_an_idle_connection_with_an_unread_request_is_not_closed": "bytes in the kernel",
    "test_300_concurrent_requests_are_all_served": "depends on the machine's speed: the translating peers are slow",
    "test_close_before_request_is_sent_completely_gives_no_connection": "the opposite holds for FastCGI",
    "test_endless_answer_is_a_reset_and_a_keyed_request_is_retried": "framing of answers",
    "test_bytes_after_an_answer_are_not_read_as_the_next_answer": "bytes behind an answer",
}
#: Tests with results that depend on timing: only the total number of answers is compared.
BY_CHANCE = {"test_many_concurrent_requests_release_all_resources"}
#: Parameters of tests that can't be expressed in FastCGI.
ROWS_OF_HTTP = {
    "served in fragments", "served in chunks", "served after interim answers", "an end without a length", "not HTTP",
    "an upgrade", "an endless head", "an end within the answer",
}  # fmt: skip


def scenes() -> Iterator[tuple[str, Callable[..., None], dict[str, Any]]]:
    """Yield every test of the two modules that is not HTTP only: its name, its function and its parameters."""
    for module in (test_backends, test_clients):
        for name, test in vars(module).items():
            if not name.startswith("test_") or name in BYTES_OF_HTTP or not callable(test):
                continue
            parametrizations = [
                mark for mark in getattr(test, "pytestmark", []) if mark.name == "parametrize"
            ]
            if not parametrizations:
                yield name, test, {}
                continue
            names, values = parametrizations[0].args[:2]
            keys = [key.strip() for key in names.split(",")] if isinstance(names, str) else list(names)
            for value in values:
                if value not in ROWS_OF_HTTP if isinstance(value, str) else True:
                    row = (value,) if len(keys) == 1 else value
                    yield f"{name}[{value!r}]", test, dict(zip(keys, row, strict=True))


SCENES = list(scenes())


def run(test: Callable[..., None], arguments: dict[str, Any], front: str, upstream: str) -> Counter[str]:
    """Run a test in one combination; return the counts of its answers and effects."""
    TALLY.clear()
    peers.COMBINATION[:] = [front, upstream]
    with pytest.MonkeyPatch.context() as patch:
        parameters = inspect.signature(test).parameters
        try:
            test(**arguments, **({"monkeypatch": patch} if "monkeypatch" in parameters else {}))
        finally:
            peers.COMBINATION[:] = ["http/1.1", "http/1.1"]
    return Counter(TALLY)


@pytest.mark.parametrize("name, test, arguments", SCENES, ids=[name for name, _, _ in SCENES])
def test_the_same_answers_and_effects_in_every_combination(
    name: str, test: Callable[..., None], arguments: dict[str, Any]
) -> None:
    counts = {combination: run(test, arguments, *combination) for combination in COMBINATIONS}
    if name in BY_CHANCE:
        assert len({sum(count.values()) - count["effects"] for count in counts.values()}) == 1, counts
        return
    assert len({tuple(sorted(count.items())) for count in counts.values()}) == 1, counts


def main() -> None:
    """Print the table of the documentation: `PYTHONPATH=.:tests python -m test_combinations`."""
    connections.MIN_IDLE_BEFORE_REUSE_S = connections.MIN_IDLE_AFTER_SURPLUS_S = 0.0  # as in conftest.py
    for combination in COMBINATIONS:
        total: Counter[str] = Counter()
        for _, test, arguments in SCENES:
            total += run(test, arguments, *combination)
        figures = " | ".join(str(total[key]) for key in ("served", "refused", "failed", "effects"))
        print(f"| {combination[0]} to {combination[1]} | {len(SCENES)} | {figures} |")


if __name__ == "__main__":
    main()
