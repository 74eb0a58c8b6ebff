"""Fixtures and hooks for all tests."""

from typing import Iterator

import hold_ups
import pytest
from hypothesis import settings
from known_red import KNOWN_RED, find_known_failure, read_known_failures
from ports import release_ports

from loadbalancer.upstreams import connections

# Use the same examples in every run, so that a failure in CI comes from the change and not from random examples.
settings.register_profile("same", derandomize=True)
settings.load_profile("same")


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the options that stall tests."""
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
def reuse_connections_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let connections to backends be reused at once, so that the choice of connection does not depend on time."""
    monkeypatch.setattr(connections, "MIN_IDLE_BEFORE_REUSE_S", 0.0)
    monkeypatch.setattr(connections, "MIN_IDLE_AFTER_SURPLUS_S", 0.0)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_call(item: pytest.Item) -> Iterator[None]:
    """Stall the test if the options say so."""
    with hold_ups.stall_once(item.config, item.nodeid):
        return (yield)


@pytest.fixture(autouse=True)
def release_ports_after_test() -> Iterator[None]:
    """Release the reserved ports at the end of each test."""
    yield
    release_ports()
