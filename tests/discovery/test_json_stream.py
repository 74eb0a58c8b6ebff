"""Lists out of a stream: whatever the chunks, the indentation and the damage."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.discovery.json_stream import JsonValues

MOST = 4 << 20
TEXT = st.text(alphabet='ab"\\{}[],:\n\té€ ', max_size=6)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=8,
)
OBJECTS = st.dictionaries(TEXT, VALUES, max_size=4)
FORMS = st.sampled_from([None, 0, 1, 4, "\t"])


def cut(data: bytes, places: list[int]) -> list[bytes]:
    edges = [0, *sorted(place % (len(data) + 1) for place in places), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@given(
    st.lists(st.tuples(OBJECTS, FORMS), max_size=4),
    st.lists(st.integers(0, 10_000), max_size=12),
    st.sampled_from(["\n", "\r\n", "\n\n"]),
    st.booleans(),
)
@settings(max_examples=400, deadline=None, derandomize=True)
def test_values_come_whole_whatever_the_chunks_and_the_form(
    sent: list[tuple[dict[str, Any], Any]], places: list[int], end: str, escaped: bool
) -> None:
    text = "".join(json.dumps(value, indent=form, ensure_ascii=escaped) + end for value, form in sent)
    values, found = JsonValues(MOST), []
    for piece in cut(text.encode(), places):
        found += values.feed(piece)
    assert found == [value for value, _ in sent]
    assert not values.is_inside


def test_a_value_counts_at_its_last_byte_and_not_at_the_line_end_behind_it() -> None:
    values = JsonValues(MOST)
    assert values.feed(b'{"version": 1,\n "servers": [\n {"id": "}]"}\n ]') == []
    assert values.is_inside
    assert values.feed(b"}") == [{"version": 1, "servers": [{"id": "}]"}]}]
    assert values.feed(b'\n{"a":1}') == [{"a": 1}]


def test_several_on_one_line() -> None:
    assert JsonValues(MOST).feed(b'{"a":1} {"b":2}{"c":3}\n') == [{"a": 1}, {"b": 2}, {"c": 3}]


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\n",
        b"{nonsense}\n",
        b'{"a":1}}\n',
        b']\n{"a":1}\n',
        b'{"a":"x\n"}\n',  # a line end in a string
        b'{"servers":[{"id":"x"\n{"servers":[]}\n',  # cut off, and the next one begins
        b'{"servers":[\n\n',  # cut off, and the service rests
        b"[" * 100_000 + b"]" * 100_000 + b"\n",
        b'{"a":"\xff"}\n',
    ],
)
def test_what_is_no_value_is_told_at_once(data: bytes) -> None:
    with pytest.raises(ValueError):
        JsonValues(MOST).feed(data)


def test_a_value_without_end_is_held_to_its_bound() -> None:
    values = JsonValues(1000)
    with pytest.raises(ValueError, match="1000"):
        for _ in range(200):
            values.feed(b'"aaaaaaaa",\n' if values.is_inside else b"[\n")
    values = JsonValues(1000)
    with pytest.raises(ValueError, match="1000"):
        for _ in range(200):
            values.feed(b"[1,1,1,1,")
