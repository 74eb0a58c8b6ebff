"""What must hold between the tables of a file: names that exist, once; one source of members; no overlap.

Works on what could be read, so that one wrong value hides no other mistake.
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

#: Ends of attempts after which another may follow, beside statuses.
CAUSES = ("connect", "reset", "timeout", "refused")
#: Instances that vote on operators' words at most.
VOTERS_MOST = 64
#: Lists of a file, by the key that they stand under.
LISTS = {
    "class": "class_", "tenant": "tenant", "plugin": "plugin", "pool": "pool", "route": "route", "listener": "listener",
}  # fmt: skip


def rule_of(route: RouteTable) -> Rule:
    """A route as the table of routes takes it."""
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


def _names(box: Mapping[str, Any], key: str) -> set[str]:
    """Names as they stand, also those of entries that can't be read: they do not dangle."""
    entries = box.get(key)
    if not isinstance(entries, list):
        return set()
    return {e["name"] for e in entries if isinstance(e, dict) and isinstance(e.get("name"), str)}


def check(values: Mapping[str, Any], box: Mapping[str, Any], folder: Path, problems: Problems) -> None:
    """Note all that does not fit together. `folder`: where relative names of files are looked for."""
    for key in LISTS:
        _check_once(box, key, problems)
    for cls in _read(values, "class_"):
        _check_class(cls, problems)
    for pool in _read(values, "pool"):
        _check_pool(pool, folder, problems)
    for plugin in _read(values, "plugin"):
        if not (folder / plugin.file).is_file():
            problems.add(f"plugin[{plugin.name}].file", f"{plugin.file!r} is no file in {folder}")
    routes = list(_read(values, "route"))
    _check_remembered(values, problems)
    _check_management(values.get("management"), problems)
    _check_fleet(values, folder, problems)
    known = {key: _names(box, key) for key in LISTS}
    effects = {
        cls.name: cls.effect for cls in reversed([*_read(values, "class_")])
    }  # of two, the first counts
    for route in routes:
        _check_route(route, known, effects, problems)
    _check_conflicts(routes, problems)
    listeners = list(_read(values, "listener"))
    for listener in listeners:
        _check_listener(listener, known["route"], known["tenant"], problems)
    _check_overlap(listeners, problems)
    for key in ("pool", "route", "listener"):
        if values.get(key) == [] and box.get(key) == []:
            problems.add(key, f"at least one [[{key}]] is wanted")


def _read(values: Mapping[str, Any], name: str) -> Iterable[Any]:
    return (entry for entry in values.get(name) or () if entry is not None)


def _check_once(box: Mapping[str, Any], key: str, problems: Problems) -> None:
    seen: dict[str, int] = {}
    entries = box.get(key)
    for number, entry in enumerate(entries if isinstance(entries, list) else ()):
        name = entry.get("name") if isinstance(entry, dict) else None
        if not isinstance(name, str):
            continue
        if name in seen:
            problems.add(
                f"{key}[{number}].name", f"{name!r} is the name of {key}[{seen[name]}] too; names are one"
            )
        seen.setdefault(name, number)


def _check_management(table: ManagementTable | None, problems: Problems) -> None:
    """Who may call by TCP is known by a token, and it does not pass in the clear."""
    if not isinstance(table, ManagementTable):
        return
    if (table.address is None) != (table.tokens is None):
        problems.add("management.address", "goes with tokens, the file of those who may call by it")
    if table.address is None:
        return
    try:
        host, _ = read_address(table.address)
    except ValueError as problem:
        problems.add("management.address", str(problem))
        return
    if not host.startswith("127."):
        text = (
            f"{host}: tokens would pass in the clear; an address of 127.0.0.0/8 is wanted, or the Unix socket"
        )
        problems.add("management.address", text)


def _check_fleet(values: Mapping[str, Any], folder: Path, problems: Problems) -> None:
    table: FleetTable | None = values.get("fleet")
    process: ProcessTable | None = values.get("process")
    if not isinstance(table, FleetTable):
        return
    if process is not None and process.instances not in (1, table.instances):
        text = f"{process.instances}, and fleet.instances says {table.instances}; with [fleet] it stands there alone"
        problems.add("process.instances", text)
    named = [
        ("bind", table.bind),
        *([("advertise", table.advertise)] if table.advertise else []),
        *(("seeds", seed) for seed in table.seeds),
    ]
    for key, text in named:
        try:
            host, port = read_address(text)
            ipaddress.IPv4Address(host)
        except ValueError as problem:
            problems.add(f"fleet.{key}", f"{text!r}: {problem}; an IPv4 address and a port are wanted")
            continue
        if key != "bind" and (port == 0 or host == "0.0.0.0"):
            problems.add(f"fleet.{key}", f"{text!r} is nowhere that others can reach")
    if table.advertise is None and (table.bind.startswith("0.0.0.0:") or table.bind.endswith(":0")):
        problems.add(
            "fleet.advertise", f"bind = {table.bind!r} is nowhere that others can reach; say what is"
        )
    _check_voters(table, values.get("store") is not None, problems)
    if table.voters and values.get("management") is None:
        problems.add(
            "fleet.voters",
            "decide on what operators say, and operators speak by [management]; give it a socket",
        )
    if not (folder / table.key_file).is_file():
        text = "is no file; `openssl rand -hex 32` makes a key"
        problems.add("fleet.key_file", f"{table.key_file!r} in {folder} {text}")


def _check_voters(table: FleetTable, has_store: bool, problems: Problems) -> None:
    if table.name in table.voters and not has_store:
        problems.add(
            "fleet.voters", f"{table.name!r} votes, and its votes need a [store] that outlasts restarts"
        )
    if len(set(table.voters)) != len(table.voters) or len(table.voters) > VOTERS_MOST:
        problems.add("fleet.voters", f"each name once, at most {VOTERS_MOST}; five or seven are usual")
    if table.stale_most < 1.0:
        problems.add(
            "fleet.stale_most",
            f"{table.stale_most:g}s; at least 1s is wanted, so that some words may be lost",
        )


def _check_class(cls: ClassTable, problems: Problems) -> None:
    at = f"class[{cls.name}]"
    if not 0 < cls.aim <= cls.deadline:
        problems.add(f"{at}.aim", f"{cls.aim:g}s is not over 0 and within the deadline of {cls.deadline:g}s")
    if cls.effect == "keyed" and cls.dedup_window <= 0:
        problems.add(f"{at}.dedup_window", "a keyed class needs the time for which its members drop repeats")
    if cls.effect != "keyed" and cls.dedup_window > 0:
        problems.add(f"{at}.dedup_window", f'goes with effect = "keyed", and this class is {cls.effect}')


def _check_remembered(values: Mapping[str, Any], problems: Problems) -> None:
    """What is remembered needs a store, a key, and answers that are judged whole."""
    remembered = {cls.name for cls in _read(values, "class_") if cls.remember > 0}
    streams = {pool.name for pool in _read(values, "pool") if pool.limits.answer_stream}
    platform = {pool.name for pool in _read(values, "pool") if pool.dialect == "platform"}
    for cls in _read(values, "class_"):
        if cls.name in remembered and cls.effect != "keyed":
            problems.add(
                f"class[{cls.name}].remember", f'goes with effect = "keyed", and this class is {cls.effect}'
            )
        if cls.name in remembered and values.get("store") is None:
            problems.add(
                f"class[{cls.name}].remember", "needs a [store] with a folder that outlasts restarts"
            )
    for route in _read(values, "route"):
        if (route.write_class or route.class_) in remembered:
            if route.pool in streams:
                problems.add(
                    f"route[{route.name}].pool",
                    f"pool {route.pool!r} has answer_stream, and a remembered "
                    "answer is judged whole; take answer_stream out",
                )
            if route.pool in platform:
                problems.add(f"route[{route.name}].pool", "the platform's dialect remembers no keys")


def _check_pool(pool: PoolTable, folder: Path, problems: Problems) -> None:
    at = f"pool[{pool.name}]"
    sources = [k for k in ("member", "members_file", "discovery") if getattr(pool, k)]
    if len(sources) != 1:
        given = " and ".join(sources) or "none of them"
        problems.add(
            at, f"members come from one of [[pool.member]], members_file and discovery; given: {given}"
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
    _check_repeats(pool, at, problems)


def _check_repeats(pool: PoolTable, at: str, problems: Problems) -> None:
    _check_causes(pool.repeats.on, f"{at}.repeats.on", problems)
    for key in ("hedge_after", "hedge_percentile"):
        if getattr(pool.repeats, key) is not None and not pool.limits.second_copies:
            problems.add(f"{at}.repeats.{key}", "goes with limits.second_copies = true")
    if pool.repeats.header is not None and pool.dialect == "platform":
        problems.add(f"{at}.repeats.header", 'goes with dialect = "http"')
    for key in ("attempt_time", "hedge_after"):
        if (time := getattr(pool.repeats, key)) is not None and time <= 0:
            problems.add(f"{at}.repeats.{key}", "a time over 0 is wanted; leave the key out for none")


def _check_causes(causes: Sequence[str], at: str, problems: Problems) -> None:
    known = ", ".join(CAUSES)
    for cause in causes:
        if cause not in CAUSES and not (cause.isdigit() and 500 <= int(cause) <= 599):
            problems.add(at, f"{cause!r} is none of {known} and no status from 500 to 599")


def _check_protocol(pool: PoolTable, at: str, problems: Problems) -> None:
    if pool.fastcgi is not None and pool.protocol != "fastcgi":
        problems.add(f"{at}.fastcgi", 'goes with protocol = "fastcgi"; take it out, or state that')
    if pool.close_delimited and pool.protocol == "fastcgi":
        problems.add(f"{at}.close_delimited", "is of HTTP/1.1; a FastCGI answer ends with END_REQUEST")
    if pool.dialect == "platform":
        for key in ("refusal_header", "load_header", "close_delimited"):
            if getattr(pool, key):
                problems.add(
                    f"{at}.{key}", 'the platform\'s dialect has its own; take it out, or dialect = "http"'
                )


def _check_route(
    route: RouteTable, known: Mapping[str, set[str]], effects: Mapping[str, str], problems: Problems
) -> None:
    at = f"route[{route.name}]"
    _check_answer(route, at, problems)
    for key, name, kind in (
        ("pool", route.pool, "pool"),
        ("class", route.class_, "class"),
        ("write_class", route.write_class, "class"),
        ("tenant", route.tenant, "tenant"),
        *(("plugins", name, "plugin") for name in route.plugins),
    ):
        if name is not None and name not in known[kind]:
            have = ", ".join(sorted(known[kind])) or "none"
            problems.add(f"{at}.{key}", f"there is no [[{kind}]] named {name!r}; there are: {have}")
    if route.write_class is not None:
        if effects.get(route.write_class) == "safe":
            problems.add(
                f"{at}.write_class", f"{route.write_class!r} is safe; a keyed or unsafe class is wanted"
            )
        if route.class_ is not None and effects.get(route.class_, "safe") != "safe":
            problems.add(
                f"{at}.write_class", f"class {route.class_!r} is not safe and serves all methods already"
            )
    _check_causes(route.repeat_on or (), f"{at}.repeat_on", problems)
    if route.deadline is not None and route.deadline <= 0:
        problems.add(f"{at}.deadline", "a time over 0 is wanted")
    if route.sticky is not None and not (route.sticky.cookie or route.sticky.path_parameter):
        problems.add(f"{at}.sticky", "a cookie or a path_parameter is wanted")
    try:
        check_rule(rule_of(route))
    except RuleError as problem:
        problems.add(f"{at}.{problem.key}", str(problem))


def _check_answer(route: RouteTable, at: str, problems: Problems) -> None:
    if (route.pool is None) == (route.status is None):
        given = "both" if route.pool is not None else "neither"
        problems.add(f"{at}.pool", f"a pool, or a status to answer with, is wanted; given: {given}")
    if route.rewrite is None:
        return
    if route.prefix is None and route.path is None:
        problems.add(f"{at}.rewrite", "goes with prefix or path, whose place it takes")
    try:
        whole = normal_path(route.rewrite)
    except TargetError as problem:
        problems.add(f"{at}.rewrite", f"{route.rewrite!r}: {problem}")
    else:
        if whole != route.rewrite:
            problems.add(f"{at}.rewrite", f"{route.rewrite!r} is not in its one form; write {whole!r}")


def _check_conflicts(routes: Sequence[RouteTable], problems: Problems) -> None:
    """Every route against those before it: all conflicts, not the first alone."""
    table = Routes([])
    for route in routes:
        try:
            table.add(rule_of(route))
        except ConflictError as problem:
            problems.add(f"route[{route.name}]", str(problem))
        except RuleError:
            pass  # told already


def _check_listener(listener: ListenerTable, routes: set[str], tenants: set[str], problems: Problems) -> None:
    at = f"listener[{listener.name}]"
    try:
        read_address(listener.address)
    except ValueError as problem:
        problems.add(f"{at}.address", str(problem))
    for name in listener.routes or ():
        if name not in routes:
            have = ", ".join(sorted(routes)) or "none"
            problems.add(f"{at}.routes", f"there is no [[route]] named {name!r}; there are: {have}")
    if listener.routes == []:
        problems.add(f"{at}.routes", "names no route; leave the key out for all of them")
    _check_admission(listener, at, problems)
    if listener.tls is not None:
        _check_tls(listener, listener.tls, f"{at}.tls", problems)
        for tenant in set(listener.tls.tenants.values()) - tenants:
            have = ", ".join(sorted(tenants)) or "none"
            problems.add(f"{at}.tls.tenants", f"there is no [[tenant]] named {tenant!r}; there are: {have}")
    if listener.ready_path is not None and not listener.ready_path.startswith("/"):
        problems.add(f"{at}.ready_path", f"{listener.ready_path!r} is not a path, such as /ready")


def _check_tls(listener: ListenerTable, table: ListenerTlsTable, at: str, problems: Problems) -> None:
    if not table.certificate:
        problems.add(f"{at}.certificate", "at least one pair of chain and key is wanted")
    if (table.clients == "none") != (not table.client_roots):
        problems.add(f"{at}.client_roots", 'go with clients = "optional" or "required"')
    for key in ("client_revoked", "tenants"):
        if getattr(table, key) and table.clients == "none":
            problems.add(f"{at}.{key}", 'goes with clients = "optional" or "required"')
    if listener.proxy_protocol_from:
        problems.add(f"{at}", "a PROXY header ahead of a handshake is not read; take proxy_protocol_from out")
    if listener.address.startswith("unix:"):
        problems.add(f"{at}", "is for TCP; who may open a Unix socket is up to its permissions")


def _check_admission(listener: ListenerTable, at: str, problems: Problems) -> None:
    own = listener.admission or AdmissionTable()
    for key, networks in (
        ("trusted", listener.trusted),
        ("proxy_protocol_from", listener.proxy_protocol_from),
        ("admission.known", own.known),
        ("admission.exempt", own.exempt),
    ):
        for network in networks:
            try:
                ipaddress.ip_network(network)
            except ValueError:
                problems.add(f"{at}.{key}", f"{network!r} is not a network, such as 10.0.0.0/8")
    if own.reserve and not own.known:
        problems.add(f"{at}.admission.reserve", "is for the networks in known; name some, or take it out")
    if own.known and not own.reserve:
        problems.add(f"{at}.admission.known", "reserves nothing; give reserve, such as 0.25, or use exempt")


def _check_overlap(listeners: Sequence[ListenerTable], problems: Problems) -> None:
    taken: list[tuple[str, int, str]] = []
    for listener in listeners:
        try:
            host, port = read_address(listener.address)
        except ValueError:
            continue
        for other_host, other_port, name in taken:
            same = port == other_port and host == other_host and (port or host.startswith("unix:"))
            if same or (port and port == other_port and "0.0.0.0" in (host, other_host)):
                problems.add(
                    f"listener[{listener.name}].address",
                    f"{listener.address} overlaps with listener {name!r} at {other_host}:{other_port}",
                )
        taken.append((host, port, listener.name))
