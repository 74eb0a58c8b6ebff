"""What all tests share."""

from typing import Iterator

import hold_ups
import pytest
from hypothesis import settings
from known_red import KNOWN_RED, find_known_failure, read_known_failures
from ports import give_back

from loadbalancer.upstreams import connections

# The same examples every time: a failure in CI is of the change, not of the draw.
settings.register_profile("same", derandomize=True)
settings.load_profile("same")


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the options that are used by hand."""
    hold_ups.add_options(parser)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let the tests of KNOWN-RED.txt fail: they run, and are printed as xfailed or xpassed."""
    entries = read_known_failures(KNOWN_RED.read_text(encoding="utf-8"))
    for item in items:
        entry = find_known_failure(entries, item.nodeid)
        if entry is not None:
            item.add_marker(
                pytest.mark.xfail(reason=f"KNOWN-RED, issue {entry.issue}: {entry.seen}", strict=False)
            )


@pytest.fixture(autouse=True)
def no_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections to backends are used again at once, so that which one is used does not hang on time."""
    monkeypatch.setattr(connections, "MIN_IDLE_BEFORE_REUSE_S", 0.0)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_call(item: pytest.Item) -> Iterator[None]:
    """Hold the test up, where that was asked for."""
    with hold_ups.held_up(item.config, item.nodeid):
        return (yield)


@pytest.fixture(autouse=True)
def ports_go_back() -> Iterator[None]:
    yield
    give_back()
