"""What all tests share."""

from typing import Iterator

import pytest
from hypothesis import settings
from ports import give_back

from loadbalancer.upstreams import connections

# The same examples every time: a failure in CI is of the change, not of the draw.
settings.register_profile("same", derandomize=True)
settings.load_profile("same")


@pytest.fixture(autouse=True)
def no_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections to backends are used again at once, so that which one is used does not hang on time."""
    monkeypatch.setattr(connections, "REST_S", 0.0)


@pytest.fixture(autouse=True)
def ports_go_back() -> Iterator[None]:
    yield
    give_back()
