"""What all tests share."""

import pytest

from spokemast.upstreams import http1


@pytest.fixture(autouse=True)
def no_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections to backends are used again at once, so that which one is used does not hang on time."""
    monkeypatch.setattr(http1, "REST_S", 0.0)
