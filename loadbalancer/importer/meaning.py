"""What a tree of httpd's directives means: listeners, hosts, routes, pools; each directive with its fate. Pure.

The order of things in httpd (manual, mod_proxy, "Ordering ProxyPass Directives"): a ProxyPass in a Location stands
above those outside, the most specific Location first; the others count in their order, the host's own before the
server's. order.py turns that into routes. Anything that is not known ends as having no equivalent, by name.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any, Callable, Iterable, Sequence

from loadbalancer.importer.fates import HTTPD, JK
from loadbalancer.importer.httpd import Directive
from loadbalancer.importer.jk import Mount, mounts
from loadbalancer.importer.order import Kind, Rule, TooManyError, arrange
from loadbalancer.importer.report import Fate, Report
from loadbalancer.importer.setup import Names, Pool, Setup, duration
from loadbalancer.importer.source import Place, SourceError
from loadbalancer.importer.workers import BadValueError, Balancer, Hosts, Workers, read_url, seconds
from loadbalancer.routing.rewrites import swap_prefix
from loadbalancer.routing.routes import HOST

BALANCER = "balancer://"
#: Directives that are told of by whoever meets their section, or that the parser has taken.
PLAIN = frozenset(
    (
        "define", "undefine", "include", "includeoptional", "ifmodule", "ifdefine", "ifversion", "iffile", "macro",
        "use", "undefmacro", "serverroot", "namevirtualhost",
    )
)  # fmt: skip
#: Sections that are taken with what stands in them.
SECTIONS = frozenset(("virtualhost", "location", "locationmatch", "proxy"))
MODULES = re.compile(
    r"(proxy|proxy_http|proxy_balancer|lbmethod_\w+|slotmem_\w+|jk|version|macro|so|unixd|mpm_\w+)_module"
)
#: ProxyPassMatch that is a prefix or an ending: pattern, what it takes, and how the address must go on.
UNDER = re.compile(r"\^(?P<path>(?:/[\w.~\-]+)*)/\((?:\.\*)\)\$?$")
TREE = re.compile(r"\^(?P<path>(?:/[\w.~\-]+)+)\(/\.\*\)\?\$$")
ENDS = re.compile(
    r"\^(?P<open>\()?(?P<path>(?:/[\w.~\-]+)*)/(?P<inner>\()?\.\*(?P<ending>(?:\\\.\w+)+)\)?\$$"
)


@dataclass(frozen=True, slots=True)
class Target:
    """Where a rule leads: a balancer, and the path behind its name that takes the place of `base`, the rule's own."""

    balancer: Balancer
    rest: str  # without a slash at its end
    base: str
    place: Place

    def rewrite(self, at: str) -> str | None:
        """What takes the place of `at`, the path of a route at or below the rule's; None leaves it as it is."""
        to = swap_prefix(at, self.base, ((self.balancer.path or "") + self.rest) or "/")
        return None if to == at else to


@dataclass(slots=True)
class Server:
    """One server of httpd: the main one, or a virtual host. Rules in the order in which they count."""

    name: str
    place: Place
    ports: list[str] = field(default_factory=list)
    hosts: list[str] = field(default_factory=list)
    located: list[Rule] = field(default_factory=list)  # of Locations
    rules: list[Rule] = field(default_factory=list)
    mounts: list[Mount] = field(default_factory=list)
    balancers: dict[str, Balancer] = field(default_factory=dict)
    reverse: list[tuple[str, str]] = field(default_factory=list)  # what members say, and the path instead
    cookie_paths: list[tuple[str, str]] = field(default_factory=list)
    cookie_domains: list[tuple[str, str]] = field(default_factory=list)
    timeout: float | None = None
    inherits: bool = True
    served: bool = False  # a listener is for it

    def ordered(self, main: Server | None) -> list[Rule]:
        """Its own, then the main server's."""
        more = main if main is not None and main is not self and self.inherits else None
        located = [*self.located, *(more.located if more else ())]
        located.sort(key=lambda rule: -len(rule.path))  # the most specific first, of equals the host's own
        return [*located, *self.rules, *(more.rules if more else ())]


class Meaning:
    """Reads one tree. `finish` makes the setup."""

    def __init__(self, report: Report, hosts: Hosts, listen: Sequence[str] = ()) -> None:
        """`listen`: addresses to listen at in place of the Listen lines, which fragments lack."""
        self.report, self.hosts = report, hosts
        self.workers = Workers(report, hosts)
        self.main = Server("main", Place("", 0))
        self.servers: list[Server] = []
        self.listen: list[str] = list(listen)
        self.told_listen = bool(listen)
        self.setup, self.names = Setup(), Names()
        self.jk: list[tuple[Server, Directive]] = []  # that name files and properties, for imports.py
        self.take: dict[str, Callable[[Server, Directive, str], None]] = {
            "listen": self._listen,
            "virtualhost": self._host,
            "servername": self._server_name,
            "serveralias": self._server_name,
            "location": self._location,
            "locationmatch": self._unread,
            "loadmodule": self._module,
            "proxy": self._proxy,
            "proxypass": self._pass,
            "proxypassmatch": self._pass_match,
            "proxypassreverse": self._reverse,
            "proxypassreversecookiepath": self._reverse_cookie,
            "proxypassreversecookiedomain": self._reverse_cookie,
            "balancermember": self._member,
            "proxyset": self._set,
            "proxypreservehost": self._preserve,
            "proxyrequests": self._requests,
            "proxytimeout": self._timeout,
            "timeout": self._timeout,
            "proxypassinherit": self._inherit,
            "jkmount": self._mount,
            "jkunmount": self._mount,
        }

    def read(self, tree: Iterable[Directive]) -> None:
        """All balancers first: a ProxyPass may stand before the section that it leads to."""
        tree = list(tree)
        self._sections(self.main, tree)
        for one in tree:
            self._directive(self.main, one, "")

    def _tell(self, one: Directive, fate: Fate, text: str = "", part: str = "") -> None:
        self.report.add(one.place, one.name, fate, text, part)

    def _directive(self, server: Server, one: Directive, path: str) -> None:
        """`path`: of the Location around it."""
        if one.idle:
            for each in one.walk():
                self._tell(each, Fate.CARRIED, f"not in force: {one.idle}")
            return
        taker = self.take.get(one.key)
        if taker is not None and (one.children is None or one.key in SECTIONS):
            try:
                taker(server, one, path)
            except BadValueError as problem:
                self._whole(one, str(problem))
            return
        if taker is not None:
            self._whole(one, f"{one.name} is no section")
            return
        entry = HTTPD.get(one.key) or JK.get(one.key)
        if entry is not None:
            self._tell(one, *entry)
            if one.key.startswith("jk"):
                self.jk.append((server, one))
        else:
            self._tell(one, Fate.NONE, "is no directive that this proxy has an equivalent of")
        inside = path if one.key in PLAIN else None
        for child in one.children or ():
            if inside is None:
                self._whole(child, f"in <{one.name}>")
            else:
                self._directive(server, child, inside)

    def _whole(self, one: Directive, why: str) -> None:
        """A directive, and all within, that stands where nothing can be carried over."""
        for each in one.walk():
            self._tell(each, Fate.NONE, why)

    def _unread(self, server: Server, one: Directive, path: str) -> None:
        self._tell(one, Fate.NONE, HTTPD[one.key].text)
        for child in one.children or ():
            self._whole(child, f"in <{one.name}>")

    # Listeners and hosts.

    def _listen(self, server: Server, one: Directive, path: str) -> None:
        if not 1 <= len(one.args) <= 2 or one.args[1:] not in ([], ["http"]):
            raise BadValueError(
                f"{' '.join(one.args)!r}: an address or a port, and http, is wanted; TLS is not here"
            )
        host, colon, port = one.args[0].rpartition(":")
        if not port.isdigit() or not 0 < int(port) < 65536:
            raise BadValueError(f"{one.args[0]!r} is no port or address with a port")
        address = self.hosts.address(host) if colon else "0.0.0.0"
        if address is None:
            raise BadValueError(f"{host!r} is no IPv4 address; say --resolve {host}=ADDRESS")
        if not self.told_listen:
            self.listen.append(f"{address}:{port}")
        self._tell(
            one, Fate.CARRIED, f"listener {address}:{port}" + (", by --listen" if self.told_listen else "")
        )

    def _host(self, server: Server, one: Directive, path: str) -> None:
        if server is not self.main or path:
            raise BadValueError("a <VirtualHost> within another section")
        made = Server(self.names.new(f"host{len(self.servers) + 1}"), one.place)
        made.ports = one.args or ["*"]
        self.servers.append(made)
        self._tell(one, Fate.CARRIED)
        self._sections(made, one.children or ())
        for child in one.children or ():
            self._directive(made, child, "")

    def _server_name(self, server: Server, one: Directive, path: str) -> None:
        if server is self.main or path:
            self._tell(one, Fate.CARRIED, "the main server takes all hosts that no <VirtualHost> has")
            return
        for text in one.args:
            name = text.partition("://")[2] or text
            name = name.partition(":")[0].lower()
            if not HOST.fullmatch(name) or name == "*":
                raise BadValueError(f"{text!r}: a host, or *. and a suffix, is wanted")
            server.hosts.append(name)
        self._tell(one, Fate.CARRIED, f"hosts {', '.join(one.args)}")

    def _location(self, server: Server, one: Directive, path: str) -> None:
        if path or len(one.args) != 1 or not one.args[0].startswith("/"):
            self._whole(one, "a <Location> that is not of one path outside others")
            return
        self._tell(one, Fate.CARRIED)
        for child in one.children or ():
            self._directive(server, child, one.args[0])

    def _module(self, server: Server, one: Directive, path: str) -> None:
        known = bool(one.args) and MODULES.fullmatch(one.args[0]) is not None
        self._tell(
            one, Fate.CARRIED if known else Fate.NONE, "is built in" if known else "what it does is not here"
        )

    # Balancers.

    def _sections(self, server: Server, tree: Iterable[Directive]) -> None:
        """The balancers of a server, before anything leads to them."""
        for one in tree:
            if one.idle:
                continue
            if one.key == "proxy" and one.args and one.args[0].startswith(BALANCER):
                self._balancer(server, one.args[0], one.place)
            elif one.key == "balancermember" and one.args and one.args[0].startswith(BALANCER):
                self._balancer(server, one.args[0], one.place)
            elif one.key in PLAIN:
                self._sections(server, one.children or ())

    def _balancer(self, server: Server, url: str, place: Place) -> Balancer:
        name = url[len(BALANCER) :].partition("/")[0]
        found = server.balancers.get(name.lower())
        if found is None:
            found = server.balancers[name.lower()] = Balancer(Pool(self.names.new(name)), place)
            self.setup.pools[found.pool.name] = found.pool
        return found

    def _known(self, server: Server, url: str) -> Balancer:
        """The balancer of an address: the server's own, or the main one's."""
        name = url[len(BALANCER) :].partition("/")[0]
        found = server.balancers.get(name.lower()) or self.main.balancers.get(name.lower())
        if found is None:
            raise BadValueError(f"there is no <Proxy {BALANCER}{name}>")
        return found

    def _proxy(self, server: Server, one: Directive, path: str) -> None:
        if not one.args or not one.args[0].startswith(BALANCER):
            self._whole(one, "settings for addresses that are no balancer")
            return
        balancer = self._balancer(server, one.args[0], one.place)
        self._tell(one, Fate.CARRIED, f"pool {balancer.pool.name}")
        self._in_balancer(server, balancer, one)

    def _in_balancer(self, server: Server, balancer: Balancer, one: Directive) -> None:
        for child in one.children or ():
            if child.idle:
                self._directive(server, child, "")
            elif child.key == "balancermember" and child.args:
                self.workers.member(balancer, child.place, child.args[0], child.args[1:])
            elif child.key == "proxyset":
                self._tell(child, Fate.CARRIED)
                for param in child.args:
                    self.workers.set_balancer(balancer, child.place, child.name, param)
            elif child.key in PLAIN:
                self._tell(child, *HTTPD[child.key])
                self._in_balancer(server, balancer, child)
            else:
                self._whole(child, f"in <{one.name} {' '.join(one.args)}>")

    def _member(self, server: Server, one: Directive, path: str) -> None:
        if len(one.args) < 2 or not one.args[0].startswith(BALANCER):
            raise BadValueError("outside of <Proxy balancer://...> a balancer and a member are wanted")
        self.workers.member(
            self._balancer(server, one.args[0], one.place), one.place, one.args[1], one.args[2:]
        )

    def _set(self, server: Server, one: Directive, path: str) -> None:
        if not one.args or not one.args[0].startswith(BALANCER):
            raise BadValueError("of a worker that is no balancer's; give its parameters to ProxyPass")
        balancer = self._known(server, one.args[0])
        self._tell(one, Fate.CARRIED, f"pool {balancer.pool.name}")
        for param in one.args[1:]:
            self.workers.set_balancer(balancer, one.place, one.name, param)

    # Routes.

    def _pass(self, server: Server, one: Directive, path: str) -> None:
        args = list(one.args)
        where = path or (args.pop(0) if args else "")
        if not args or not where.startswith("/"):
            raise BadValueError("a path and an address, or !, are wanted")
        kind = Kind.UNDER if where.endswith("/") and where != "/" else Kind.TREE
        bare = where.rstrip("/") or "/"
        into = server.located if path else server.rules
        if args[0] == "!":
            into.append(Rule(kind, bare, None))
            self._tell(one, Fate.DIFFERENT, f"{where} answers 404; httpd would serve files of its own there")
            return
        balancer, rest = self._led_to(server, one, args)
        if (where.endswith("/")) != (rest.endswith("/")):
            fate, joined = self._joined(where, rest)
            self._tell(one, fate, joined)
            if fate == Fate.NONE:
                return
        else:
            self._tell(one, Fate.CARRIED, f"{where} to pool {balancer.pool.name}")
        into.append(Rule(kind, bare, Target(balancer, rest.rstrip("/"), bare, one.place)))

    @staticmethod
    def _joined(where: str, rest: str) -> tuple[Fate, str]:
        """A path and an address of which one alone ends with a slash: httpd puts them together as they stand."""
        if where == "/" and rest:
            return (
                Fate.NONE,
                f"{where}x would go to {rest}x; end the address with a slash, or the path without one",
            )
        if where.endswith("/") and rest:
            return Fate.NONE, f"{where}x would go to {rest}x; end both with a slash, or none of them"
        return Fate.DIFFERENT, "the slash that the two make double is one here"

    def _led_to(self, server: Server, one: Directive, args: list[str]) -> tuple[Balancer, str]:
        """The balancer of an address and the path behind it; a member alone becomes a pool of one."""
        url, params = args[0], args[1:]
        if url.startswith(BALANCER):
            balancer = self._known(server, url)
            rest = url[len(BALANCER) :].partition("/")
            for param in params:
                self.workers.set_balancer(balancer, one.place, one.name, param)
            return balancer, rest[1] + rest[2]
        found = read_url(url, self.hosts)
        balancer = self._alone(server, found.address, one.place)
        if not balancer.pool.members:
            self.workers.member(balancer, one.place, found.origin, [])
            self.report.lines.pop()  # it is told of as the ProxyPass
        for param in params:
            self.workers.set_member(balancer, balancer.pool.members[0], one.place, one.name, param)
        return balancer, found.path + ("/" if found.slash else "")

    def _alone(self, server: Server, address: str, place: Place) -> Balancer:
        """The pool of a member that no balancer has; one for each server, since hosts set parameters of their own."""
        return self._balancer(server, f"{BALANCER}{address}", place)

    def _pass_match(self, server: Server, one: Directive, path: str) -> None:
        if path or len(one.args) < 2:
            raise BadValueError("a pattern and an address outside of <Location> are wanted")
        pattern, url, *params = one.args
        kind, bare, ending, tail = self._pattern(pattern)
        if url == "!":
            server.rules.append(Rule(kind, bare, None, ending))
            self._tell(
                one, Fate.DIFFERENT, f"{pattern} answers 404; httpd would serve files of its own there"
            )
            return
        base, dollar, group = url.partition("$")
        whole = tail == "$1" and not base.endswith("/")  # the group begins with the slash
        if dollar and (group != "1" or (not whole and not base.endswith("/"))):
            raise BadValueError(
                f"{url!r}: the address must go on with $1 alone, behind a slash or the group's own"
            )
        balancer, rest = self._led_to(server, one, [base if dollar else url, *params])
        rest = rest.rstrip("/")
        if not dollar:
            rest += bare if bare != "/" else ""  # the path goes on behind the address as it came
        elif whole and kind == Kind.ENDS:
            rest += bare if bare != "/" else ""
        server.rules.append(Rule(kind, bare, Target(balancer, rest, bare, one.place), ending))
        self._tell(one, Fate.CARRIED, f"{kind.value}, P = {bare}, to pool {balancer.pool.name}")

    @staticmethod
    def _pattern(pattern: str) -> tuple[Kind, str, str, str]:
        """What a pattern takes, where it is a prefix or an ending, and what its group begins with."""
        if match := UNDER.match(pattern):
            return (Kind.UNDER if match["path"] else Kind.TREE), match["path"] or "/", "", "/$1"
        if match := TREE.match(pattern):
            return Kind.TREE, match["path"], "", "$1"
        match = ENDS.match(pattern)
        if match is not None and bool(match["open"]) != bool(match["inner"]):
            ending = match["ending"].replace("\\", "")
            return Kind.ENDS, match["path"] or "/", ending, "$1" if match["open"] else "/$1"
        raise BadValueError(f"{pattern!r} is neither ^/path/(.*)$, nor ^/path(/.*)?$, nor ^(/path/.*\\.end)$")

    # Answers.

    def _reverse(self, server: Server, one: Directive, path: str) -> None:
        args = [arg for arg in one.args if arg.lower() not in ("interpolate",)]
        if path:
            args.insert(0, path)
        if len(args) != 2:
            raise BadValueError("a path and an address are wanted")
        public, url = args
        if url.startswith(BALANCER):
            balancer = self._known(server, url)
            rest = url[len(BALANCER) :].partition("/")
            server.reverse += [
                (f"{origin}{balancer.path or ''}/{rest[2]}", public) for origin in balancer.origins
            ]
        elif url.startswith(("http://", "https://", "/")):
            server.reverse.append((url, public))
        else:
            raise BadValueError(f"{url!r}: an address of http or a path is wanted")
        self._tell(one, Fate.CARRIED)

    def _reverse_cookie(self, server: Server, one: Directive, path: str) -> None:
        if len(one.args) != 2:
            raise BadValueError("what members say, and what clients get instead, are wanted")
        old, new = one.args
        where = server.cookie_paths if one.key.endswith("path") else server.cookie_domains
        where.append((old, new) if one.key.endswith("path") else (old.lower(), new))
        self._tell(one, Fate.CARRIED)

    # What is said once.

    def _preserve(self, server: Server, one: Directive, path: str) -> None:
        on = one.args[:1] and one.args[0].lower() == "on"
        self._tell(one, Fate.CARRIED if on else Fate.DIFFERENT, "Host goes on as the client sent it")

    def _requests(self, server: Server, one: Directive, path: str) -> None:
        if one.args[:1] and one.args[0].lower() == "off":
            self._tell(one, Fate.CARRIED)
        else:
            self._tell(one, Fate.NONE, "a forward proxy")

    def _timeout(self, server: Server, one: Directive, path: str) -> None:
        if len(one.args) != 1:
            raise BadValueError("a time is wanted")
        value = seconds(one.args[0])
        if one.key == "proxytimeout" or server.timeout is None:
            server.timeout = value
        self._tell(one, *HTTPD[one.key])

    def _inherit(self, server: Server, one: Directive, path: str) -> None:
        server.inherits = bool(one.args) and one.args[0].lower() == "on"
        self._tell(one, Fate.CARRIED)

    def _mount(self, server: Server, one: Directive, path: str) -> None:
        args = [path, *one.args] if path else one.args
        if len(args) != 2:
            raise BadValueError("a pattern and a worker are wanted")
        try:
            found = mounts(("!" if one.key == "jkunmount" else "") + args[0], args[1], one.place)
        except SourceError as problem:
            raise BadValueError(problem.text) from None
        server.mounts += found
        self._tell(one, *JK[one.key])

    # The end.

    def finish(self, mounted: Callable[[list[Mount]], list[Rule]] | None = None) -> Setup:
        """The setup; whatever is wrong is in the report. `mounted`: rules of mod_jk's mounts, where there are any."""
        if mounted is not None:
            for server in (self.main, *self.servers):
                server.rules += mounted(server.mounts)
        for balancer in [b for s in (self.main, *self.servers) for b in s.balancers.values()]:
            balancer.finish()
        if not self.listen and (self.servers or self.main.located or self.main.rules):
            text = "no Listen says where clients come in; say --listen ADDRESS:PORT"
            self.report.add(self.main.place, "Listen", Fate.NONE, text)
        for address in dict.fromkeys(self.listen):
            self._listener(address)
        for server in self.servers:
            if not server.served:
                text = f"no Listen is for {' '.join(server.ports)}; a host by address wants a Listen with that address"
                self.report.add(server.place, "VirtualHost", Fate.NONE, text)
        return self.setup

    def _listener(self, address: str) -> None:
        """A listener and the routes of the servers that it is for."""
        host, _, port = address.rpartition(":")
        mine = [server for server in self.servers if self._is_at(server, host, port)]
        before = len(self.setup.routes)
        if not mine:
            self._routes(self.main, ["*"], address)
        covered: list[str] = []  # suffixes of hosts before
        for number, server in enumerate(mine):
            server.served = True
            hosts = []
            for name in dict.fromkeys(server.hosts):
                if name in covered or any(name.endswith(c[1:]) for c in covered if c.startswith("*.")):
                    self.report.add(
                        server.place, "ServerName", Fate.CARRIED, f"never reached: {name} is a host before"
                    )
                else:
                    hosts.append(name)
            covered += hosts
            self._routes(server, [*hosts, *(["*"] if number == 0 else [])], address)
        names = [route["name"] for route in self.setup.routes[before:]]
        table: dict[str, Any] = {"name": self.names.new(f"port-{port}"), "address": address}
        if len(self.listen) > 1:
            table["routes"] = names
        if names:
            self.setup.listeners.append(table)

    def _is_at(self, server: Server, host: str, port: str) -> bool:
        ports = {tuple(server.ports) for server in self.servers}
        for text in server.ports:
            name, colon, number = text.rpartition(":")
            name = name if colon else text
            # --listen stands for the one port that all hosts are at.
            if (not colon or number in (port, "*") or self.told_listen and len(ports) == 1) and (
                name in ("*", "_default_", "0.0.0.0") or self.hosts.address(name) == host
            ):
                return True
        return False

    def _routes(self, server: Server, hosts: Sequence[str], address: str) -> None:
        try:
            placed, dead = arrange(server.ordered(self.main))
        except TooManyError as problem:
            self.report.add(server.place, "ProxyPass", Fate.NONE, str(problem))
            return
        for rule in dead:
            if isinstance(rule.what, Target):
                self.report.add(
                    rule.what.place,
                    "ProxyPass",
                    Fate.CARRIED,
                    f"never reached: a line before takes {rule.path}",
                )
        for host in hosts:
            whole = False
            for one in placed:
                box: dict[str, Any] = {"name": self.names.new(f"{server.name}-{len(self.setup.routes) + 1}")}
                if host != "*":
                    box["host"] = host
                box |= {k: v for k in ("path", "prefix", "suffix") if (v := getattr(one, k)) is not None}
                whole = whole or (one.prefix == "/" and one.suffix is None)
                self.setup.routes.append(self._lead(box, one.what, server))
            if not whole and host != "*" and len(self.servers) > 1:
                # What no rule of this host takes is nobody's, and not that of the first host.
                name = self.names.new(f"{server.name}-rest-{len(self.setup.routes) + 1}")
                self.setup.routes.append({"name": name, "host": host, "prefix": "/", "status": 404})

    def _lead(self, box: dict[str, Any], what: Target | None, server: Server) -> dict[str, Any]:
        if what is None:
            return box | {"status": 404}
        pool = what.balancer.pool
        box["pool"] = pool.name
        deadline = pool.deadline or server.timeout or self.main.timeout
        if deadline is not None:
            box["deadline"] = duration(deadline)
        if (rewrite := what.rewrite(box.get("path") or box["prefix"])) is not None:
            box["rewrite"] = rewrite
        if pool.sticky is not None:
            box["sticky"] = pool.sticky
        source = (server, self.main) if server.inherits and server is not self.main else (server,)
        for key in ("reverse", "reverse_cookie_path", "reverse_cookie_domain"):
            attribute = {
                "reverse": "reverse",
                "reverse_cookie_path": "cookie_paths",
                "reverse_cookie_domain": "cookie_domains",
            }[key]
            pairs = [pair for one in source for pair in getattr(one, attribute)]
            if pairs:
                box[key] = [{"from": old, "to": new} for old, new in pairs]
        return box
