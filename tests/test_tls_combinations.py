"""Runs the HTTP suite with TLS on either side and compares its counts: served, refused, failed and effects."""

from __future__ import annotations

from typing import Any, Callable

import pytest
from test_combinations import BY_CHANCE, SCENES, run

#: Tests that depend on the bytes of a TCP socket, which TLS encrypts, with the reason.
PLAIN_TCP_TESTS: dict[str, str] = {}


def runs_with_tls(name: str) -> bool:
    return not any(name.startswith(test) for test in PLAIN_TCP_TESTS)


WITH_TLS = [scene for scene in SCENES if runs_with_tls(scene[0])]


@pytest.mark.parametrize("name, test, arguments", WITH_TLS, ids=[name for name, _, _ in WITH_TLS])
def test_tls_on_either_side_gives_the_counts_of_plain_http(
    name: str, test: Callable[..., None], arguments: dict[str, Any]
) -> None:
    plain = run(test, arguments, "http/1.1", "http/1.1")
    for front, upstream in (("https", "http/1.1"), ("http/1.1", "https"), ("https", "https")):
        found = run(test, arguments, front, upstream)
        if name in BY_CHANCE:
            assert sum(found.values()) - found["effects"] == sum(plain.values()) - plain["effects"]
        else:
            assert found == plain, (front, upstream)
