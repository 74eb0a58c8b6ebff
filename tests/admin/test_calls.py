"""Tests of the validation of administrative calls."""

from __future__ import annotations

import pytest

from loadbalancer.admin.calls import CallError, read_change


@pytest.mark.parametrize(
    "verb, body, status, words",
    [
        ("fly", b"{}", 404, "there is no verb"),
        ("drain", b"{", 400, "can't be read"),
        ("drain", b'{"pool": "p", "member": "a"}', 400, "by"),
        ("drain", b'{"by": "x", "member": "a"}', 400, "wants pool"),
        ("drain", b'{"by": "x", "pool": "p"}', 400, "wants member"),
        ("drain", b'{"by": "x", "pool": "p", "member": "a", "weight": 2}', 400, "takes no weight"),
        ("drain", b'{"by": "x", "pool": "p", "member": "a", "until": "soon"}', 400, "a duration in quotes"),
        ("drain", b'{"by": "x", "pool": "p", "member": "a", "odd": 1}', 400, "odd"),
        ("weight", b'{"by": "x", "pool": "p", "member": "a", "weight": 0}', 400, "> 0"),
        (
            "add",
            b'{"by": "x", "pool": "p", "member": "a", "address": "nowhere"}',
            400,
            "is not an IPv4 address",
        ),
        ("drain", b'{"by": "' + b"x" * 300 + b'", "pool": "p", "member": "a"}', 400, "length"),
    ],
)
def test_an_invalid_change_is_rejected_with_status_and_reason(
    verb: str, body: bytes, status: int, words: str
) -> None:
    with pytest.raises(CallError) as caught:
        read_change(verb, body)
    assert caught.value.status == status and words in str(caught.value)
