"""Translates the workers and mounts of mod_jk into pools and rules, and reports each property. No I/O.

mod_jk speaks AJP to ports that accept only AJP. A worker of type ajp13 is carried over only if the caller gives the
HTTP port that belongs to its AJP port (`--connector 8009=8080`). Otherwise its properties are reported as having no
equivalent; no port is guessed.

Order of mounts: exact paths, then patterns by length, the longest first; an exclusion precedes the mounts of its
worker.
"""

from __future__ import annotations

from typing import Iterable, Mapping

from loadbalancer.importer.fates import JK_BALANCER, JK_MOUNT, JK_WORKER, Entry
from loadbalancer.importer.jk import Mount, Property, WorkerProperties, split_list
from loadbalancer.importer.meaning import Target
from loadbalancer.importer.order import Rule, RuleKind
from loadbalancer.importer.report import Outcome, Report
from loadbalancer.importer.setup import Member, Pool, Setup, UniqueNames, sanitize_name
from loadbalancer.importer.source import Position
from loadbalancer.importer.workers import (
    BadValueError,
    Balancer,
    HostAddresses,
    parse_integer,
    parse_session_name,
)

#: Defaults of mod_jk: the AJP port, and the names by which servlet containers store the session.
DEFAULT_PORT, DEFAULT_COOKIE, DEFAULT_PARAMETER = "8009", "JSESSIONID", "jsessionid"
#: Attempts per request, the default of mod_jk's retries.
DEFAULT_ATTEMPTS = 2
#: Longest chain of references from one worker to another.
MAX_REFERENCE_DEPTH = 10
#: Properties in milliseconds, and in seconds, whose minimum over the members becomes a setting of the pool.
MINIMUM_FIELDS_MS = {"socket_connect_timeout": "connect_timeout", "reply_timeout": "deadline"}
MINIMUM_FIELDS_S = {"socket_timeout": "deadline", "connection_pool_timeout": "idle_close"}
STATES = {
    "a": "serving",
    "active": "serving",
    "d": "draining",
    "disabled": "draining",
    "s": "stopped",
    "stopped": "stopped",
}
METHODS = {
    "r": "r",
    "request": "r",
    "s": "s",
    "session": "s",
    "n": "n",
    "next": "n",
    "t": "t",
    "traffic": "t",
    "b": "b",
    "busyness": "b",
}


def parse_boolean(value: str) -> bool:
    """Return the value of a boolean property; raise BadValueError if it is neither true nor false."""
    word = value.lower()
    if word in ("1", "true", "t", "yes", "y", "on"):
        return True
    if word in ("0", "false", "f", "no", "n", "off"):
        return False
    raise BadValueError(f"{value!r}: expected true or false")


class JkTranslator:
    """Translates the workers once, then any number of maps."""

    def __init__(
        self,
        report: Report,
        hosts: HostAddresses,
        connectors: Mapping[str, str],
        setup: Setup,
        unique_names: UniqueNames,
    ) -> None:
        """`connectors` maps AJP ports to the HTTP ports of the same servers."""
        self.report, self.hosts, self.connectors = report, hosts, connectors
        self.setup, self.unique_names = setup, unique_names
        self.by_worker: dict[str, dict[str, Property]] = {}
        self.balancers: dict[str, Balancer] = {}
        self._reported: set[tuple[Position, str]] = set()

    # Workers.

    def translate(self, workers: WorkerProperties) -> None:
        """Translate all workers into pools, and report each property."""
        self.by_worker = workers.by_worker()
        kinds = {name: self._value(name, "type") or "ajp13" for name in self.by_worker if name}
        member_names = {
            member for name, kind in kinds.items() if kind == "lb" for member in self._member_names(name)
        }
        self._report_general(workers)
        for name, kind in kinds.items():
            if kind == "lb" and name in member_names:
                self._reject(name, f"{name} is both a balancer and a member of one; give them two names")
            elif kind == "lb":
                self._balancer(name)
            elif kind in ("ajp13", "ajp14"):
                if name not in member_names:
                    self._single_member_balancer(name)
            else:
                self._reject(name, f"type {kind}: expected lb, ajp13 or ajp14")
        for prop in workers.properties:  # the properties that are not reported yet
            if prop.worker and (prop.position, prop.name) not in self._reported:
                entry = (JK_BALANCER if kinds.get(prop.worker) == "lb" else JK_WORKER).get(prop.key)
                self._report(prop, *(entry or Entry(Outcome.NONE, "is not a worker property of mod_jk")))

    def _report_general(self, workers: WorkerProperties) -> None:
        """Report the properties that belong to no worker."""
        for prop in workers.properties:
            if prop.worker:
                continue
            if prop.name == "worker.list":
                self._report(prop, Outcome.CARRIED, "mounted workers are carried over, listed or not")
            elif prop.name == "worker.maintain":
                self._report(prop, Outcome.DIFFERENT, "members are maintained continuously")
            elif prop.name.startswith("worker."):
                self._report(prop, Outcome.NONE, "is not a property of mod_jk")
            else:
                self._report(prop, Outcome.CARRIED, "a variable")

    def _resolved_properties(self, worker: str) -> dict[str, Property]:
        """Return the properties of a worker, which override those of the workers that it refers to."""
        found: dict[str, Property] = {}
        name, followed = worker, 0
        while name and followed < MAX_REFERENCE_DEPTH:
            mine = self.by_worker.get(name, {})
            found = {**mine, **found}
            reference = mine.get("reference")
            name = reference.value.removeprefix("worker.") if reference is not None else ""
            followed += 1
        if name:
            raise BadValueError(
                f"worker {worker}: its references form a cycle, or a chain of more than {MAX_REFERENCE_DEPTH}"
            )
        return found

    def _value(self, worker: str, key: str) -> str:
        """Return the value of a property of a worker, or an empty string if there is none."""
        try:
            prop = self._resolved_properties(worker).get(key)
        except BadValueError:
            return ""
        return prop.value if prop is not None else ""

    def _member_names(self, worker: str) -> list[str]:
        return split_list(
            self._value(worker, "balance_workers") + "," + self._value(worker, "balanced_workers")
        )

    def _report(self, prop: Property, outcome: Outcome, text: str = "") -> None:
        self._reported.add((prop.position, prop.name))
        self.report.add(prop.position, prop.name, outcome, text)

    def _reject(self, worker: str, reason: str) -> None:
        """Report all properties of a worker as having no equivalent."""
        for prop in self.by_worker[worker].values():
            self._report(prop, Outcome.NONE, reason)

    def _balancer(self, worker: str) -> None:
        pool = Pool(self.unique_names.allocate(worker), attempts=DEFAULT_ATTEMPTS)
        balancer = Balancer(pool, Position("", 0), "", cookie=DEFAULT_COOKIE, parameter=DEFAULT_PARAMETER)
        for prop in self._resolved_properties(worker).values():
            entry = JK_BALANCER.get(prop.key)
            if entry is None:
                self._report(prop, Outcome.NONE, "is not a balancer property of mod_jk")
                continue
            try:
                outcome, text = self._apply_balancer_property(balancer, prop, entry)
            except BadValueError as problem:
                outcome, text = Outcome.NONE, str(problem)
            self._report(prop, outcome, text)
        self.setup.pools[pool.name] = pool
        self.balancers[worker] = balancer
        for name in self._member_names(worker):
            if name in self.by_worker:
                self._add_member(balancer, name)
            else:
                properties = self._resolved_properties(worker)
                position = (properties.get("balance_workers") or properties["balanced_workers"]).position
                self.report.add(position, "balance_workers", Outcome.NONE, "there is no such worker", name)
        balancer.finish()

    def _apply_balancer_property(self, balancer: Balancer, prop: Property, entry: Entry) -> Entry:
        if prop.key == "sticky_session" and not parse_boolean(prop.value):
            balancer.cookie = ""
        elif prop.key == "sticky_session_force":
            balancer.bound = parse_boolean(prop.value)
        elif prop.key == "session_cookie" and balancer.cookie:
            balancer.cookie = prop.value
        elif prop.key == "session_path":
            balancer.parameter = prop.value
        elif prop.key == "retries":
            balancer.pool.attempts = parse_integer(prop.value, 1 << 20)
        elif prop.key == "method":
            return _translate_method(prop.value)
        return entry

    def _single_member_balancer(self, worker: str) -> None:
        """Make a pool of one member for a worker that belongs to no balancer."""
        pool = Pool(self.unique_names.allocate(worker), attempts=DEFAULT_ATTEMPTS)
        balancer = Balancer(pool, Position("", 0), "")
        self.setup.pools[pool.name] = pool
        self.balancers[worker] = balancer
        self._add_member(balancer, worker)

    def _add_member(self, balancer: Balancer, worker: str) -> None:
        member = Member(sanitize_name(worker), "", route=worker if sanitize_name(worker) != worker else None)
        try:
            properties = self._resolved_properties(worker)
            member.address = self._address(properties, worker)
        except BadValueError as problem:
            self._reject(worker, str(problem))
            return
        for prop in properties.values():
            entry = JK_WORKER.get(prop.key)
            if entry is None:
                self._report(prop, Outcome.NONE, "is not a worker property of mod_jk")
                continue
            try:
                outcome, text = self._apply_member_property(balancer.pool, member, prop, entry)
            except BadValueError as problem:
                outcome, text = Outcome.NONE, str(problem)
            self._report(prop, outcome, text)
        balancer.pool.members.append(member)
        balancer.origins.append(f"http://{member.address}")

    def _address(self, properties: Mapping[str, Property], worker: str) -> str:
        """Return the HTTP address of a worker; raise BadValueError if its host or its HTTP port is unknown."""
        host = properties["host"].value if "host" in properties else "localhost"
        host, colon, host_port = host.partition(":")
        port = properties["port"].value if "port" in properties else host_port if colon else DEFAULT_PORT
        address = self.hosts.resolve(host)
        if address is None:
            raise BadValueError(f"{host!r} is a host name; use --resolve {host}=ADDRESS")
        if port not in self.connectors:
            raise BadValueError(
                f"worker {worker} speaks AJP at port {port}, which has no equivalent; use --connector {port}=HTTPPORT"
            )
        return f"{address}:{self.connectors[port]}"

    def _apply_member_property(self, pool: Pool, member: Member, prop: Property, entry: Entry) -> Entry:
        key, value = prop.key, prop.value
        if key == "type":
            return Entry(Outcome.DIFFERENT, f"HTTP at {member.address}, as --connector says")
        if key in MINIMUM_FIELDS_MS or key in MINIMUM_FIELDS_S:
            name, scale = (
                (MINIMUM_FIELDS_MS[key], 1e-3) if key in MINIMUM_FIELDS_MS else (MINIMUM_FIELDS_S[key], 1.0)
            )
            if time := parse_integer(value, 1 << 31) * scale:  # 0 means no limit
                pool.set_minimum(name, max(1.0, time) if name == "idle_close" else time)
        elif key == "lbfactor":
            member.weight = float(parse_integer(value, 1 << 20))
            if not member.weight:
                raise BadValueError(f"{value!r}: expected a weight above 0; activation=S takes a worker out")
        elif key in ("route", "redirect", "domain"):
            setattr(member, key, parse_session_name(value))
        elif key == "distance":
            member.set = parse_integer(value, 1 << 20)
        elif key in ("activation", "disabled", "stopped"):
            self._apply_state(member, key, value)
        elif key == "connection_pool_size":
            pool.set_minimum("idle_connections", parse_integer(value, 1 << 20))
        return entry

    @staticmethod
    def _apply_state(member: Member, key: str, value: str) -> None:
        if key == "activation":
            if value.lower() not in STATES:
                raise BadValueError(f"{value!r}: expected A, D or S")
            member.state = STATES[value.lower()]
        elif parse_boolean(value) and member.state != "stopped":
            member.state = "stopped" if key == "stopped" else "draining"

    # Mounts.

    def rules(self, mounts: Iterable[Mount], already_reported: bool) -> list[Rule]:
        """Return the rules of mounts in order of precedence.

        `already_reported` says that the mounts come from httpd directives, which have report lines of their own.
        """
        excluded: list[tuple[tuple[int, ...], Rule]] = []
        found: list[tuple[tuple[int, ...], Rule]] = []
        for mount in mounts:
            outcome, text, rule = self._translate_mount(mount)
            if not already_reported or outcome == Outcome.NONE:
                self.report.add(
                    mount.position, f"{'!' * mount.excluded}{mount.pattern}={mount.worker}", outcome, text
                )
            if rule is not None:
                precedence = (rule.kind != RuleKind.EXACT, -len(mount.pattern))
                (excluded if mount.excluded else found).append((precedence, rule))
        return [rule for _, rule in [*sorted(excluded, key=_precedence), *sorted(found, key=_precedence)]]

    def _translate_mount(self, mount: Mount) -> tuple[Outcome, str, Rule | None]:
        outcomes = [self._report_option(mount, name, value) for name, value in mount.options.items()]
        if "-" in mount.options:
            return Outcome.CARRIED, JK_MOUNT["-"].text, None
        if Outcome.NONE in outcomes:
            return Outcome.NONE, "one of its extensions has no equivalent", None
        try:
            kind, path, suffix = _parse_pattern(mount.pattern)
        except BadValueError as problem:
            return Outcome.NONE, str(problem), None
        if mount.excluded:
            if mount.worker != "*" and len(self.balancers) > 1:
                return (
                    Outcome.DIFFERENT,
                    "answers 404, also where another worker is mounted below it",
                    Rule(kind, path, None, suffix),
                )
            return (
                Outcome.DIFFERENT,
                "answers 404; httpd would serve files of its own",
                Rule(kind, path, None, suffix),
            )
        balancer = self.balancers.get(mount.worker)
        if balancer is None:
            return Outcome.NONE, f"no worker {mount.worker} could be carried over", None
        return (
            Outcome.CARRIED,
            f"to pool {balancer.pool.name}",
            Rule(kind, path, Target(balancer, "" if path == "/" else path, path, mount.position), suffix),
        )

    def _report_option(self, mount: Mount, name: str, value: str) -> Outcome:
        if name == "-":
            return Outcome.CARRIED
        entry = JK_MOUNT.get(name, Entry(Outcome.NONE, "is not an extension of mod_jk"))
        outcome, text = entry
        if name in ("sticky_ignore", "session_cookie", "session_path"):  # settings of the whole pool here
            outcome, text = Outcome.NONE, "sessions by rule; give the rule a balancer of its own"
        self.report.add(mount.position, mount.pattern, outcome, text, f"{name}={value}")
        return outcome


def _precedence(pair: tuple[tuple[int, ...], Rule]) -> tuple[int, ...]:
    return pair[0]


def _translate_method(value: str) -> Entry:
    method = METHODS.get(value.lower())
    if method == "r":
        return Entry(Outcome.CARRIED, "a draw by weight")
    if method == "b":
        return Entry(
            Outcome.DIFFERENT, "two are drawn by weight, and what is in flight at each decides between them"
        )
    if method is None:
        raise BadValueError(f"{value!r}: expected R, S, N, T or B")
    return Entry(
        Outcome.NONE, f"{value}: balances by a measure that this proxy does not have; R would be carried over"
    )


def _parse_pattern(pattern: str) -> tuple[RuleKind, str, str]:
    """Return the kind, path and suffix of a mount: a path, `/path/*`, `/path/*.end` or `*.end`."""
    text = pattern if pattern.startswith("/") else f"/{pattern}"
    if "?" in text or text.count("*") > 1:
        raise BadValueError(f"{pattern!r}: expected a path, /path/* or /path/*.end")
    if "*" not in text:
        if text != "/" and text.endswith("/"):
            raise BadValueError(f"{pattern!r}: expected a path without a trailing slash")
        return RuleKind.EXACT, text, ""
    head, _, suffix = text.partition("*")
    if not head.endswith("/") or (suffix and not suffix.startswith(".")):
        raise BadValueError(f"{pattern!r}: * may stand for whole segments, or before an ending such as .jsp")
    path = head.rstrip("/") or "/"
    if suffix:
        return RuleKind.SUFFIX, path, suffix
    return (RuleKind.TREE if path == "/" else RuleKind.UNDER), path, ""
