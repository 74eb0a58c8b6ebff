"""Encodes and decodes the endpoint list that one instance hands to another. No I/O.

Zones and kinds are written by name, since each instance numbers them by its own configuration.
"""

from __future__ import annotations

from typing import Annotated, Mapping, Sequence

import msgspec
from msgspec import Meta, Struct

from loadbalancer.discovery.endpoint_source import Entry
from loadbalancer.policy.events import EndpointEntry, EndpointState

MAX_AGE_S = 10.0
"""Maximum seconds since the last message of the source for a list to be handed on or accepted."""
MAX_ENDPOINTS = 50_000
UNKNOWN_NUMBER = -1
"""Number of a zone or kind that this instance's configuration does not name."""
Text = Annotated[str, Meta(max_length=400)]


class HandedEndpoint(Struct, array_like=True):
    """Holds one endpoint of a list."""

    endpoint: Annotated[str, Meta(min_length=1, max_length=400)]
    """Its id."""
    zone: Text
    """Name of its zone; empty if unknown."""
    cell: int
    """Number of its cell."""
    kind: Text
    """Name of its kind; empty if unknown."""
    state: EndpointState
    """Its state according to the source."""
    weight: float
    """Its share of the traffic, relative to the others."""
    started: float
    """When it started, in Unix seconds; 0 for long ago."""
    host: Text
    """Host that it listens on."""
    port: Annotated[int, Meta(ge=0, le=65535)]
    """Port that it listens on."""


class HandedList(Struct, array_like=True):
    """Holds a list of endpoints."""

    version: int | None
    """The source's version of the list; None if it has none."""
    age: Annotated[float, Meta(ge=0, le=1e9)]
    """Seconds since the last message of the source."""
    endpoints: Annotated[list[HandedEndpoint], Meta(max_length=MAX_ENDPOINTS)]
    """All endpoints."""


def write(
    entries: Sequence[Entry],
    version: int | None,
    age: float,
    zones: Mapping[str, int],
    kinds: Mapping[str, int],
) -> bytes:
    """Encode a list.

    Args:
        entries: All endpoints.
        version: The source's version of the list; None if it has none.
        age: Seconds since the last message of the source.
        zones: This instance's numbers of zones, by name.
        kinds: This instance's numbers of kinds, by name.
    """
    zone_names = {number: name for name, number in zones.items()}
    kind_names = {number: name for name, number in kinds.items()}
    endpoints = [
        HandedEndpoint(
            entry.endpoint,
            zone_names.get(entry.zone, ""),
            entry.cell,
            kind_names.get(entry.kind, ""),
            entry.state,
            entry.weight,
            entry.started,
            host,
            port,
        )
        for entry, (host, port) in entries
    ]
    return msgspec.msgpack.encode(HandedList(version, age, endpoints))


def read(data: bytes, zones: Mapping[str, int], kinds: Mapping[str, int]) -> tuple[list[Entry], HandedList]:
    """Decode a list.

    Args:
        data: A list that `write` has encoded.
        zones: This instance's numbers of zones, by name.
        kinds: This instance's numbers of kinds, by name.

    Returns:
        The endpoints except those that are gone, and the list as it was decoded.

    Raises:
        ValueError: The bytes are not a list, or the list is too old.
    """
    try:
        handed = msgspec.msgpack.decode(data, type=HandedList)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise ValueError(f"not a list of endpoints: {problem}") from None
    if handed.age > MAX_AGE_S:
        raise ValueError(f"the list is {handed.age:.0f} s old; expected at most {MAX_AGE_S:.0f} s")
    entries: list[Entry] = []
    for endpoint in handed.endpoints:
        if endpoint.state == EndpointState.GONE:
            continue
        entry = EndpointEntry(
            endpoint.endpoint,
            zones.get(endpoint.zone, UNKNOWN_NUMBER),
            endpoint.cell,
            kinds.get(endpoint.kind, UNKNOWN_NUMBER),
            endpoint.state,
            endpoint.weight,
            endpoint.started,
        )
        entries.append((entry, (endpoint.host, endpoint.port)))
    return entries, handed
