"""JSON values from a stream with any chunks, indentation and damage."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.discovery.json_stream import JsonValues

MAX_BYTES = 4 << 20
TEXT = st.text(alphabet='ab"\\{}[],:\n\té€ ', max_size=6)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=8,
)
OBJECTS = st.dictionaries(TEXT, VALUES, max_size=4)
INDENTS = st.sampled_from([None, 0, 1, 4, "\t"])


def split(data: bytes, positions: list[int]) -> list[bytes]:
    edges = [0, *sorted(position % (len(data) + 1) for position in positions), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@given(
    st.lists(st.tuples(OBJECTS, INDENTS), max_size=4),
    st.lists(st.integers(0, 10_000), max_size=12),
    st.sampled_from(["\n", "\r\n", "\n\n"]),
    st.booleans(),
)
@settings(max_examples=400, deadline=None, derandomize=True)
def test_values_are_complete_for_any_chunks_and_indentation(
    sent: list[tuple[dict[str, Any], Any]], positions: list[int], end: str, escaped: bool
) -> None:
    text = "".join(json.dumps(value, indent=indent, ensure_ascii=escaped) + end for value, indent in sent)
    values, found = JsonValues(MAX_BYTES), []
    for piece in split(text.encode(), positions):
        found += values.feed(piece)
    assert found == [value for value, _ in sent]
    assert not values.is_inside


def test_value_is_complete_before_its_line_end() -> None:
    values = JsonValues(MAX_BYTES)
    assert values.feed(b'{"version": 1,\n "servers": [\n {"id": "}]"}\n ]') == []
    assert values.is_inside
    assert values.feed(b"}") == [{"version": 1, "servers": [{"id": "}]"}]}]
    assert values.feed(b'\n{"a":1}') == [{"a": 1}]


def test_several_values_on_one_line() -> None:
    assert JsonValues(MAX_BYTES).feed(b'{"a":1} {"b":2}{"c":3}\n') == [{"a": 1}, {"b": 2}, {"c": 3}]


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\n",
        b"{nonsense}\n",
        b'{"a":1}}\n',
        b']\n{"a":1}\n',
        b'{"a":"x\n"}\n',  # a line end in a string
        b'{"servers":[{"id":"x"\n{"servers":[]}\n',  # truncated, and the next one begins
        b'{"servers":[\n\n',  # truncated, and a heartbeat follows
        b"[" * 100_000 + b"]" * 100_000 + b"\n",
        b'{"a":"\xff"}\n',
    ],
)
def test_malformed_value_raises_an_error(data: bytes) -> None:
    with pytest.raises(ValueError):
        JsonValues(MAX_BYTES).feed(data)


def test_endless_value_raises_an_error_at_the_size_limit() -> None:
    values = JsonValues(1000)
    with pytest.raises(ValueError, match="1000"):
        for _ in range(200):
            values.feed(b'"aaaaaaaa",\n' if values.is_inside else b"[\n")
    values = JsonValues(1000)
    with pytest.raises(ValueError, match="1000"):
        for _ in range(200):
            values.feed(b"[1,1,1,1,")
