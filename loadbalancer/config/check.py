"""Checks across the tables of a configuration file: references, unique names, one source of members, no overlap.

The checks run on the tables that could be read, so that one wrong value does not hide the other errors.
"""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Any, Iterable, Mapping, Sequence

from loadbalancer.config.reader import (
    ConfigError,
    Problems,
    check_members,
    read_address,
    read_members_file,
)  # fmt: skip
from loadbalancer.config.types import (
    AdmissionTable,
    ClassTable,
    FleetTable,
    ListenerTable,
    ListenerTlsTable,
    ManagementTable,
    PoolTable,
    ProcessTable,
    RouteTable,
)  # fmt: skip
from loadbalancer.routing.routes import ConflictError, Routes, Rule, RuleError, check_rule
from loadbalancer.routing.targets import TargetError, normal_path

#: Failures of an attempt that may be retried, besides response statuses.
RETRY_CAUSES = ("connect", "reset", "timeout", "refused")
#: Maximum number of instances that vote on operators' changes.
MAX_VOTERS = 64
#: Attribute of File for each key of the file that holds a list of named tables.
NAMED_LISTS = {
    "class": "class_", "tenant": "tenant", "plugin": "plugin", "pool": "pool", "route": "route", "listener": "listener",
}  # fmt: skip


def rule_of(route: RouteTable) -> Rule:
    """Return the routing rule of a [[route]] table."""
    headers = {name.lower(): None if value == "*" else value for name, value in route.headers.items()}
    return Rule(
        route.name,
        route.host,
        route.path,
        route.prefix,
        route.pattern,
        frozenset(route.methods),
        headers,
        route.suffix,
    )


def _declared_names(raw: Mapping[str, Any], key: str) -> set[str]:
    """Return the names of a list's entries, including invalid entries: a reference to one of these is not dangling."""
    entries = raw.get(key)
    if not isinstance(entries, list):
        return set()
    return {
        entry["name"] for entry in entries if isinstance(entry, dict) and isinstance(entry.get("name"), str)
    }


def check(values: Mapping[str, Any], raw: Mapping[str, Any], folder: Path, problems: Problems) -> None:
    """Add every inconsistency between tables to `problems`.

    `values`: the tables that could be read. `raw`: the file as parsed. `folder`: the base of relative file names.
    """
    for key in NAMED_LISTS:
        _check_unique_names(raw, key, problems)
    for cls in _readable(values, "class_"):
        _check_class(cls, problems)
    for pool in _readable(values, "pool"):
        _check_pool(pool, folder, problems)
    for plugin in _readable(values, "plugin"):
        if not (folder / plugin.file).is_file():
            problems.add(f"plugin[{plugin.name}].file", f"{plugin.file!r} is no file in {folder}")
    routes = list(_readable(values, "route"))
    _check_remembered_keys(values, problems)
    _check_management(values.get("management"), problems)
    _check_fleet(values, folder, problems)
    declared = {key: _declared_names(raw, key) for key in NAMED_LISTS}
    effects = {
        cls.name: cls.effect for cls in reversed([*_readable(values, "class_")])
    }  # of two classes with one name, the first counts
    for route in routes:
        _check_route(route, declared, effects, problems)
    _check_conflicts(routes, problems)
    listeners = list(_readable(values, "listener"))
    for listener in listeners:
        _check_listener(listener, declared["route"], declared["tenant"], problems)
    _check_overlap(listeners, problems)
    for key in ("pool", "route", "listener"):
        if values.get(key) == [] and raw.get(key) == []:
            problems.add(key, f"expected at least one [[{key}]], found none")


def _readable(values: Mapping[str, Any], name: str) -> Iterable[Any]:
    """Return the entries of a list that could be read."""
    return (entry for entry in values.get(name) or () if entry is not None)


def _check_unique_names(raw: Mapping[str, Any], key: str, problems: Problems) -> None:
    first_index: dict[str, int] = {}
    entries = raw.get(key)
    for number, entry in enumerate(entries if isinstance(entries, list) else ()):
        name = entry.get("name") if isinstance(entry, dict) else None
        if not isinstance(name, str):
            continue
        if name in first_index:
            problems.add(
                f"{key}[{number}].name",
                f"{name!r} is the name of {key}[{first_index[name]}] too; expected a unique name",
            )
        first_index.setdefault(name, number)


def _check_management(table: ManagementTable | None, problems: Problems) -> None:
    """Check that calls by TCP need a token, and use a loopback address, since the connection is not encrypted."""
    if not isinstance(table, ManagementTable):
        return
    if (table.address is None) != (table.tokens is None):
        problems.add(
            "management.address", "goes with tokens, the file of callers' tokens: set both or neither"
        )
    if table.address is None:
        return
    try:
        host, _ = read_address(table.address)
    except ValueError as problem:
        problems.add("management.address", str(problem))
        return
    if not host.startswith("127."):
        text = f"{host}: tokens would be sent in the clear; expected an address of 127.0.0.0/8, or the Unix socket"
        problems.add("management.address", text)


def _check_fleet(values: Mapping[str, Any], folder: Path, problems: Problems) -> None:
    table: FleetTable | None = values.get("fleet")
    process: ProcessTable | None = values.get("process")
    if not isinstance(table, FleetTable):
        return
    if process is not None and process.instances not in (1, table.instances):
        text = f"{process.instances}, but fleet.instances is {table.instances}; with [fleet], set only fleet.instances"
        problems.add("process.instances", text)
    addresses = [
        ("bind", table.bind),
        *([("advertise", table.advertise)] if table.advertise else []),
        *(("seeds", seed) for seed in table.seeds),
    ]
    for key, text in addresses:
        try:
            host, port = read_address(text)
            ipaddress.IPv4Address(host)
        except ValueError as problem:
            problems.add(f"fleet.{key}", f"{text!r}: {problem}; expected an IPv4 address and a port")
            continue
        if key != "bind" and (port == 0 or host == "0.0.0.0"):
            problems.add(f"fleet.{key}", f"{text!r} is not an address that other instances can reach")
    if table.advertise is None and (table.bind.startswith("0.0.0.0:") or table.bind.endswith(":0")):
        problems.add(
            "fleet.advertise",
            f"bind = {table.bind!r} is not an address that other instances can reach; set one here",
        )
    _check_voters(table, values.get("store") is not None, problems)
    if table.voters and values.get("management") is None:
        problems.add(
            "fleet.voters",
            "vote on operators' changes, which arrive by [management]; add [management] with a socket",
        )
    if not (folder / table.key_file).is_file():
        text = "is not a file; `openssl rand -hex 32` makes a key"
        problems.add("fleet.key_file", f"{table.key_file!r} in {folder} {text}")


def _check_voters(table: FleetTable, has_store: bool, problems: Problems) -> None:
    if table.name in table.voters and not has_store:
        problems.add(
            "fleet.voters", f"{table.name!r} is a voter, and its votes need a [store] that outlasts restarts"
        )
    if len(set(table.voters)) != len(table.voters) or len(table.voters) > MAX_VOTERS:
        problems.add(
            "fleet.voters",
            f"expected each name once and at most {MAX_VOTERS}, found {len(table.voters)}; five or seven are usual",
        )
    if table.stale_most < 1.0:
        problems.add(
            "fleet.stale_most",
            f"{table.stale_most:g}s; expected at least 1s, so that some messages may be lost",
        )


def _check_class(cls: ClassTable, problems: Problems) -> None:
    at = f"class[{cls.name}]"
    if not 0 < cls.aim <= cls.deadline:
        problems.add(
            f"{at}.aim", f"{cls.aim:g}s; expected over 0s and at most the deadline of {cls.deadline:g}s"
        )
    if cls.effect == "keyed" and cls.dedup_window <= 0:
        problems.add(
            f"{at}.dedup_window", "missing; a keyed class needs the time for which its members drop repeats"
        )
    if cls.effect != "keyed" and cls.dedup_window > 0:
        problems.add(f"{at}.dedup_window", f'goes with effect = "keyed", and this class is {cls.effect}')


def _check_remembered_keys(values: Mapping[str, Any], problems: Problems) -> None:
    """Check classes with `remember`: they need a store, an idempotency key and answers that are buffered whole."""
    remembered = {cls.name for cls in _readable(values, "class_") if cls.remember > 0}
    streams = {pool.name for pool in _readable(values, "pool") if pool.limits.answer_stream}
    platform = {pool.name for pool in _readable(values, "pool") if pool.dialect == "platform"}
    for cls in _readable(values, "class_"):
        if cls.name in remembered and cls.effect != "keyed":
            problems.add(
                f"class[{cls.name}].remember", f'goes with effect = "keyed", and this class is {cls.effect}'
            )
        if cls.name in remembered and values.get("store") is None:
            problems.add(
                f"class[{cls.name}].remember", "needs a [store] with a folder that outlasts restarts"
            )
    for route in _readable(values, "route"):
        if (route.write_class or route.class_) in remembered:
            if route.pool in streams:
                problems.add(
                    f"route[{route.name}].pool",
                    f"pool {route.pool!r} has answer_stream, and a remembered "
                    "answer is judged whole; remove answer_stream",
                )
            if route.pool in platform:
                problems.add(f"route[{route.name}].pool", "the platform's dialect does not remember keys")


def _check_pool(pool: PoolTable, folder: Path, problems: Problems) -> None:
    at = f"pool[{pool.name}]"
    sources = [k for k in ("member", "members_file", "discovery") if getattr(pool, k)]
    if len(sources) != 1:
        found = " and ".join(sources) or "none of them"
        problems.add(
            at, f"members come from one of [[pool.member]], members_file and discovery; found: {found}"
        )
    check_members(pool.member, f"{at}.", problems)
    if pool.discovery is not None:
        try:
            read_address(pool.discovery)
        except ValueError as problem:
            problems.add(f"{at}.discovery", str(problem))
    if pool.members_file is not None:
        try:
            read_members_file(folder / pool.members_file)
        except ConfigError as error:
            problems.found.extend(error.problems)
    _check_protocol(pool, at, problems)
    _check_retries(pool, at, problems)


def _check_retries(pool: PoolTable, at: str, problems: Problems) -> None:
    _check_causes(pool.repeats.on, f"{at}.repeats.on", problems)
    for key in ("hedge_after", "hedge_percentile"):
        if getattr(pool.repeats, key) is not None and not pool.limits.second_copies:
            problems.add(f"{at}.repeats.{key}", "goes with limits.second_copies = true")
    if pool.repeats.header is not None and pool.dialect == "platform":
        problems.add(f"{at}.repeats.header", 'goes with dialect = "http"')
    for key in ("attempt_time", "hedge_after"):
        if (time := getattr(pool.repeats, key)) is not None and time <= 0:
            problems.add(
                f"{at}.repeats.{key}", f"{time:g}s; expected a time over 0s; leave the key out for no limit"
            )


def _check_causes(causes: Sequence[str], at: str, problems: Problems) -> None:
    known = ", ".join(RETRY_CAUSES)
    for cause in causes:
        if cause not in RETRY_CAUSES and not (cause.isdigit() and 500 <= int(cause) <= 599):
            problems.add(at, f"{cause!r} is none of {known} and not a status from 500 to 599")


def _check_protocol(pool: PoolTable, at: str, problems: Problems) -> None:
    if pool.fastcgi is not None and pool.protocol != "fastcgi":
        problems.add(f"{at}.fastcgi", 'goes with protocol = "fastcgi"; remove it, or set that protocol')
    if pool.close_delimited and pool.protocol == "fastcgi":
        problems.add(f"{at}.close_delimited", "goes with HTTP/1.1; a FastCGI answer ends with END_REQUEST")
    if pool.dialect == "platform":
        for key in ("refusal_header", "load_header", "close_delimited"):
            if getattr(pool, key):
                problems.add(
                    f"{at}.{key}", 'the platform\'s dialect has its own; remove it, or set dialect = "http"'
                )


def _check_route(
    route: RouteTable, declared: Mapping[str, set[str]], effects: Mapping[str, str], problems: Problems
) -> None:
    at = f"route[{route.name}]"
    _check_destination(route, at, problems)
    for key, name, kind in (
        ("pool", route.pool, "pool"),
        ("class", route.class_, "class"),
        ("write_class", route.write_class, "class"),
        ("tenant", route.tenant, "tenant"),
        *(("plugins", name, "plugin") for name in route.plugins),
    ):
        if name is not None and name not in declared[kind]:
            existing = ", ".join(sorted(declared[kind])) or "none"
            problems.add(f"{at}.{key}", f"there is no [[{kind}]] named {name!r}; there are: {existing}")
    if route.write_class is not None:
        if effects.get(route.write_class) == "safe":
            problems.add(
                f"{at}.write_class", f"{route.write_class!r} is safe; expected a keyed or unsafe class"
            )
        if route.class_ is not None and effects.get(route.class_, "safe") != "safe":
            problems.add(
                f"{at}.write_class", f"class {route.class_!r} is not safe and serves all methods already"
            )
    _check_causes(route.repeat_on or (), f"{at}.repeat_on", problems)
    if route.deadline is not None and route.deadline <= 0:
        problems.add(f"{at}.deadline", f"{route.deadline:g}s; expected a time over 0s")
    if route.sticky is not None and not (route.sticky.cookie or route.sticky.path_parameter):
        problems.add(f"{at}.sticky", "expected a cookie or a path_parameter, found neither")
    try:
        check_rule(rule_of(route))
    except RuleError as problem:
        problems.add(f"{at}.{problem.key}", str(problem))


def _check_destination(route: RouteTable, at: str, problems: Problems) -> None:
    if (route.pool is None) == (route.status is None):
        found = "both" if route.pool is not None else "neither"
        problems.add(f"{at}.pool", f"expected either a pool or a status to answer with; found: {found}")
    if route.rewrite is None:
        return
    if route.prefix is None and route.path is None:
        problems.add(f"{at}.rewrite", "goes with prefix or path, which it replaces")
    try:
        normalized = normal_path(route.rewrite)
    except TargetError as problem:
        problems.add(f"{at}.rewrite", f"{route.rewrite!r}: {problem}")
    else:
        if normalized != route.rewrite:
            problems.add(f"{at}.rewrite", f"{route.rewrite!r} is not in normal form; write {normalized!r}")


def _check_conflicts(routes: Sequence[RouteTable], problems: Problems) -> None:
    """Check each route against those before it, and report all conflicts rather than only the first."""
    table = Routes([])
    for route in routes:
        try:
            table.add(rule_of(route))
        except ConflictError as problem:
            problems.add(f"route[{route.name}]", str(problem))
        except RuleError:
            pass  # _check_route has reported it


def _check_listener(listener: ListenerTable, routes: set[str], tenants: set[str], problems: Problems) -> None:
    at = f"listener[{listener.name}]"
    try:
        read_address(listener.address)
    except ValueError as problem:
        problems.add(f"{at}.address", str(problem))
    for name in listener.routes or ():
        if name not in routes:
            existing = ", ".join(sorted(routes)) or "none"
            problems.add(f"{at}.routes", f"there is no [[route]] named {name!r}; there are: {existing}")
    if listener.routes == []:
        problems.add(
            f"{at}.routes", "is empty; name at least one route, or leave the key out for all of them"
        )
    _check_admission(listener, at, problems)
    if listener.tls is not None:
        _check_tls(listener, listener.tls, f"{at}.tls", problems)
        for tenant in set(listener.tls.tenants.values()) - tenants:
            existing = ", ".join(sorted(tenants)) or "none"
            problems.add(
                f"{at}.tls.tenants", f"there is no [[tenant]] named {tenant!r}; there are: {existing}"
            )
    if listener.ready_path is not None and not listener.ready_path.startswith("/"):
        problems.add(f"{at}.ready_path", f"{listener.ready_path!r} is not a path, such as /ready")


def _check_tls(listener: ListenerTable, table: ListenerTlsTable, at: str, problems: Problems) -> None:
    if not table.certificate:
        problems.add(f"{at}.certificate", "expected at least one pair of chain and key, found none")
    if (table.clients == "none") != (not table.client_roots):
        problems.add(f"{at}.client_roots", 'go with clients = "optional" or "required"')
    for key in ("client_revoked", "tenants"):
        if getattr(table, key) and table.clients == "none":
            problems.add(f"{at}.{key}", 'goes with clients = "optional" or "required"')
    if listener.proxy_protocol_from:
        problems.add(f"{at}", "a PROXY header before a TLS handshake is not read; remove proxy_protocol_from")
    if listener.address.startswith("unix:"):
        problems.add(f"{at}", "goes with a TCP address; a Unix socket is protected by its permissions")


def _check_admission(listener: ListenerTable, at: str, problems: Problems) -> None:
    admission = listener.admission or AdmissionTable()
    for key, networks in (
        ("trusted", listener.trusted),
        ("proxy_protocol_from", listener.proxy_protocol_from),
        ("admission.known", admission.known),
        ("admission.exempt", admission.exempt),
    ):
        for network in networks:
            try:
                ipaddress.ip_network(network)
            except ValueError:
                problems.add(f"{at}.{key}", f"{network!r} is not a network, such as 10.0.0.0/8")
    if admission.reserve and not admission.known:
        problems.add(
            f"{at}.admission.reserve", "reserves slots for the networks in known; name some, or remove it"
        )
    if admission.known and not admission.reserve:
        problems.add(f"{at}.admission.known", "reserves nothing; give reserve, such as 0.25, or use exempt")


def _check_overlap(listeners: Sequence[ListenerTable], problems: Problems) -> None:
    bound: list[tuple[str, int, str]] = []
    for listener in listeners:
        try:
            host, port = read_address(listener.address)
        except ValueError:
            continue
        for other_host, other_port, name in bound:
            same_address = port == other_port and host == other_host and (port or host.startswith("unix:"))
            if same_address or (port and port == other_port and "0.0.0.0" in (host, other_host)):
                problems.add(
                    f"listener[{listener.name}].address",
                    f"{listener.address} overlaps with listener {name!r} at {other_host}:{other_port}",
                )
        bound.append((host, port, listener.name))
