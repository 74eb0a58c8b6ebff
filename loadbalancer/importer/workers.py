"""Translates the balancers and members of mod_proxy, and reports the outcome of each of their parameters. No I/O."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass, field
from typing import Mapping
from urllib.parse import urlsplit

from loadbalancer.importer.fates import BALANCER, MEMBER, STATUS, Entry
from loadbalancer.importer.report import Outcome, Report
from loadbalancer.importer.setup import Member, Pool, sanitize_name, sticky_table
from loadbalancer.importer.source import Position

TIME = re.compile(r"(\d+)(ms|s|mi|min|h)?$")
UNITS = {None: 1.0, "s": 1.0, "ms": 1e-3, "mi": 60.0, "min": 60.0, "h": 3600.0}
#: Timeouts of members whose minimum becomes a setting of the pool: its field, and its smallest value in seconds.
MINIMUM_FIELDS = {
    "connectiontimeout": ("connect_timeout", 0.001),
    "ttl": ("idle_close", 1.0),
    "timeout": ("deadline", 0.001),
}
#: Timeout of httpd, in seconds, where neither ProxyTimeout nor Timeout is set.
DEFAULT_TIMEOUT_S = 60.0


class BadValueError(ValueError):
    """Raised for a value that can't be translated; the message names the value and what was expected."""


def parse_seconds(value: str) -> float:
    """Return a time of httpd in seconds; without a unit it is in seconds already."""
    match = TIME.match(value)
    if match is None:
        raise BadValueError(f"{value!r} is not a time such as 5 or 200ms")
    return int(match[1]) * UNITS[match[2]]


def parse_on_off(value: str) -> bool:
    """Return whether a switch is On; raise BadValueError unless it is On or Off, in any case."""
    if value.lower() not in ("on", "off"):
        raise BadValueError(f"{value!r}: expected On or Off")
    return value.lower() == "on"


def parse_integer(value: str, maximum: int) -> int:
    """Return a decimal number from 0 to `maximum`; raise BadValueError for anything else."""
    if not (value.isascii() and value.isdigit()) or int(value) > maximum:
        raise BadValueError(f"{value!r}: expected a number from 0 to {maximum}")
    return int(value)


def parse_session_name(value: str) -> str:
    """Return a name that occurs in session identifiers; raise BadValueError if it isn't valid here.

    It can't be replaced by a valid one, because members write it into their sessions.
    """
    if not value or sanitize_name(value) != value:
        raise BadValueError(f"{value!r} is not a valid name in a session: expected letters, digits, _ . -")
    return value


@dataclass(slots=True)
class HostAddresses:
    """Maps host names to the addresses given by the caller; the importer makes no DNS queries."""

    by_name: Mapping[str, str] = field(default_factory=dict)

    def resolve(self, host: str) -> str | None:
        """Return the IPv4 address of a host, or None if it is unknown."""
        text = self.by_name.get(host.lower(), host)
        try:
            return str(ipaddress.IPv4Address(text))
        except ValueError:
            return "127.0.0.1" if text.lower() == "localhost" else None


@dataclass(frozen=True, slots=True)
class WorkerUrl:
    """Holds the parsed URL of a worker.

    `origin` is its start as responses may contain it, `address` is where to connect, `path` has no trailing slash.
    """

    origin: str
    address: str
    path: str
    trailing_slash: bool  # whether the URL ended with a slash


def parse_worker_url(text: str, hosts: HostAddresses) -> WorkerUrl:
    """Return the parsed URL of a worker; raise BadValueError if this proxy can't have it as a member."""
    if "|" in text.partition("://")[0] or text.startswith("unix:"):
        raise BadValueError(
            f"{text!r}: a Unix socket is not carried over; set the address unix:/path by hand"
        )
    parts = urlsplit(text)
    if parts.scheme != "http" or not parts.hostname:
        raise BadValueError(f"{text!r}: expected an http:// address; members are reached over HTTP/1.1 only")
    try:
        port = parts.port or 80
    except ValueError:
        raise BadValueError(f"{text!r}: the port is not valid") from None
    if parts.username is not None or parts.query or parts.fragment:
        raise BadValueError(
            f"{text!r}: the address of a member may not have a user name, a query or a fragment"
        )
    address = hosts.resolve(parts.hostname)
    if address is None:
        raise BadValueError(f"{parts.hostname!r} is a host name; use --resolve {parts.hostname}=ADDRESS")
    origin = f"http://{parts.netloc}"
    return WorkerUrl(origin, f"{address}:{port}", parts.path.rstrip("/"), parts.path.endswith("/"))


@dataclass(slots=True)
class Balancer:
    """Holds a pool while its balancer is translated, with the settings that its routes need.

    `path` is the path that all members have, `origins` are the URL starts by which responses may refer to them.
    """

    pool: Pool
    position: Position
    path: str | None = None
    origins: list[str] = field(default_factory=list)
    addresses: set[str] = field(default_factory=set)
    cookie: str = ""
    parameter: str = ""
    separator: str = "."
    bound: bool = False

    def sticky_settings(self) -> dict[str, object] | None:
        return sticky_table(self.cookie, self.parameter, self.separator, self.bound) if self.cookie else None

    def finish(self) -> None:
        """Store the sticky settings in the pool, once all parameters are known."""
        self.pool.sticky = self.sticky_settings()


class WorkerTranslator:
    """Adds members and their parameters to balancers, and reports the outcome of each."""

    def __init__(self, report: Report, hosts: HostAddresses) -> None:
        self.report, self.hosts = report, hosts

    # Members.

    def add_member(self, balancer: Balancer, position: Position, url: str, params: list[str]) -> None:
        """Add a member with all its parameters. A member with an address that can't be translated is only reported."""
        try:
            found = parse_worker_url(url, self.hosts)
            self._check_path(balancer, found)
        except BadValueError as problem:
            self.report.add(position, "BalancerMember", Outcome.NONE, str(problem))
            for param in params:  # every parameter has its line in the report
                self.report.add(
                    position, "BalancerMember", Outcome.NONE, "of a member that can't be carried over", param
                )
            return
        self.report.add(
            position,
            "BalancerMember",
            Outcome.CARRIED,
            f"member {found.address} of pool {balancer.pool.name}",
        )
        balancer.path = found.path
        balancer.origins.append(found.origin)
        balancer.addresses.add(found.address)
        member = Member(sanitize_name(found.address.replace(":", "-")), found.address)
        balancer.pool.members.append(member)
        for param in params:
            self.set_member_parameter(balancer, member, position, "BalancerMember", param)

    @staticmethod
    def _check_path(balancer: Balancer, url: WorkerUrl) -> None:
        if balancer.path is not None and balancer.path != url.path:
            raise BadValueError(
                f"path {url.path or '/'!r} where another member of the balancer has {balancer.path or '/'!r}; members "
                "of a pool get the same path"
            )
        if url.address in balancer.addresses:
            raise BadValueError(f"{url.address} is a member of the balancer already")

    def set_member_parameter(
        self, balancer: Balancer, member: Member, position: Position, name: str, param: str
    ) -> None:
        key, equals, value = param.partition("=")
        key = key.lower()
        entry = MEMBER.get(key)
        if entry is None:
            self.report.add(position, name, Outcome.NONE, "is not a member parameter of mod_proxy", param)
            return
        outcome, text = entry
        try:
            if key == "status":
                outcome, text = self._apply_status(member, position, value)
            self._apply_member_parameter(balancer, member, key, value)
        except BadValueError as problem:
            outcome, text = Outcome.NONE, str(problem)
        self.report.add(position, name, outcome, text, param)

    def _apply_member_parameter(self, balancer: Balancer, member: Member, key: str, value: str) -> None:
        pool = balancer.pool
        if key in MINIMUM_FIELDS:
            name, smallest = MINIMUM_FIELDS[key]
            pool.set_minimum(name, max(smallest, parse_seconds(value)))
        elif key == "loadfactor":
            member.weight = self._parse_load_factor(value)
        elif key in ("route", "redirect"):
            setattr(member, key, parse_session_name(value))
        elif key == "lbset":
            member.set += 2 * parse_integer(value, 99)
        elif key in ("smax", "max"):
            pool.set_minimum("idle_connections", parse_integer(value, 1 << 20))
        elif key in ("disablereuse", "enablereuse") and parse_on_off(value) == (key == "disablereuse"):
            pool.idle_connections = 0

    @staticmethod
    def _parse_load_factor(value: str) -> float:
        try:
            factor = float(value)
        except ValueError:
            factor = 0.0
        if not 1.0 <= factor <= 100.0:
            raise BadValueError(f"{value!r}: expected a number from 1 to 100")
        return factor

    def _apply_status(self, member: Member, position: Position, value: str) -> Entry:
        """Apply the flags of a status parameter and return the entry with the worst outcome among those that are set.

        Stopped takes precedence over draining, and draining over standby. Several flags have a report line each.
        """
        on = True
        flags: dict[str, bool] = {}
        for char in value:
            if char in "+-":
                on = char == "+"
            elif char.upper() in STATUS:
                flags[char.upper()] = on
            else:
                raise BadValueError(f"flag {char!r}: expected one of {' '.join(STATUS)}")
        entries = {flag: STATUS[flag] for flag, on in flags.items() if on}
        for flag, entry in entries.items() if len(entries) > 1 else ():
            self.report.add(position, "BalancerMember", entry.outcome, entry.text, f"status={flag}")
        if flags.get("H") or flags.get("R"):
            member.set += 1
        if flags.get("D") or flags.get("S"):
            member.state = "stopped"
        elif flags.get("N"):
            member.state = "draining"
        return max(
            entries.values(),
            key=lambda entry: list(Outcome).index(entry.outcome),
            default=Entry(Outcome.CARRIED),
        )

    # Balancers.

    def set_balancer_parameter(self, balancer: Balancer, position: Position, name: str, param: str) -> None:
        key, _, value = param.partition("=")
        key = key.lower()
        entry = BALANCER.get(key)
        if entry is None:
            self.report.add(position, name, Outcome.NONE, "is not a balancer parameter of mod_proxy", param)
            return
        try:
            outcome, text = self._apply_balancer_parameter(balancer, key, value, entry)
        except BadValueError as problem:
            outcome, text = Outcome.NONE, str(problem)
        self.report.add(position, name, outcome, text, param)

    def _apply_balancer_parameter(self, balancer: Balancer, key: str, value: str, entry: Entry) -> Entry:
        if key == "lbmethod":
            return self._translate_method(value)
        if key == "stickysession":
            balancer.cookie, _, balancer.parameter = value.partition("|")
            balancer.parameter = balancer.parameter or balancer.cookie
        elif key == "stickysessionsep":
            if value.lower() != "off" and len(value) != 1:
                raise BadValueError(f"{value!r}: expected one character, or Off")
            balancer.separator = "" if value.lower() == "off" else value
        elif key == "nofailover":
            balancer.bound = parse_on_off(value)
        elif key == "maxattempts":
            balancer.pool.attempts = parse_integer(value, 1 << 20) + 1
            return entry if balancer.pool.attempts <= 10 else Entry(Outcome.DIFFERENT, "10 attempts at most")
        elif key == "scolonpathdelim" and not parse_on_off(value):
            return Entry(Outcome.DIFFERENT, entry.text)
        return entry

    @staticmethod
    def _translate_method(value: str) -> Entry:
        method = value.lower()
        if method == "byrequests":
            return Entry(Outcome.CARRIED, "a draw by weight")
        if method == "bybusyness":
            return Entry(
                Outcome.DIFFERENT,
                "two are drawn by weight, and what is in flight at each decides between them",
            )
        if method in ("bytraffic", "heartbeat"):
            return Entry(
                Outcome.NONE,
                f"{method} balances by a measure that this proxy does not have; byrequests would be carried over",
            )
        raise BadValueError(f"{value!r}: expected byrequests, bytraffic, bybusyness or heartbeat")
