"""Key files: what is accepted, and what is said of those that are not."""

from __future__ import annotations

import pytest

from loadbalancer.fleet.keys import read_keys


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("", "0 keys"),
        ("zz", "not 64"),
        ("11", "not 64"),
        (f"{'11' * 32}\n" * 3, "3 keys"),
        (f"{'11' * 32}\n" * 2, "both keys have the number"),
    ],
)
def test_a_file_of_keys_says_what_is_wrong(text: str, words: str) -> None:
    with pytest.raises(ValueError, match=words):
        read_keys(text)
    assert read_keys(f"# now\n{'11' * 32}\n\n# before\n{'22' * 32}\n") == [b"\x11" * 32, b"\x22" * 32]
