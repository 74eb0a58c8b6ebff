"""What all tests share."""

import pytest

from spokemast.net import backend


@pytest.fixture(autouse=True)
def no_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections to backends are used again at once, so that which one is used does not hang on time."""
    monkeypatch.setattr(backend, "REST_S", 0.0)
