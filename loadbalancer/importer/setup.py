"""What an import makes: listeners, routes and pools as tables of our own configuration. Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any

UNFIT = re.compile(r"[^A-Za-z0-9_.\-]+")


def fit(name: str) -> str:
    """A name as our tables take it."""
    return UNFIT.sub("-", name).strip("-.") or "x"


class Names:
    """Names that are given once."""

    def __init__(self) -> None:
        self._given: dict[str, int] = {}

    def new(self, wanted: str) -> str:
        name = fit(wanted)
        count = self._given.get(name, 0)
        self._given[name] = count + 1
        return self.new(f"{name}-{count + 1}") if count else name


@dataclass(slots=True)
class Member:
    id: str
    address: str
    weight: float = 1.0
    set: int = 0
    state: str = "serving"
    route: str | None = None
    domain: str | None = None
    redirect: str | None = None

    def table(self) -> dict[str, Any]:
        box: dict[str, Any] = {"id": self.id, "address": self.address}
        if self.weight != 1.0:
            box["weight"] = self.weight
        if self.set:
            box["set"] = self.set
        if self.state != "serving":
            box["state"] = self.state
        for key in ("route", "domain", "redirect"):
            if (value := getattr(self, key)) is not None:
                box[key] = value
        return box


@dataclass(slots=True)
class Pool:
    """`idle_close`, `connect_timeout`, `deadline`: in seconds, where anything says so."""

    name: str
    members: list[Member] = field(default_factory=list)
    attempts: int | None = None
    idle_close: float | None = None
    connect_timeout: float | None = None
    deadline: float | None = None
    idle_connections: int | None = None
    sticky: dict[str, Any] | None = None

    def least(self, key: str, value: float) -> None:
        """Of what several members say the least holds for all."""
        before = getattr(self, key)
        setattr(self, key, value if before is None else min(before, value))

    def table(self) -> dict[str, Any]:
        limits: dict[str, Any] = {"attempts": max(1, min(10, self.attempts or max(2, len(self.members))))}
        if self.idle_close is not None:
            limits["idle_close"] = duration(self.idle_close)
        if self.connect_timeout is not None:
            limits["connect_timeout"] = duration(self.connect_timeout)
        if self.idle_connections is not None:
            limits["idle_connections"] = self.idle_connections
        box: dict[str, Any] = {"name": self.name}
        if any(member.state == "draining" for member in self.members):
            box["sticky_while_draining"] = True
        # Neither httpd nor mod_jk spares a member that has just been put in.
        box |= {"limits": limits, "rules": {"new_members": "warm", "standby": "warm"}}
        return box | {"member": [member.table() for member in self.members]}


@dataclass(slots=True)
class Setup:
    """All of it; `routes` and `listeners` are tables as they are written."""

    pools: dict[str, Pool] = field(default_factory=dict)
    routes: list[dict[str, Any]] = field(default_factory=list)
    listeners: list[dict[str, Any]] = field(default_factory=list)

    def tables(self) -> dict[str, Any]:
        """The file, keys in the order in which people read them."""
        used = {route["pool"] for route in self.routes if "pool" in route}
        return {
            "listener": self.listeners,
            "route": self.routes,
            "pool": [pool.table() for pool in self.pools.values() if pool.name in used],
        }


def duration(seconds: float) -> str:
    """As our file writes it.

    >>> duration(0.25), duration(60)
    ('250ms', '60s')
    """
    return f"{seconds:g}s" if seconds >= 1 else f"{max(1, round(seconds * 1000))}ms"


def sticky(cookie: str, parameter: str, separator: str, bound: bool) -> dict[str, Any]:
    """As both originals read a session: the path's parameter stands above the cookie, the first separator counts."""
    box: dict[str, Any] = {"cookie": cookie}
    if parameter:
        box |= {"path_parameter": fit(parameter.lstrip(";")), "prefer": "path"}
    if separator:
        box |= {"separator": separator, "separator_at": "first"}
    return box | ({"bound": True} if bound else {})
