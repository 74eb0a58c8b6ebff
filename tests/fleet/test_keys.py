"""Key files: valid ones are parsed, malformed ones are rejected with the defect."""

from __future__ import annotations

import pytest

from loadbalancer.fleet.keys import read_keys


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "0 keys"),
        ("zz", "not 64"),
        ("11", "not 64"),
        (f"{'11' * 32}\n" * 3, "3 keys"),
        (f"{'11' * 32}\n" * 2, "both keys have the number"),
    ],
)
def test_malformed_key_file_is_rejected_with_its_defect(text: str, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        read_keys(text)
    assert read_keys(f"# now\n{'11' * 32}\n\n# before\n{'22' * 32}\n") == [b"\x11" * 32, b"\x22" * 32]
