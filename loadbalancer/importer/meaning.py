"""Translates a tree of httpd directives into listeners, routes and pools, and reports each directive. No I/O.

Precedence in httpd (manual, mod_proxy, "Ordering ProxyPass Directives"): a ProxyPass in a Location precedes those
outside, the most specific Location first; the others are checked in their order, those of the virtual host before those
of the main server. order.py turns that into routes. An unknown directive is reported as having no equivalent.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any, Callable, Iterable, Sequence

from loadbalancer.importer.fates import HTTPD, JK
from loadbalancer.importer.httpd import Directive
from loadbalancer.importer.jk import Mount, parse_mount
from loadbalancer.importer.order import Rule, RuleKind, TooManyError, arrange
from loadbalancer.importer.report import Outcome, Report
from loadbalancer.importer.setup import Pool, Setup, UniqueNames, format_duration
from loadbalancer.importer.source import Position, SourceError
from loadbalancer.importer.workers import (
    BadValueError,
    Balancer,
    HostAddresses,
    WorkerTranslator,
    parse_seconds,
    parse_worker_url,
)
from loadbalancer.routing.rewrites import swap_prefix
from loadbalancer.routing.routes import HOST

BALANCER = "balancer://"
#: Directives of the language, which the parser has evaluated already; their sections are transparent.
LANGUAGE_DIRECTIVES = frozenset(
    (
        "define", "undefine", "include", "includeoptional", "ifmodule", "ifdefine", "ifversion", "iffile", "macro",
        "use", "undefmacro", "serverroot", "namevirtualhost",
    )
)  # fmt: skip
#: Sections whose handlers translate their content.
HANDLED_SECTIONS = frozenset(("virtualhost", "location", "locationmatch", "proxy"))
BUILT_IN_MODULES = re.compile(
    r"(proxy|proxy_http|proxy_balancer|lbmethod_\w+|slotmem_\w+|jk|version|macro|so|unixd|mpm_\w+)_module"
)
#: Patterns of ProxyPassMatch that amount to a prefix or a suffix, by the kind of the resulting rule.
UNDER_PATTERN = re.compile(r"\^(?P<path>(?:/[\w.~\-]+)*)/\((?:\.\*)\)\$?$")
TREE_PATTERN = re.compile(r"\^(?P<path>(?:/[\w.~\-]+)+)\(/\.\*\)\?\$$")
SUFFIX_PATTERN = re.compile(
    r"\^(?P<open>\()?(?P<path>(?:/[\w.~\-]+)*)/(?P<inner>\()?\.\*(?P<ending>(?:\\\.\w+)+)\)?\$$"
)


@dataclass(frozen=True, slots=True)
class Target:
    """Holds the target of a rule: a balancer and a path, which replaces `base`, the path of the rule."""

    balancer: Balancer
    path: str  # without a trailing slash
    base: str
    position: Position

    def rewrite(self, route_path: str) -> str | None:
        """Return the path that replaces that of a route at or below the rule's path; None if it is unchanged."""
        replacement = swap_prefix(route_path, self.base, ((self.balancer.path or "") + self.path) or "/")
        return None if replacement == route_path else replacement


@dataclass(slots=True)
class Server:
    """Holds the settings of the main server of httpd or of a virtual host. `rules` are in order of precedence."""

    name: str
    position: Position
    ports: list[str] = field(default_factory=list)
    hosts: list[str] = field(default_factory=list)
    location_rules: list[Rule] = field(default_factory=list)  # of <Location> sections
    rules: list[Rule] = field(default_factory=list)
    mounts: list[Mount] = field(default_factory=list)
    balancers: dict[str, Balancer] = field(default_factory=dict)
    reverse: list[tuple[str, str]] = field(default_factory=list)  # URL prefix from members, its replacement
    cookie_paths: list[tuple[str, str]] = field(default_factory=list)
    cookie_domains: list[tuple[str, str]] = field(default_factory=list)
    timeout: float | None = None
    inherits: bool = True
    has_listener: bool = False

    def rules_in_order(self, main: Server | None) -> list[Rule]:
        """Return its own rules and then, if it inherits, those of the main server."""
        inherited_from = main if main is not None and main is not self and self.inherits else None
        location_rules = [*self.location_rules, *(inherited_from.location_rules if inherited_from else ())]
        location_rules.sort(key=lambda rule: -len(rule.path))  # most specific first, then the host's own
        return [*location_rules, *self.rules, *(inherited_from.rules if inherited_from else ())]


class HttpdTranslator:
    """Translates one directive tree; `finish` returns the resulting setup."""

    def __init__(self, report: Report, hosts: HostAddresses, listen: Sequence[str] = ()) -> None:
        """`listen` holds addresses that replace the Listen directives, which configuration fragments may lack."""
        self.report, self.hosts = report, hosts
        self.workers = WorkerTranslator(report, hosts)
        self.main = Server("main", Position("", 0))
        self.servers: list[Server] = []
        self.listen: list[str] = list(listen)
        self.listen_overridden = bool(listen)
        self.setup, self.unique_names = Setup(), UniqueNames()
        self.jk_directives: list[tuple[Server, Directive]] = []  # imports.py reads the files they name
        self.handlers: dict[str, Callable[[Server, Directive, str], None]] = {
            "listen": self._translate_listen,
            "virtualhost": self._translate_virtual_host,
            "servername": self._translate_server_name,
            "serveralias": self._translate_server_name,
            "location": self._translate_location,
            "locationmatch": self._reject_section,
            "loadmodule": self._translate_load_module,
            "proxy": self._translate_proxy,
            "proxypass": self._translate_proxy_pass,
            "proxypassmatch": self._translate_proxy_pass_match,
            "proxypassreverse": self._translate_reverse,
            "proxypassreversecookiepath": self._translate_reverse_cookie,
            "proxypassreversecookiedomain": self._translate_reverse_cookie,
            "balancermember": self._translate_balancer_member,
            "proxyset": self._translate_proxy_set,
            "proxypreservehost": self._translate_preserve_host,
            "proxyrequests": self._translate_proxy_requests,
            "proxytimeout": self._translate_timeout,
            "timeout": self._translate_timeout,
            "proxypassinherit": self._translate_inherit,
            "jkmount": self._translate_mount,
            "jkunmount": self._translate_mount,
        }

    def translate(self, tree: Iterable[Directive]) -> None:
        """Translate a tree, balancers first, since a ProxyPass may precede the section of its balancer."""
        tree = list(tree)
        self._collect_balancers(self.main, tree)
        for directive in tree:
            self._translate_directive(self.main, directive, "")

    def _report(self, directive: Directive, outcome: Outcome, text: str = "", part: str = "") -> None:
        self.report.add(directive.position, directive.name, outcome, text, part)

    def _translate_directive(self, server: Server, directive: Directive, path: str) -> None:
        """Translate one directive, where `path` is that of the <Location> around it or empty."""
        if directive.inactive_reason:
            for nested in directive.walk():
                self._report(nested, Outcome.CARRIED, f"not in force: {directive.inactive_reason}")
            return
        handler = self.handlers.get(directive.key)
        if handler is not None and (directive.children is None or directive.key in HANDLED_SECTIONS):
            try:
                handler(server, directive, path)
            except BadValueError as problem:
                self._reject(directive, str(problem))
            return
        if handler is not None:
            self._reject(directive, f"{directive.name} is a directive, not a section")
            return
        entry = HTTPD.get(directive.key) or JK.get(directive.key)
        if entry is not None:
            self._report(directive, *entry)
            if directive.key.startswith("jk"):
                self.jk_directives.append((server, directive))
        else:
            self._report(directive, Outcome.NONE, "this proxy has no equivalent of this directive")
        child_path = path if directive.key in LANGUAGE_DIRECTIVES else None
        for child in directive.children or ():
            if child_path is None:
                self._reject(child, f"in <{directive.name}>")
            else:
                self._translate_directive(server, child, child_path)

    def _reject(self, directive: Directive, reason: str) -> None:
        """Report a directive and all directives within it as having no equivalent."""
        for nested in directive.walk():
            self._report(nested, Outcome.NONE, reason)

    def _reject_section(self, server: Server, directive: Directive, path: str) -> None:
        self._report(directive, Outcome.NONE, HTTPD[directive.key].text)
        for child in directive.children or ():
            self._reject(child, f"in <{directive.name}>")

    # Listeners and hosts.

    def _translate_listen(self, server: Server, directive: Directive, path: str) -> None:
        if not 1 <= len(directive.args) <= 2 or directive.args[1:] not in ([], ["http"]):
            raise BadValueError(
                f"{' '.join(directive.args)!r}: expected an address or a port, optionally with http, not https"
            )
        host, colon, port = directive.args[0].rpartition(":")
        if not port.isdigit() or not 0 < int(port) < 65536:
            raise BadValueError(f"{directive.args[0]!r} is not a port or an address with a port")
        address = self.hosts.resolve(host) if colon else "0.0.0.0"
        if address is None:
            raise BadValueError(f"{host!r} is not an IPv4 address; use --resolve {host}=ADDRESS")
        if not self.listen_overridden:
            self.listen.append(f"{address}:{port}")
        self._report(
            directive,
            Outcome.CARRIED,
            f"listener {address}:{port}" + (", by --listen" if self.listen_overridden else ""),
        )

    def _translate_virtual_host(self, server: Server, directive: Directive, path: str) -> None:
        if server is not self.main or path:
            raise BadValueError("a <VirtualHost> within another section")
        virtual_host = Server(self.unique_names.allocate(f"host{len(self.servers) + 1}"), directive.position)
        virtual_host.ports = directive.args or ["*"]
        self.servers.append(virtual_host)
        self._report(directive, Outcome.CARRIED)
        self._collect_balancers(virtual_host, directive.children or ())
        for child in directive.children or ():
            self._translate_directive(virtual_host, child, "")

    def _translate_server_name(self, server: Server, directive: Directive, path: str) -> None:
        if server is self.main or path:
            self._report(
                directive, Outcome.CARRIED, "the main server serves all hosts that no <VirtualHost> has"
            )
            return
        for text in directive.args:
            name = text.partition("://")[2] or text
            name = name.partition(":")[0].lower()
            if not HOST.fullmatch(name) or name == "*":
                raise BadValueError(f"{text!r}: expected a host name, or *. and a suffix")
            server.hosts.append(name)
        self._report(directive, Outcome.CARRIED, f"hosts {', '.join(directive.args)}")

    def _translate_location(self, server: Server, directive: Directive, path: str) -> None:
        if path or len(directive.args) != 1 or not directive.args[0].startswith("/"):
            self._reject(directive, "a <Location> within another one, or without a single path")
            return
        self._report(directive, Outcome.CARRIED)
        for child in directive.children or ():
            self._translate_directive(server, child, directive.args[0])

    def _translate_load_module(self, server: Server, directive: Directive, path: str) -> None:
        built_in = bool(directive.args) and BUILT_IN_MODULES.fullmatch(directive.args[0]) is not None
        self._report(
            directive,
            Outcome.CARRIED if built_in else Outcome.NONE,
            "is built in" if built_in else "the functions of this module are not available",
        )

    # Balancers.

    def _collect_balancers(self, server: Server, tree: Iterable[Directive]) -> None:
        """Create the balancers of a server, so that directives can refer to them."""
        for directive in tree:
            if directive.inactive_reason:
                continue
            if directive.key == "proxy" and directive.args and directive.args[0].startswith(BALANCER):
                self._get_or_create_balancer(server, directive.args[0], directive.position)
            elif (
                directive.key == "balancermember"
                and directive.args
                and directive.args[0].startswith(BALANCER)
            ):
                self._get_or_create_balancer(server, directive.args[0], directive.position)
            elif directive.key in LANGUAGE_DIRECTIVES:
                self._collect_balancers(server, directive.children or ())

    def _get_or_create_balancer(self, server: Server, url: str, position: Position) -> Balancer:
        name = url[len(BALANCER) :].partition("/")[0]
        found = server.balancers.get(name.lower())
        if found is None:
            found = server.balancers[name.lower()] = Balancer(
                Pool(self.unique_names.allocate(name)), position
            )
            self.setup.pools[found.pool.name] = found.pool
        return found

    def _find_balancer(self, server: Server, url: str) -> Balancer:
        """Return the balancer that a URL names, of this server or else of the main one; raise BadValueError if none."""
        name = url[len(BALANCER) :].partition("/")[0]
        found = server.balancers.get(name.lower()) or self.main.balancers.get(name.lower())
        if found is None:
            raise BadValueError(f"there is no <Proxy {BALANCER}{name}>")
        return found

    def _translate_proxy(self, server: Server, directive: Directive, path: str) -> None:
        if not directive.args or not directive.args[0].startswith(BALANCER):
            self._reject(directive, "settings for URLs that name no balancer")
            return
        balancer = self._get_or_create_balancer(server, directive.args[0], directive.position)
        self._report(directive, Outcome.CARRIED, f"pool {balancer.pool.name}")
        self._translate_balancer_section(server, balancer, directive)

    def _translate_balancer_section(self, server: Server, balancer: Balancer, directive: Directive) -> None:
        for child in directive.children or ():
            if child.inactive_reason:
                self._translate_directive(server, child, "")
            elif child.key == "balancermember" and child.args:
                self.workers.add_member(balancer, child.position, child.args[0], child.args[1:])
            elif child.key == "proxyset":
                self._report(child, Outcome.CARRIED)
                for param in child.args:
                    self.workers.set_balancer_parameter(balancer, child.position, child.name, param)
            elif child.key in LANGUAGE_DIRECTIVES:
                self._report(child, *HTTPD[child.key])
                self._translate_balancer_section(server, balancer, child)
            else:
                self._reject(child, f"in <{directive.name} {' '.join(directive.args)}>")

    def _translate_balancer_member(self, server: Server, directive: Directive, path: str) -> None:
        if len(directive.args) < 2 or not directive.args[0].startswith(BALANCER):
            raise BadValueError("expected a balancer and a member outside of <Proxy balancer://...>")
        self.workers.add_member(
            self._get_or_create_balancer(server, directive.args[0], directive.position),
            directive.position,
            directive.args[1],
            directive.args[2:],
        )

    def _translate_proxy_set(self, server: Server, directive: Directive, path: str) -> None:
        if not directive.args or not directive.args[0].startswith(BALANCER):
            raise BadValueError("expected a balancer; give the parameters of a single worker to ProxyPass")
        balancer = self._find_balancer(server, directive.args[0])
        self._report(directive, Outcome.CARRIED, f"pool {balancer.pool.name}")
        for param in directive.args[1:]:
            self.workers.set_balancer_parameter(balancer, directive.position, directive.name, param)

    # Routes.

    def _translate_proxy_pass(self, server: Server, directive: Directive, path: str) -> None:
        args = list(directive.args)
        public_path = path or (args.pop(0) if args else "")
        if not args or not public_path.startswith("/"):
            raise BadValueError("expected a path, and an address or !")
        kind = RuleKind.UNDER if public_path.endswith("/") and public_path != "/" else RuleKind.TREE
        rule_path = public_path.rstrip("/") or "/"
        rules = server.location_rules if path else server.rules
        if args[0] == "!":
            rules.append(Rule(kind, rule_path, None))
            self._report(
                directive,
                Outcome.DIFFERENT,
                f"{public_path} answers 404; httpd would serve files of its own there",
            )
            return
        balancer, target_path = self._resolve_target(server, directive, args)
        if (public_path.endswith("/")) != (target_path.endswith("/")):
            outcome, explanation = self._explain_slash_mismatch(public_path, target_path)
            self._report(directive, outcome, explanation)
            if outcome == Outcome.NONE:
                return
        else:
            self._report(directive, Outcome.CARRIED, f"{public_path} to pool {balancer.pool.name}")
        rules.append(
            Rule(kind, rule_path, Target(balancer, target_path.rstrip("/"), rule_path, directive.position))
        )

    @staticmethod
    def _explain_slash_mismatch(public_path: str, target_path: str) -> tuple[Outcome, str]:
        """Explain the effect of a trailing slash on only one of path and URL, which httpd concatenates unchanged."""
        if public_path == "/" and target_path:
            return (
                Outcome.NONE,
                f"{public_path}x would go to {target_path}x; end the address with a slash, or the path without one",
            )
        if public_path.endswith("/") and target_path:
            return (
                Outcome.NONE,
                f"{public_path}x would go to {target_path}x; end both with a slash, or none of them",
            )
        return Outcome.DIFFERENT, "the double slash that results in httpd is a single one here"

    def _resolve_target(self, server: Server, directive: Directive, args: list[str]) -> tuple[Balancer, str]:
        """Return the balancer of a URL and the path after it; a URL of a worker gets a pool of one member."""
        url, params = args[0], args[1:]
        if url.startswith(BALANCER):
            balancer = self._find_balancer(server, url)
            rest = url[len(BALANCER) :].partition("/")
            for param in params:
                self.workers.set_balancer_parameter(balancer, directive.position, directive.name, param)
            return balancer, rest[1] + rest[2]
        worker_url = parse_worker_url(url, self.hosts)
        balancer = self._single_member_balancer(server, worker_url.address, directive.position)
        if not balancer.pool.members:
            self.workers.add_member(balancer, directive.position, worker_url.origin, [])
            self.report.lines.pop()  # the ProxyPass has a report line of its own
        for param in params:
            self.workers.set_member_parameter(
                balancer, balancer.pool.members[0], directive.position, directive.name, param
            )
        return balancer, worker_url.path + ("/" if worker_url.trailing_slash else "")

    def _single_member_balancer(self, server: Server, address: str, position: Position) -> Balancer:
        """Return the balancer of a single member; servers have separate ones, since each sets its own parameters."""
        return self._get_or_create_balancer(server, f"{BALANCER}{address}", position)

    def _translate_proxy_pass_match(self, server: Server, directive: Directive, path: str) -> None:
        if path or len(directive.args) < 2:
            raise BadValueError("expected a pattern and an address, outside of <Location>")
        pattern, url, *params = directive.args
        kind, rule_path, suffix, group_start = self._parse_pattern(pattern)
        if url == "!":
            server.rules.append(Rule(kind, rule_path, None, suffix))
            self._report(
                directive,
                Outcome.DIFFERENT,
                f"{pattern} answers 404; httpd would serve files of its own there",
            )
            return
        base, dollar, group = url.partition("$")
        group_has_slash = group_start == "$1" and not base.endswith("/")  # the group includes the slash
        if dollar and (group != "1" or (not group_has_slash and not base.endswith("/"))):
            raise BadValueError(
                f"{url!r}: expected an address that ends with $1 alone, after a slash unless the group includes it"
            )
        balancer, target_path = self._resolve_target(server, directive, [base if dollar else url, *params])
        target_path = target_path.rstrip("/")
        if not dollar:
            target_path += rule_path if rule_path != "/" else ""  # the request path is appended unchanged
        elif group_has_slash and kind == RuleKind.SUFFIX:
            target_path += rule_path if rule_path != "/" else ""
        server.rules.append(
            Rule(kind, rule_path, Target(balancer, target_path, rule_path, directive.position), suffix)
        )
        self._report(
            directive, Outcome.CARRIED, f"{kind.value}, P = {rule_path}, to pool {balancer.pool.name}"
        )

    @staticmethod
    def _parse_pattern(pattern: str) -> tuple[RuleKind, str, str, str]:
        """Return the kind, path and suffix of the rule for a pattern, and how the address must refer to its group.

        Raises BadValueError if the pattern is neither a prefix nor a suffix.
        """
        if match := UNDER_PATTERN.match(pattern):
            return (RuleKind.UNDER if match["path"] else RuleKind.TREE), match["path"] or "/", "", "/$1"
        if match := TREE_PATTERN.match(pattern):
            return RuleKind.TREE, match["path"], "", "$1"
        match = SUFFIX_PATTERN.match(pattern)
        if match is not None and bool(match["open"]) != bool(match["inner"]):
            suffix = match["ending"].replace("\\", "")
            return RuleKind.SUFFIX, match["path"] or "/", suffix, "$1" if match["open"] else "/$1"
        raise BadValueError(f"{pattern!r} is neither ^/path/(.*)$, nor ^/path(/.*)?$, nor ^(/path/.*\\.end)$")

    # Responses.

    def _translate_reverse(self, server: Server, directive: Directive, path: str) -> None:
        args = [arg for arg in directive.args if arg.lower() not in ("interpolate",)]
        if path:
            args.insert(0, path)
        if len(args) != 2:
            raise BadValueError("expected a path and an address")
        public, url = args
        if url.startswith(BALANCER):
            balancer = self._find_balancer(server, url)
            rest = url[len(BALANCER) :].partition("/")
            server.reverse += [
                (f"{origin}{balancer.path or ''}/{rest[2]}", public) for origin in balancer.origins
            ]
        elif url.startswith(("http://", "https://", "/")):
            server.reverse.append((url, public))
        else:
            raise BadValueError(f"{url!r}: expected an http:// or https:// address, or a path")
        self._report(directive, Outcome.CARRIED)

    def _translate_reverse_cookie(self, server: Server, directive: Directive, path: str) -> None:
        if len(directive.args) != 2:
            raise BadValueError("expected the value in responses of members and the value that replaces it")
        old, new = directive.args
        replacements = server.cookie_paths if directive.key.endswith("path") else server.cookie_domains
        replacements.append((old, new) if directive.key.endswith("path") else (old.lower(), new))
        self._report(directive, Outcome.CARRIED)

    # Single settings.

    def _translate_preserve_host(self, server: Server, directive: Directive, path: str) -> None:
        on = directive.args[:1] and directive.args[0].lower() == "on"
        self._report(
            directive, Outcome.CARRIED if on else Outcome.DIFFERENT, "Host goes on as the client sent it"
        )

    def _translate_proxy_requests(self, server: Server, directive: Directive, path: str) -> None:
        if directive.args[:1] and directive.args[0].lower() == "off":
            self._report(directive, Outcome.CARRIED)
        else:
            self._report(directive, Outcome.NONE, "a forward proxy")

    def _translate_timeout(self, server: Server, directive: Directive, path: str) -> None:
        if len(directive.args) != 1:
            raise BadValueError(f"expected one time, found {len(directive.args)} arguments")
        value = parse_seconds(directive.args[0])
        if directive.key == "proxytimeout" or server.timeout is None:
            server.timeout = value
        self._report(directive, *HTTPD[directive.key])

    def _translate_inherit(self, server: Server, directive: Directive, path: str) -> None:
        server.inherits = bool(directive.args) and directive.args[0].lower() == "on"
        self._report(directive, Outcome.CARRIED)

    def _translate_mount(self, server: Server, directive: Directive, path: str) -> None:
        args = [path, *directive.args] if path else directive.args
        if len(args) != 2:
            raise BadValueError("expected a pattern and a worker")
        try:
            found = parse_mount(
                ("!" if directive.key == "jkunmount" else "") + args[0], args[1], directive.position
            )
        except SourceError as problem:
            raise BadValueError(problem.text) from None
        server.mounts += found
        self._report(directive, *JK[directive.key])

    # Assembly of the setup.

    def finish(self, mount_rules: Callable[[list[Mount]], list[Rule]] | None = None) -> Setup:
        """Return the setup; any problems are in the report.

        `mount_rules` turns mounts into rules if mod_jk is configured, otherwise it is None.
        """
        if mount_rules is not None:
            for server in (self.main, *self.servers):
                server.rules += mount_rules(server.mounts)
        for balancer in [b for s in (self.main, *self.servers) for b in s.balancers.values()]:
            balancer.finish()
        if not self.listen and (self.servers or self.main.location_rules or self.main.rules):
            text = "no Listen gives an address to listen on; use --listen ADDRESS:PORT"
            self.report.add(self.main.position, "Listen", Outcome.NONE, text)
        for address in dict.fromkeys(self.listen):
            self._add_listener(address)
        for server in self.servers:
            if not server.has_listener:
                text = f"no Listen matches {' '.join(server.ports)}; a host with an address needs one with that address"
                self.report.add(server.position, "VirtualHost", Outcome.NONE, text)
        return self.setup

    def _add_listener(self, address: str) -> None:
        """Add a listener and the routes of the servers that it serves."""
        host, _, port = address.rpartition(":")
        servers = [server for server in self.servers if self._listens_on(server, host, port)]
        before = len(self.setup.routes)
        if not servers:
            self._add_routes(self.main, ["*"], address)
        covered: list[str] = []  # hosts and wildcards of the servers before
        for number, server in enumerate(servers):
            server.has_listener = True
            hosts = []
            for name in dict.fromkeys(server.hosts):
                if name in covered or any(name.endswith(c[1:]) for c in covered if c.startswith("*.")):
                    self.report.add(
                        server.position,
                        "ServerName",
                        Outcome.CARRIED,
                        f"never reached: {name} is a host of an earlier <VirtualHost>",
                    )
                else:
                    hosts.append(name)
            covered += hosts
            self._add_routes(server, [*hosts, *(["*"] if number == 0 else [])], address)
        names = [route["name"] for route in self.setup.routes[before:]]
        table: dict[str, Any] = {"name": self.unique_names.allocate(f"port-{port}"), "address": address}
        if len(self.listen) > 1:
            table["routes"] = names
        if names:
            self.setup.listeners.append(table)

    def _listens_on(self, server: Server, host: str, port: str) -> bool:
        ports = {tuple(server.ports) for server in self.servers}
        for text in server.ports:
            name, colon, server_port = text.rpartition(":")
            name = name if colon else text
            # --listen replaces the port if all virtual hosts have the same one.
            if (not colon or server_port in (port, "*") or self.listen_overridden and len(ports) == 1) and (
                name in ("*", "_default_", "0.0.0.0") or self.hosts.resolve(name) == host
            ):
                return True
        return False

    def _add_routes(self, server: Server, hosts: Sequence[str], address: str) -> None:
        try:
            routes, unreachable = arrange(server.rules_in_order(self.main))
        except TooManyError as problem:
            self.report.add(server.position, "ProxyPass", Outcome.NONE, str(problem))
            return
        for rule in unreachable:
            if isinstance(rule.target, Target):
                self.report.add(
                    rule.target.position,
                    "ProxyPass",
                    Outcome.CARRIED,
                    f"never reached: an earlier line matches {rule.path}",
                )
        for host in hosts:
            catch_all = False
            for matched in routes:
                table: dict[str, Any] = {
                    "name": self.unique_names.allocate(f"{server.name}-{len(self.setup.routes) + 1}")
                }
                if host != "*":
                    table["host"] = host
                table |= {
                    k: v for k in ("path", "prefix", "suffix") if (v := getattr(matched, k)) is not None
                }
                catch_all = catch_all or (matched.prefix == "/" and matched.suffix is None)
                self.setup.routes.append(self._complete_route(table, matched.target, server))
            if not catch_all and host != "*" and len(self.servers) > 1:
                # Requests that no rule of this host matches get 404, not the routes of the first host.
                name = self.unique_names.allocate(f"{server.name}-rest-{len(self.setup.routes) + 1}")
                self.setup.routes.append({"name": name, "host": host, "prefix": "/", "status": 404})

    def _complete_route(self, table: dict[str, Any], target: Target | None, server: Server) -> dict[str, Any]:
        if target is None:
            return table | {"status": 404}
        pool = target.balancer.pool
        table["pool"] = pool.name
        deadline = pool.deadline or server.timeout or self.main.timeout
        if deadline is not None:
            table["deadline"] = format_duration(deadline)
        if (rewrite := target.rewrite(table.get("path") or table["prefix"])) is not None:
            table["rewrite"] = rewrite
        if pool.sticky is not None:
            table["sticky"] = pool.sticky
        sources = (server, self.main) if server.inherits and server is not self.main else (server,)
        for key in ("reverse", "reverse_cookie_path", "reverse_cookie_domain"):
            attribute = {
                "reverse": "reverse",
                "reverse_cookie_path": "cookie_paths",
                "reverse_cookie_domain": "cookie_domains",
            }[key]
            pairs = [pair for source in sources for pair in getattr(source, attribute)]
            if pairs:
                table[key] = [{"from": old, "to": new} for old, new in pairs]
        return table
