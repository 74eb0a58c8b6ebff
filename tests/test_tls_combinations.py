"""The HTTP suite with TLS on either side, and the counts of plain HTTP: served, refused, failed and effects."""

from __future__ import annotations

from typing import Any, Callable

import pytest
from test_combinations import BY_CHANCE, SCENES, run

#: Tests that are of a socket's own bytes, which TLS keeps to itself, and why.
BYTES_OF_TCP: dict[str, str] = {}


def taken(name: str) -> bool:
    return not any(name.startswith(test) for test in BYTES_OF_TCP)


WITH_TLS = [scene for scene in SCENES if taken(scene[0])]


@pytest.mark.parametrize("name, test, arguments", WITH_TLS, ids=[name for name, _, _ in WITH_TLS])
def test_the_same_counts_with_tls_on_either_side(
    name: str, test: Callable[..., None], arguments: dict[str, Any]
) -> None:
    plain = run(test, arguments, "http/1.1", "http/1.1")
    for front, upstream in (("https", "http/1.1"), ("http/1.1", "https"), ("https", "https")):
        found = run(test, arguments, front, upstream)
        if name in BY_CHANCE:
            assert sum(found.values()) - found["effects"] == sum(plain.values()) - plain["effects"]
        else:
            assert found == plain, (front, upstream)
