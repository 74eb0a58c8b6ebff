"""Builds the listeners, routes and pools of the imported configuration as tables of this proxy. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any

INVALID_NAME_CHARS = re.compile(r"[^A-Za-z0-9_.\-]+")


def sanitize_name(name: str) -> str:
    """Return the name with each run of characters that configuration names may not contain replaced by a hyphen."""
    return INVALID_NAME_CHARS.sub("-", name).strip("-.") or "x"


class UniqueNames:
    """Allocates names that are unique within one import."""

    def __init__(self) -> None:
        self._uses: dict[str, int] = {}

    def allocate(self, base: str) -> str:
        name = sanitize_name(base)
        count = self._uses.get(name, 0)
        self._uses[name] = count + 1
        return self.allocate(f"{name}-{count + 1}") if count else name


@dataclass(slots=True)
class Member:
    """Holds the settings of one member of a pool."""

    id: str
    address: str
    weight: float = 1.0
    set: int = 0
    state: str = "serving"
    route: str | None = None
    domain: str | None = None
    redirect: str | None = None

    def table(self) -> dict[str, Any]:
        table: dict[str, Any] = {"id": self.id, "address": self.address}
        if self.weight != 1.0:
            table["weight"] = self.weight
        if self.set:
            table["set"] = self.set
        if self.state != "serving":
            table["state"] = self.state
        for key in ("route", "domain", "redirect"):
            if (value := getattr(self, key)) is not None:
                table[key] = value
        return table


@dataclass(slots=True)
class Pool:
    """Holds the settings of one pool; a setting that the source files don't give is None.

    `idle_close`, `connect_timeout` and `deadline` are in seconds.
    """

    name: str
    members: list[Member] = field(default_factory=list)
    attempts: int | None = None
    idle_close: float | None = None
    connect_timeout: float | None = None
    deadline: float | None = None
    idle_connections: int | None = None
    sticky: dict[str, Any] | None = None

    def set_minimum(self, key: str, value: float) -> None:
        """Set a pool setting to the smallest of the values given for its members."""
        before = getattr(self, key)
        setattr(self, key, value if before is None else min(before, value))

    def table(self) -> dict[str, Any]:
        limits: dict[str, Any] = {"attempts": max(1, min(10, self.attempts or max(2, len(self.members))))}
        if self.idle_close is not None:
            limits["idle_close"] = format_duration(self.idle_close)
        if self.connect_timeout is not None:
            limits["connect_timeout"] = format_duration(self.connect_timeout)
        if self.idle_connections is not None:
            limits["idle_connections"] = self.idle_connections
        table: dict[str, Any] = {"name": self.name}
        if any(member.state == "draining" for member in self.members):
            table["sticky_while_draining"] = True
        # Neither httpd nor mod_jk has a slow start for new members.
        table |= {"limits": limits, "rules": {"new_members": "warm", "standby": "warm"}}
        return table | {"member": [member.table() for member in self.members]}


@dataclass(slots=True)
class Setup:
    """Collects the imported configuration; `routes` and `listeners` hold tables in their output form."""

    pools: dict[str, Pool] = field(default_factory=dict)
    routes: list[dict[str, Any]] = field(default_factory=list)
    listeners: list[dict[str, Any]] = field(default_factory=list)

    def tables(self) -> dict[str, Any]:
        """Return the tables of the configuration file, listeners first; pools that no route uses are left out."""
        used = {route["pool"] for route in self.routes if "pool" in route}
        return {
            "listener": self.listeners,
            "route": self.routes,
            "pool": [pool.table() for pool in self.pools.values() if pool.name in used],
        }


def format_duration(seconds: float) -> str:
    """Format a duration as the configuration file writes it.

    >>> format_duration(0.25), format_duration(60)
    ('250ms', '60s')
    """
    return f"{seconds:g}s" if seconds >= 1 else f"{max(1, round(seconds * 1000))}ms"


def sticky_table(cookie: str, parameter: str, separator: str, bound: bool) -> dict[str, Any]:
    """Return the `sticky` table of routes that read sessions as httpd and mod_jk do.

    The path parameter takes precedence over the cookie, and the route follows the first separator.
    """
    table: dict[str, Any] = {"cookie": cookie}
    if parameter:
        table |= {"path_parameter": sanitize_name(parameter.lstrip(";")), "prefer": "path"}
    if separator:
        table |= {"separator": separator, "separator_at": "first"}
    return table | ({"bound": True} if bound else {})
