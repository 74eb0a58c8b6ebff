"""A source's list of members as one instance hands it on to another: by names, since each numbers zones and kinds by
its own configuration. Pure: values and bytes.
"""

from __future__ import annotations

from typing import Annotated, Mapping, Sequence

import msgspec
from msgspec import Meta, Struct

from loadbalancer.discovery.endpoint_source import Entry
from loadbalancer.policy.events import (
    EndpointEntry,
    EndpointState,
)

#: Seconds since its source was last heard after which a list is handed on to nobody, and taken from nobody.
AGE_MOST = 10.0
MEMBERS_MOST = 50_000
Text = Annotated[str, Meta(max_length=400)]


class HandedEndpoint(Struct, array_like=True):
    """One member; `zone` and `kind` by name, empty where they are not known."""

    server: Annotated[str, Meta(min_length=1, max_length=400)]
    zone: Text
    cell: int
    kind: Text
    state: EndpointState
    weight: float
    started: float
    host: Text
    port: Annotated[int, Meta(ge=0, le=65535)]


class HandedList(Struct, array_like=True):
    """`version`: as the source has it, None where it says none. `age`: seconds since it was last heard."""

    version: int | None
    age: Annotated[float, Meta(ge=0, le=1e9)]
    rows: Annotated[list[HandedEndpoint], Meta(max_length=MEMBERS_MOST)]


def write(
    entries: Sequence[Entry],
    version: int | None,
    age: float,
    zones: Mapping[str, int],
    kinds: Mapping[str, int],
) -> bytes:
    zone_names, kind_names = ({number: name for name, number in names.items()} for names in (zones, kinds))
    rows = [
        HandedEndpoint(
            one.endpoint,
            zone_names.get(one.zone, ""),
            one.cell,
            kind_names.get(one.kind, ""),
            one.state,
            one.weight,
            one.started,
            host,
            port,
        )
        for one, (host, port) in entries
    ]
    return msgspec.msgpack.encode(HandedList(version, age, rows))


def read(data: bytes, zones: Mapping[str, int], kinds: Mapping[str, int]) -> tuple[list[Entry], HandedList]:
    """ValueError for what is no list, or too old."""
    try:
        found = msgspec.msgpack.decode(data, type=HandedList)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise ValueError(f"no list: {problem}") from None
    if found.age > AGE_MOST:
        raise ValueError(f"heard {found.age:.0f} s ago; at most {AGE_MOST:.0f}")
    entries: list[Entry] = [
        (
            EndpointEntry(
                row.server,
                zones.get(row.zone, -1),
                row.cell,
                kinds.get(row.kind, -1),
                row.state,
                row.weight,
                row.started,
            ),
            (row.host, row.port),
        )
        for row in found.rows
        if row.state != EndpointState.GONE
    ]
    return entries, found
