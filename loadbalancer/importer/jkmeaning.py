"""What mod_jk's workers and mounts mean: pools and rules, with a fate for each property. Pure.

mod_jk speaks AJP to ports that speak nothing else. A worker of type ajp13 is carried over only where the caller says
which HTTP port stands beside its AJP port (`--connector 8009=8080`); otherwise its type is named, and nothing is
guessed.

Order of mounts: whole paths, then patterns by length, the longest first; an exclusion stands above the mounts of its
worker.
"""

from __future__ import annotations

from typing import Iterable, Mapping

from loadbalancer.importer.fates import JK_BALANCER, JK_MOUNT, JK_WORKER, Entry
from loadbalancer.importer.jk import Mount, Property, Workers, names
from loadbalancer.importer.meaning import Target
from loadbalancer.importer.order import Kind, Rule
from loadbalancer.importer.report import Fate, Report
from loadbalancer.importer.setup import Member, Names, Pool, Setup, fit
from loadbalancer.importer.source import Place
from loadbalancer.importer.workers import BadValueError, Balancer, Hosts, number, session_name

#: mod_jk's own figures: AJP's port, and the session's names of servlet containers.
PORT, COOKIE, PARAMETER = "8009", "JSESSIONID", "jsessionid"
#: Two attempts, as mod_jk's retries has it.
RETRIES = 2
#: References from one worker to another.
REFERENCES_MOST = 10
#: Properties in milliseconds and in seconds of which the least of the members holds for the pool.
LEAST_MS = {"socket_connect_timeout": "connect_timeout", "reply_timeout": "deadline"}
LEAST_S = {"socket_timeout": "deadline", "connection_pool_timeout": "idle_close"}
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


def truth(value: str) -> bool:
    word = value.lower()
    if word in ("1", "true", "t", "yes", "y", "on"):
        return True
    if word in ("0", "false", "f", "no", "n", "off"):
        return False
    raise BadValueError(f"{value!r}: true or false is wanted")


class JkMeaning:
    """Reads the workers once, then any number of maps."""

    def __init__(
        self, report: Report, hosts: Hosts, connectors: Mapping[str, str], setup: Setup, names_: Names
    ) -> None:
        """`connectors`: HTTP ports by the AJP ports beside them."""
        self.report, self.hosts, self.connectors = report, hosts, connectors
        self.setup, self.names = setup, names_
        self.by_worker: dict[str, dict[str, Property]] = {}
        self.balancers: dict[str, Balancer] = {}
        self._told: set[tuple[Place, str]] = set()

    # Workers.

    def read(self, workers: Workers) -> None:
        self.by_worker = workers.by_worker()
        kinds = {name: self._value(name, "type") or "ajp13" for name in self.by_worker if name}
        held = {member for name, kind in kinds.items() if kind == "lb" for member in self._members(name)}
        self._general(workers)
        for name, kind in kinds.items():
            if kind == "lb" and name in held:
                self._refuse(name, f"{name} is a balancer and a member of one; two names are wanted")
            elif kind == "lb":
                self._balancer(name)
            elif kind in ("ajp13", "ajp14"):
                if name not in held:
                    self._alone(name)
            else:
                self._refuse(name, f"type {kind}: lb, ajp13 or ajp14 is wanted")
        for one in workers.properties:  # whatever nobody has met
            if one.worker and (one.place, one.name) not in self._told:
                entry = (JK_BALANCER if kinds.get(one.worker) == "lb" else JK_WORKER).get(one.key)
                self._tell(one, *(entry or Entry(Fate.NONE, "is no property of a worker that mod_jk has")))

    def _general(self, workers: Workers) -> None:
        """The lines that are no worker's."""
        for one in workers.properties:
            if one.worker:
                continue
            if one.name == "worker.list":
                self._tell(one, Fate.CARRIED, "what is mounted is carried over, listed or not")
            elif one.name == "worker.maintain":
                self._tell(one, Fate.DIFFERENT, "members are looked after all the time")
            elif one.name.startswith("worker."):
                self._tell(one, Fate.NONE, "is no property that mod_jk has")
            else:
                self._tell(one, Fate.CARRIED, "a variable")

    def _own(self, worker: str) -> dict[str, Property]:
        """A worker's properties, those that it refers to below them."""
        found: dict[str, Property] = {}
        name, seen = worker, 0
        while name and seen < REFERENCES_MOST:
            mine = self.by_worker.get(name, {})
            found = {**mine, **found}
            reference = mine.get("reference")
            name = reference.value.removeprefix("worker.") if reference is not None else ""
            seen += 1
        if name:
            raise BadValueError(f"worker {worker} refers to others without end")
        return found

    def _value(self, worker: str, key: str) -> str:
        try:
            one = self._own(worker).get(key)
        except BadValueError:
            return ""
        return one.value if one is not None else ""

    def _members(self, worker: str) -> list[str]:
        return names(self._value(worker, "balance_workers") + "," + self._value(worker, "balanced_workers"))

    def _tell(self, one: Property, fate: Fate, text: str = "") -> None:
        self._told.add((one.place, one.name))
        self.report.add(one.place, one.name, fate, text)

    def _refuse(self, worker: str, why: str) -> None:
        for one in self.by_worker[worker].values():
            self._tell(one, Fate.NONE, why)

    def _balancer(self, worker: str) -> None:
        pool = Pool(self.names.new(worker), attempts=RETRIES)
        balancer = Balancer(pool, Place("", 0), "", cookie=COOKIE, parameter=PARAMETER)
        for one in self._own(worker).values():
            entry = JK_BALANCER.get(one.key)
            if entry is None:
                self._tell(one, Fate.NONE, "is no property of a balancer that mod_jk has")
                continue
            try:
                fate, text = self._take_balancer(balancer, one, entry)
            except BadValueError as problem:
                fate, text = Fate.NONE, str(problem)
            self._tell(one, fate, text)
        self.setup.pools[pool.name] = pool
        self.balancers[worker] = balancer
        for name in self._members(worker):
            if name in self.by_worker:
                self._member(balancer, name)
            else:
                own = self._own(worker)
                place = (own.get("balance_workers") or own["balanced_workers"]).place
                self.report.add(place, "balance_workers", Fate.NONE, "there is no such worker", name)
        balancer.finish()

    def _take_balancer(self, balancer: Balancer, one: Property, entry: Entry) -> Entry:
        if one.key == "sticky_session" and not truth(one.value):
            balancer.cookie = ""
        elif one.key == "sticky_session_force":
            balancer.bound = truth(one.value)
        elif one.key == "session_cookie" and balancer.cookie:
            balancer.cookie = one.value
        elif one.key == "session_path":
            balancer.parameter = one.value
        elif one.key == "retries":
            balancer.pool.attempts = number(one.value, 1 << 20)
        elif one.key == "method":
            return _method(one.value)
        return entry

    def _alone(self, worker: str) -> None:
        """A worker that is mounted without a balancer."""
        pool = Pool(self.names.new(worker), attempts=RETRIES)
        balancer = Balancer(pool, Place("", 0), "")
        self.setup.pools[pool.name] = pool
        self.balancers[worker] = balancer
        self._member(balancer, worker)

    def _member(self, balancer: Balancer, worker: str) -> None:
        member = Member(fit(worker), "", route=worker if fit(worker) != worker else None)
        try:
            own = self._own(worker)
            member.address = self._address(own, worker)
        except BadValueError as problem:
            self._refuse(worker, str(problem))
            return
        for one in own.values():
            entry = JK_WORKER.get(one.key)
            if entry is None:
                self._tell(one, Fate.NONE, "is no property of a worker that mod_jk has")
                continue
            try:
                fate, text = self._take(balancer.pool, member, one, entry)
            except BadValueError as problem:
                fate, text = Fate.NONE, str(problem)
            self._tell(one, fate, text)
        balancer.pool.members.append(member)
        balancer.origins.append(f"http://{member.address}")

    def _address(self, own: Mapping[str, Property], worker: str) -> str:
        """BadValueError where the host is a name, or nobody says which HTTP port is beside the AJP port."""
        host = own["host"].value if "host" in own else "localhost"
        host, colon, within = host.partition(":")
        port = own["port"].value if "port" in own else within if colon else PORT
        address = self.hosts.address(host)
        if address is None:
            raise BadValueError(f"{host!r} is a name; say --resolve {host}=ADDRESS")
        if port not in self.connectors:
            raise BadValueError(
                f"worker {worker} speaks AJP at port {port}, which has no equivalent; say --connector {port}=HTTPPORT"
            )
        return f"{address}:{self.connectors[port]}"

    def _take(self, pool: Pool, member: Member, one: Property, entry: Entry) -> Entry:
        key, value = one.key, one.value
        if key == "type":
            return Entry(Fate.DIFFERENT, f"HTTP at {member.address}, as --connector says")
        if key in LEAST_MS or key in LEAST_S:
            name, scale = (LEAST_MS[key], 1e-3) if key in LEAST_MS else (LEAST_S[key], 1.0)
            if time := number(value, 1 << 31) * scale:  # 0 is without end
                pool.least(name, max(1.0, time) if name == "idle_close" else time)
        elif key == "lbfactor":
            member.weight = float(number(value, 1 << 20))
            if not member.weight:
                raise BadValueError("0 is no weight; activation=S takes a worker out")
        elif key in ("route", "redirect", "domain"):
            setattr(member, key, session_name(value))
        elif key == "distance":
            member.set = number(value, 1 << 20)
        elif key in ("activation", "disabled", "stopped"):
            self._state(member, key, value)
        elif key == "connection_pool_size":
            pool.least("idle_connections", number(value, 1 << 20))
        return entry

    @staticmethod
    def _state(member: Member, key: str, value: str) -> None:
        if key == "activation":
            if value.lower() not in STATES:
                raise BadValueError(f"{value!r}: A, D or S is wanted")
            member.state = STATES[value.lower()]
        elif truth(value) and member.state != "stopped":
            member.state = "stopped" if key == "stopped" else "draining"

    # Mounts.

    def rules(self, mounts: Iterable[Mount], told: bool) -> list[Rule]:
        """Rules in the order in which they count. `told`: the mounts are httpd's directives, which have their lines."""
        excluded: list[tuple[tuple[int, ...], Rule]] = []
        found: list[tuple[tuple[int, ...], Rule]] = []
        for mount in mounts:
            fate, text, rule = self._mount(mount)
            if not told or fate == Fate.NONE:
                self.report.add(
                    mount.place, f"{'!' * mount.excluded}{mount.pattern}={mount.worker}", fate, text
                )
            if rule is not None:
                rank = (rule.kind != Kind.EXACT, -len(mount.pattern))
                (excluded if mount.excluded else found).append((rank, rule))
        return [rule for _, rule in [*sorted(excluded, key=_rank), *sorted(found, key=_rank)]]

    def _mount(self, mount: Mount) -> tuple[Fate, str, Rule | None]:
        fates = [self._option(mount, name, value) for name, value in mount.options.items()]
        if "-" in mount.options:
            return Fate.CARRIED, JK_MOUNT["-"].text, None
        if Fate.NONE in fates:
            return Fate.NONE, "an extension of it has none", None
        try:
            kind, path, ending = _pattern(mount.pattern)
        except BadValueError as problem:
            return Fate.NONE, str(problem), None
        if mount.excluded:
            if mount.worker != "*" and len(self.balancers) > 1:
                return (
                    Fate.DIFFERENT,
                    "answers 404, also where another worker is mounted below it",
                    Rule(kind, path, None, ending),
                )
            return (
                Fate.DIFFERENT,
                "answers 404; httpd would serve files of its own",
                Rule(kind, path, None, ending),
            )
        balancer = self.balancers.get(mount.worker)
        if balancer is None:
            return Fate.NONE, f"there is no worker {mount.worker} that could be carried over", None
        return (
            Fate.CARRIED,
            f"to pool {balancer.pool.name}",
            Rule(kind, path, Target(balancer, "" if path == "/" else path, path, mount.place), ending),
        )

    def _option(self, mount: Mount, name: str, value: str) -> Fate:
        if name == "-":
            return Fate.CARRIED
        entry = JK_MOUNT.get(name, Entry(Fate.NONE, "is no extension that mod_jk has"))
        fate, text = entry
        if name in ("sticky_ignore", "session_cookie", "session_path"):  # they are of the pool here
            fate, text = Fate.NONE, "sessions by rule; give the rule a balancer of its own"
        self.report.add(mount.place, mount.pattern, fate, text, f"{name}={value}")
        return fate


def _rank(pair: tuple[tuple[int, ...], Rule]) -> tuple[int, ...]:
    return pair[0]


def _method(value: str) -> Entry:
    method = METHODS.get(value.lower())
    if method == "r":
        return Entry(Fate.CARRIED, "a draw by weight")
    if method == "b":
        return Entry(
            Fate.DIFFERENT, "two are drawn by weight, and what is in flight at each decides between them"
        )
    if method is None:
        raise BadValueError(f"{value!r}: R, S, N, T or B is wanted")
    return Entry(Fate.NONE, f"{value}: splits by what this proxy does not count; R would be carried over")


def _pattern(pattern: str) -> tuple[Kind, str, str]:
    """What a mount takes: a path, `/path/*`, `/path/*.end` or `*.end`."""
    text = pattern if pattern.startswith("/") else f"/{pattern}"
    if "?" in text or text.count("*") > 1:
        raise BadValueError(
            f"{pattern!r}: a path, /path/* or /path/*.end is wanted; other patterns are not routed by"
        )
    if "*" not in text:
        if text != "/" and text.endswith("/"):
            raise BadValueError(f"{pattern!r}: a path that ends with a slash and nothing behind it")
        return Kind.EXACT, text, ""
    head, _, ending = text.partition("*")
    if not head.endswith("/") or (ending and not ending.startswith(".")):
        raise BadValueError(f"{pattern!r}: * may stand for whole segments, or before an ending such as .jsp")
    path = head.rstrip("/") or "/"
    if ending:
        return Kind.ENDS, path, ending
    return (Kind.TREE if path == "/" else Kind.UNDER), path, ""
