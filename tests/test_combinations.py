"""The HTTP suite in all four combinations of what clients and members speak, and the same counts in each.

A test is taken in unless it is of the bytes of HTTP itself (`BYTES_OF_HTTP`, with what makes it so).
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

#: Tests that are of HTTP alone, and why.
BYTES_OF_HTTP = {
    "test_bad_input_is_answered_and_goes_no_further": "malformed heads; FastCGI's own are in test_fastcgi.py",
    "test_a_head_byte_by_byte_and_a_body_in_pieces": "bytes of a head",
    "test_a_chunked_request_reaches_the_backend_whole": "chunks",
    "test_expect_continue_is_answered": "100 Continue",
    "test_pipelined_requests_are_answered_in_order": "FastCGI multiplexes instead",
    "test_a_pipelining_flood_is_cut_short": "FastCGI multiplexes instead",
    "test_answer_delimited_by_connection_close_is_served": "a FastCGI answer ends with its END_REQUEST",
    "test_attempt_result_for_each_kind_of_answer['a reset without a length']": "the same",
    "test_an_abandoned_upload_leaves_nothing_behind": "half a message",
    "test_a_request_that_never_ends_is_answered_408": "half a message",
    "test_a_connection_that_says_nothing_is_closed_and_one_that_has_asked_stays": "a limit patched in http1",
    "test_the_time_for_the_first_request_counts_from_connecting": "bytes of a head",
    "test_an_upload_in_pieces_within_its_time_goes_on": "half a message",
    "test_a_reader_that_stops_is_given_up": "a limit patched in http1",
    "test_the_rest_of_an_upload_that_was_turned_away_is_not_read": "a length that is refused unread",
    "test_uploads_past_the_budget_are_refused_and_others_served": "half messages",
    "test_connections_past_the_limit_are_answered": "Connection: close",
    "test_old_clients_are_answered_and_closed": "HTTP/1.0",
    "test_sigterm_with_requests_held_and_new_ones_arriving": "Connection: close",
    "test_an_idle_connection_with_an_unread_request_is_not_closed": "bytes in the kernel",
    "test_hundreds_at_once_are_all_served": "hangs on the machine's speed: the translating peers are slow ones",
    "test_close_before_request_is_sent_completely_gives_no_connection": "the opposite holds for FastCGI",
    "test_endless_answer_is_a_reset_and_a_keyed_request_is_retried": "framing of answers",
    "test_bytes_after_an_answer_are_not_read_as_the_next_answer": "bytes behind an answer",
}
#: Tests whose draws and order hang on time: only how many answers there are is the same.
BY_CHANCE = {"test_nothing_is_left_after_a_busy_time"}
#: Rows of a test that can't be said in FastCGI.
ROWS_OF_HTTP = {
    "served in fragments", "served in chunks", "served after interim answers", "an end without a length", "not HTTP",
    "an upgrade", "an endless head", "an end within the answer",
}  # fmt: skip


def scenes() -> Iterator[tuple[str, Callable[..., None], dict[str, Any]]]:
    """Every test of the two modules that is not of HTTP's bytes, with its parameters."""
    for module in (test_backends, test_clients):
        for name, test in vars(module).items():
            if not name.startswith("test_") or name in BYTES_OF_HTTP or not callable(test):
                continue
            marks = [mark for mark in getattr(test, "pytestmark", []) if mark.name == "parametrize"]
            if not marks:
                yield name, test, {}
                continue
            names, values = marks[0].args[:2]
            keys = [key.strip() for key in names.split(",")] if isinstance(names, str) else list(names)
            for value in values:
                if value not in ROWS_OF_HTTP if isinstance(value, str) else True:
                    each = (value,) if len(keys) == 1 else value
                    yield f"{name}[{value!r}]", test, dict(zip(keys, each, strict=True))


SCENES = list(scenes())


def run(test: Callable[..., None], arguments: dict[str, Any], front: str, upstream: str) -> Counter[str]:
    """Play a test in one combination; what its answers and effects came to."""
    TALLY.clear()
    peers.COMBINATION[:] = [front, upstream]
    with pytest.MonkeyPatch.context() as patch:
        wanted = inspect.signature(test).parameters
        try:
            test(**arguments, **({"monkeypatch": patch} if "monkeypatch" in wanted else {}))
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
    """The table of the docs: `PYTHONPATH=.:tests python -m test_combinations`."""
    connections.MIN_IDLE_BEFORE_REUSE_S = 0.0  # as conftest.py has it
    for combination in COMBINATIONS:
        total: Counter[str] = Counter()
        for _, test, arguments in SCENES:
            total += run(test, arguments, *combination)
        figures = " | ".join(str(total[key]) for key in ("served", "refused", "failed", "effects"))
        print(f"| {combination[0]} to {combination[1]} | {len(SCENES)} | {figures} |")


if __name__ == "__main__":
    main()
