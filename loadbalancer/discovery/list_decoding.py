"""Decodes the endpoint lists of the platform's discovery service."""

from __future__ import annotations

import ipaddress
import math
from typing import Any, Mapping, NamedTuple

from loadbalancer.deployment import Deployment
from loadbalancer.discovery.endpoint_source import Address, Entry
from loadbalancer.discovery.errors import EntryError, ListError
from loadbalancer.policy.events import EndpointEntry, EndpointState
from loadbalancer.resource_limits import RateLimitedLogger

STATES = {"SERVING": EndpointState.READY, "DRAINING": EndpointState.DRAINING, "DELETED": EndpointState.GONE}
"""Endpoint states by the names that the service uses."""
UNKNOWN_NUMBER = -1
"""Number of all zones and kinds that the settings do not name."""
NO_ADDRESS: Address = ("", 0)
"""Address of an endpoint that is gone."""
MS_PER_S = 1000


class ListUpdate(NamedTuple):
    """Holds a decoded list, or changes to one."""

    version: int
    """The service's version of the list."""
    full: bool
    """Whether these are all endpoints; otherwise they are changes to the current list."""
    entries: list[Entry]
    """The valid entries."""


def read_list(value: object, deployment: Deployment, logger: RateLimitedLogger) -> ListUpdate:
    """Decode a list.

    Invalid entries are logged and left out, so that one of them does not hide the others.

    Raises:
        ListError: The value is not a list of endpoints.
    """
    if not isinstance(value, dict) or not isinstance(value.get("servers"), list):
        raise ListError("expected an object with a list of servers")
    version = value.get("version", 0)
    if isinstance(version, bool) or not isinstance(version, int):
        raise ListError(f"version: {version!r} is not an integer")
    entries = []
    for item in value["servers"]:
        try:
            entries.append(read_entry(item, deployment))
        except (EntryError, TypeError) as problem:
            logger("unreadable entry in a list", problem)
    return ListUpdate(version, value.get("full") is True, entries)


def read_entry(value: object, deployment: Deployment) -> Entry:
    """Decode one entry; unknown fields are skipped.

    Raises:
        EntryError: A field is missing or has an invalid value.
    """
    if not isinstance(value, dict):
        raise EntryError(f"{value!r} is not an object")
    endpoint = value.get("id")
    if not isinstance(endpoint, str) or not endpoint:
        raise EntryError("id: missing, empty or not a string")
    name = value.get("state", "SERVING")
    if name not in STATES:
        raise EntryError(f"state: {name!r} is not one of {', '.join(STATES)}")
    state = STATES[name]
    entry = EndpointEntry(
        endpoint=endpoint,
        zone=deployment.zones.get(value.get("zone", ""), UNKNOWN_NUMBER),
        cell=int(_read_number(value, "cell", 0)),
        kind=deployment.kinds.get(value.get("kind", ""), UNKNOWN_NUMBER),
        state=state,
        weight=float(_read_number(value, "weight", 1.0)),
        started=float(_read_number(value, "started_ms", 0.0)) / MS_PER_S,
    )
    return entry, NO_ADDRESS if state == EndpointState.GONE else _read_address(value)


def _read_address(value: Mapping[str, Any]) -> Address:
    text = value.get("addr", "")
    host, _, port = str(text).rpartition(":")
    try:
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        raise EntryError(f"addr: {value.get('addr')!r} is not an IPv4 address with a port") from None


def _read_number(value: Mapping[str, Any], key: str, default: float) -> float:
    number = value.get(key, default)
    if isinstance(number, bool) or not isinstance(number, (int, float)) or not math.isfinite(number):
        raise EntryError(f"{key}: {number!r} is not a finite number")
    return number
