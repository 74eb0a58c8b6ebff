"""Tests of invalid settings."""

from __future__ import annotations

import math
from typing import Any

import pytest

from loadbalancer.policy.settings import (
    RequestClass,
)


@pytest.mark.parametrize(
    "field, named",
    [("latency_objective", "aim"), ("client_timeout", "give_up"), ("priority_weight", "worth")],
)
@pytest.mark.parametrize("value", [-1.0, math.nan, math.inf, "x", None])
def test_invalid_settings_are_named_in_the_error(field: str, named: str, value: Any) -> None:
    with pytest.raises(ValueError, match=f"classes.{named}: {value!r}"):
        RequestClass(
            **{
                "name": "c",
                "latency_objective": 1.0,
                "client_timeout": 2.0,
                "priority_weight": 1.0,
                field: value,
            }
        )
