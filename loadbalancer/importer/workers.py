"""Balancers and members as mod_proxy describes them: parameters one by one, each with its fate. Pure."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass, field
from typing import Mapping
from urllib.parse import urlsplit

from loadbalancer.importer.fates import BALANCER, MEMBER, STATUS, Entry
from loadbalancer.importer.report import Fate, Report
from loadbalancer.importer.setup import Member, Pool, fit, sticky
from loadbalancer.importer.source import Place

TIME = re.compile(r"(\d+)(ms|s|mi|min|h)?$")
UNITS = {None: 1.0, "s": 1.0, "ms": 1e-3, "mi": 60.0, "min": 60.0, "h": 3600.0}
#: Times of members of which the least holds for the pool: its field, and the least that it takes, in seconds.
LEAST = {
    "connectiontimeout": ("connect_timeout", 0.001),
    "ttl": ("idle_close", 1.0),
    "timeout": ("deadline", 0.001),
}
#: httpd's own figure where no ProxyTimeout or Timeout says more, in seconds.
DEFAULT_TIMEOUT_S = 60.0


class BadValueError(ValueError):
    """A value that can't be read; says what would be right."""


def seconds(value: str) -> float:
    match = TIME.match(value)
    if match is None:
        raise BadValueError(f"{value!r} is no time, such as 5 or 200ms")
    return int(match[1]) * UNITS[match[2]]


def switch(value: str) -> bool:
    if value.lower() not in ("on", "off"):
        raise BadValueError(f"{value!r}: On or Off is wanted")
    return value.lower() == "on"


def number(value: str, most: int) -> int:
    if not (value.isascii() and value.isdigit()) or int(value) > most:
        raise BadValueError(f"{value!r}: a number from 0 to {most} is wanted")
    return int(value)


def session_name(value: str) -> str:
    """A name that stands in sessions: it is taken as it is or not at all, since members write it."""
    if not value or fit(value) != value:
        raise BadValueError(f"{value!r} is no name that a session can have here: letters, digits, _ . -")
    return value


@dataclass(slots=True)
class Hosts:
    """Addresses by name, as the caller says them: the importer looks nothing up."""

    known: Mapping[str, str] = field(default_factory=dict)

    def address(self, host: str) -> str | None:
        """An IPv4 address, or None where it is not known."""
        text = self.known.get(host.lower(), host)
        try:
            return str(ipaddress.IPv4Address(text))
        except ValueError:
            return "127.0.0.1" if text.lower() == "localhost" else None


@dataclass(frozen=True, slots=True)
class Url:
    """Address of a worker: `origin` as answers may name it, `address` to connect to, `path` without a slash at its
    end."""

    origin: str
    address: str
    path: str
    slash: bool  # it ended with one


def read_url(text: str, hosts: Hosts) -> Url:
    """BadValueError for what no member can be."""
    if "|" in text.partition("://")[0] or text.startswith("unix:"):
        raise BadValueError(
            f"{text!r}: a socket of its own before the address; write unix:/path as address by hand"
        )
    parts = urlsplit(text)
    if parts.scheme != "http" or not parts.hostname:
        raise BadValueError(f"{text!r}: this proxy speaks HTTP/1.1 to http:// members alone here")
    try:
        port = parts.port or 80
    except ValueError:
        raise BadValueError(f"{text!r}: the port is none") from None
    if parts.username is not None or parts.query or parts.fragment:
        raise BadValueError(f"{text!r}: a name, a query or a fragment in the address of a member")
    address = hosts.address(parts.hostname)
    if address is None:
        raise BadValueError(f"{parts.hostname!r} is a name; say --resolve {parts.hostname}=ADDRESS")
    origin = f"http://{parts.netloc}"
    return Url(origin, f"{address}:{port}", parts.path.rstrip("/"), parts.path.endswith("/"))


@dataclass(slots=True)
class Balancer:
    """One pool as it is gathered. `path`: of all its members; `origins`: by which answers may name them."""

    pool: Pool
    place: Place
    path: str | None = None
    origins: list[str] = field(default_factory=list)
    addresses: set[str] = field(default_factory=set)
    cookie: str = ""
    parameter: str = ""
    separator: str = "."
    bound: bool = False

    def sticky(self) -> dict[str, object] | None:
        return sticky(self.cookie, self.parameter, self.separator, self.bound) if self.cookie else None

    def finish(self) -> None:
        self.pool.sticky = self.sticky()


class Workers:
    """Reads members and parameters into balancers, and writes the report."""

    def __init__(self, report: Report, hosts: Hosts) -> None:
        self.report, self.hosts = report, hosts

    # Members.

    def member(self, balancer: Balancer, place: Place, url: str, params: list[str]) -> None:
        """One member with all its parameters. What can't be read makes no member, and is in the report."""
        try:
            found = read_url(url, self.hosts)
            self._check_path(balancer, found)
        except BadValueError as problem:
            self.report.add(place, "BalancerMember", Fate.NONE, str(problem))
            for param in params:  # each is told of in any case
                self.report.add(
                    place, "BalancerMember", Fate.NONE, "of a member that can't be carried over", param
                )
            return
        self.report.add(
            place, "BalancerMember", Fate.CARRIED, f"member {found.address} of pool {balancer.pool.name}"
        )
        balancer.path = found.path
        balancer.origins.append(found.origin)
        balancer.addresses.add(found.address)
        member = Member(fit(found.address.replace(":", "-")), found.address)
        balancer.pool.members.append(member)
        for param in params:
            self.set_member(balancer, member, place, "BalancerMember", param)

    @staticmethod
    def _check_path(balancer: Balancer, url: Url) -> None:
        if balancer.path is not None and balancer.path != url.path:
            raise BadValueError(
                f"path {url.path or '/'!r} where another member of the balancer has {balancer.path or '/'!r}; members "
                "of a pool get the same path"
            )
        if url.address in balancer.addresses:
            raise BadValueError(f"{url.address} is a member of the balancer already")

    def set_member(self, balancer: Balancer, member: Member, place: Place, name: str, param: str) -> None:
        key, equals, value = param.partition("=")
        key = key.lower()
        entry = MEMBER.get(key)
        if entry is None:
            self.report.add(place, name, Fate.NONE, "is no parameter of a member that mod_proxy has", param)
            return
        fate, text = entry
        try:
            if key == "status":
                fate, text = self._status(member, place, value)
            self._take_member(balancer, member, key, value)
        except BadValueError as problem:
            fate, text = Fate.NONE, str(problem)
        self.report.add(place, name, fate, text, param)

    def _take_member(self, balancer: Balancer, member: Member, key: str, value: str) -> None:
        pool = balancer.pool
        if key in LEAST:
            name, least = LEAST[key]
            pool.least(name, max(least, seconds(value)))
        elif key == "loadfactor":
            member.weight = self._factor(value)
        elif key in ("route", "redirect"):
            setattr(member, key, session_name(value))
        elif key == "lbset":
            member.set += 2 * number(value, 99)
        elif key in ("smax", "max"):
            pool.least("idle_connections", number(value, 1 << 20))
        elif key in ("disablereuse", "enablereuse") and switch(value) == (key == "disablereuse"):
            pool.idle_connections = 0

    @staticmethod
    def _factor(value: str) -> float:
        try:
            factor = float(value)
        except ValueError:
            factor = 0.0
        if not 1.0 <= factor <= 100.0:
            raise BadValueError(f"{value!r}: 1 to 100 is wanted, as httpd has it")
        return factor

    def _status(self, member: Member, place: Place, value: str) -> Entry:
        """Flags one after another; stopped stands above draining, and that above standby. The worst fate of those that
        are set is that of the whole; of several, each has a line too."""
        on = True
        flags: dict[str, bool] = {}
        for char in value:
            if char in "+-":
                on = char == "+"
            elif char.upper() in STATUS:
                flags[char.upper()] = on
            else:
                raise BadValueError(f"flag {char!r}: one of {' '.join(STATUS)} is wanted")
        given = {flag: STATUS[flag] for flag, on in flags.items() if on}
        for flag, entry in given.items() if len(given) > 1 else ():
            self.report.add(place, "BalancerMember", entry.fate, entry.text, f"status={flag}")
        if flags.get("H") or flags.get("R"):
            member.set += 1
        if flags.get("D") or flags.get("S"):
            member.state = "stopped"
        elif flags.get("N"):
            member.state = "draining"
        return max(
            given.values(), key=lambda entry: list(Fate).index(entry.fate), default=Entry(Fate.CARRIED)
        )

    # Balancers.

    def set_balancer(self, balancer: Balancer, place: Place, name: str, param: str) -> None:
        key, _, value = param.partition("=")
        key = key.lower()
        entry = BALANCER.get(key)
        if entry is None:
            self.report.add(place, name, Fate.NONE, "is no parameter of a balancer that mod_proxy has", param)
            return
        try:
            fate, text = self._take_balancer(balancer, key, value, entry)
        except BadValueError as problem:
            fate, text = Fate.NONE, str(problem)
        self.report.add(place, name, fate, text, param)

    def _take_balancer(self, balancer: Balancer, key: str, value: str, entry: Entry) -> Entry:
        if key == "lbmethod":
            return self._method(value)
        if key == "stickysession":
            balancer.cookie, _, balancer.parameter = value.partition("|")
            balancer.parameter = balancer.parameter or balancer.cookie
        elif key == "stickysessionsep":
            if value.lower() != "off" and len(value) != 1:
                raise BadValueError(f"{value!r}: one character, or Off, is wanted")
            balancer.separator = "" if value.lower() == "off" else value
        elif key == "nofailover":
            balancer.bound = switch(value)
        elif key == "maxattempts":
            balancer.pool.attempts = number(value, 1 << 20) + 1
            return entry if balancer.pool.attempts <= 10 else Entry(Fate.DIFFERENT, "10 attempts at most")
        elif key == "scolonpathdelim" and not switch(value):
            return Entry(Fate.DIFFERENT, entry.text)
        return entry

    @staticmethod
    def _method(value: str) -> Entry:
        method = value.lower()
        if method == "byrequests":
            return Entry(Fate.CARRIED, "a draw by weight")
        if method == "bybusyness":
            return Entry(
                Fate.DIFFERENT, "two are drawn by weight, and what is in flight at each decides between them"
            )
        if method in ("bytraffic", "heartbeat"):
            return Entry(
                Fate.NONE,
                f"{method} splits by what this proxy does not count; byrequests would be carried over",
            )
        raise BadValueError(f"{value!r}: byrequests, bytraffic, bybusyness or heartbeat is wanted")
