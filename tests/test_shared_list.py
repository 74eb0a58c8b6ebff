"""The endpoint list that one process of a proxy leaves to the next: its copy, its file, and its use in an upgrade."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, cast

import pytest
from peers import OK, ScriptedBackend, answering, run_with_timeout, running_proxy
from test_upgrade import Member, check_served, platform

from loadbalancer.discovery.list_copy import ListCopy
from loadbalancer.discovery.watch import DiscoveryClient
from loadbalancer.hot_restart.shared_list import LIST_FILE, EndpointListFile
from loadbalancer.resource_limits import RateLimitedLogger

SERVICE = "127.0.0.1:1"
#: Version of the list in the configuration.
VERSION = 41


def server(name: str, state: str = "SERVING") -> dict[str, Any]:
    return {"id": name, "state": state, "addr": "127.0.0.1:2"}


def message(version: int, *servers: dict[str, Any], full: bool = False) -> dict[str, Any]:
    return {"version": version, "full": full, "servers": list(servers)}


def test_copy_of_a_list_has_all_endpoints_after_changes() -> None:
    """Guards against a list of the latest changes alone, with which the next process would have hardly any endpoint."""
    copy = ListCopy()
    copy.apply(message(1, server("a"), server("b"), server("c")), 1, True)
    copy.apply(message(2, server("b", "DRAINING")), 2, False)
    copy.apply(message(3, server("c", "DELETED"), server("d")), 3, False)
    assert copy.value() == message(3, server("a"), server("b", "DRAINING"), server("d"), full=True)
    copy.apply(message(4, server("e")), 4, True)
    assert copy.value() == message(4, server("e"), full=True)
    copy.clear()
    assert copy.version is None
    copy.apply(message(1, server("f")), 1, True)
    assert copy.value() == message(1, server("f"), full=True)


def test_file_keeps_the_latest_version_of_one_service(tmp_path: Path) -> None:
    """Guards against a later list that a process which has fallen behind replaces, and one of another service."""
    old, new = (EndpointListFile(tmp_path, RateLimitedLogger()) for _ in range(2))
    assert old.read(SERVICE) is None and not old.is_changed()
    assert new.write(SERVICE, message(5, server("a"), full=True))
    assert old.is_changed() and not new.is_changed()
    assert old.write(SERVICE, message(4, full=True))
    assert old.read(SERVICE) == message(5, server("a"), full=True)
    assert old.read("127.0.0.1:9") is None


@pytest.mark.parametrize(
    "content", [b"", b"{", b"[]", b'{"service":"127.0.0.1:1","list":{"version":"1"}}', b"\xff"]
)
def test_damaged_file_is_not_used(tmp_path: Path, content: bytes) -> None:
    """Guards against a process that does not start because a kill left a file half written."""
    (tmp_path / LIST_FILE).write_bytes(content)
    assert EndpointListFile(tmp_path, RateLimitedLogger()).read(SERVICE) is None


def test_folder_that_can_not_be_written_costs_only_the_file(tmp_path: Path) -> None:
    """Guards against a process that ends because its disk is full."""
    assert not EndpointListFile(tmp_path / "missing", RateLimitedLogger()).write(
        SERVICE, message(1, full=True)
    )


def test_changes_are_copied_onto_the_list_that_the_process_started_with() -> None:
    """Guards against a list of the latest changes alone, since a service sends nothing else to who knows the rest."""

    async def scene() -> None:
        first, second = ScriptedBackend("a", answering(OK)), ScriptedBackend("b", answering(OK))
        async with running_proxy(first, second) as here:
            source = cast(DiscoveryClient, here.proxy.source)
            source.copy = ListCopy()
            source.adopt(message(1, first.entry(), second.entry(), full=True))
            await here.discovery.until_watched()
            await here.discovery.line(2, second.entry(state="DRAINING"))
            await here.proxy.until(lambda: source.version == 2)
            assert source.copy.value() == message(2, first.entry(), second.entry(state="DRAINING"), full=True)

    run_with_timeout(scene)


@pytest.mark.parametrize("version", [0, 1_000])
def test_new_process_does_not_send_to_an_endpoint_that_the_old_one_was_told_drains(
    tmp_path: Path, version: int
) -> None:
    """Guards against an upgrade in an outage of discovery that forgets what the old process has been told."""
    drained = Member()
    with platform(tmp_path) as host:
        known = cast(dict[str, Any], host.box["known"])
        address = "{}:{}".format(*drained.sock.getsockname())
        (serving,) = known["servers"]
        draining = {**serving, "id": "d", "addr": address, "state": "DRAINING"}
        host.box["known"] = message(VERSION, serving, {**draining, "state": "SERVING"}, full=True)
        told = message(version, serving, draining, full=True)
        (tmp_path / LIST_FILE).write_text(json.dumps({"service": host.box["discovery"], "list": told}))
        host.start()
        check_served(host, 1)
    # An older list than that of the configuration is not used.
    assert bool(drained.ids) == (version < VERSION)
    drained.sock.close()
