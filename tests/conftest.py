"""What all tests share."""

import pytest

from spokemast.upstreams import connections


@pytest.fixture(autouse=True)
def no_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections to backends are used again at once, so that which one is used does not hang on time."""
    monkeypatch.setattr(connections, "REST_S", 0.0)
