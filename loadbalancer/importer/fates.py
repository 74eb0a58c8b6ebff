"""Tables of how each directive and parameter of mod_proxy, mod_proxy_balancer and mod_jk is translated.

docs/operating/importing.md holds these tables as printed by `python -m loadbalancer.importer.fates`; a test compares
them. Where the outcome depends on the value, the table gives the usual one and the report of an import the actual one.
"""

from __future__ import annotations

from typing import Mapping, NamedTuple

from loadbalancer.importer.report import Outcome

YES, DIFFERS, NO = Outcome.CARRIED, Outcome.DIFFERENT, Outcome.NONE


class Entry(NamedTuple):
    """Holds the outcome of a directive or parameter and the text that explains it in the report."""

    outcome: Outcome
    text: str = ""


def _shared(outcome: Outcome, text: str, *names: str) -> dict[str, Entry]:
    return dict.fromkeys(names, Entry(outcome, text))


#: Directives of httpd's core and of mod_proxy, by name in lower case.
HTTPD: Mapping[str, Entry] = {
    **_shared(YES, "taken by the importer", "define", "undefine", "include", "includeoptional", "ifmodule", "ifdefine",
            "ifversion", "iffile", "macro", "use", "undefmacro", "serverroot"),
    "listen": Entry(YES, "a listener"),
    "virtualhost": Entry(YES, "hosts of the routes in it"),
    "servername": Entry(YES, "host of the routes"),
    "serveralias": Entry(YES, "host of the routes"),
    "location": Entry(YES, "the path of what stands in it"),
    "locationmatch": Entry(NO, "patterns are carried over where they are a prefix or an ending"),
    "loadmodule": Entry(YES, "what proxies is built in; any other module is named"),
    "proxy": Entry(YES, "a pool, for balancer://; any other section is named"),
    "proxymatch": Entry(NO, "settings by pattern of addresses"),
    "proxypass": Entry(YES, "a route"),
    "proxypassmatch": Entry(NO, "carried over where the pattern is a prefix or an ending"),
    "proxypassreverse": Entry(YES, "reverse of the routes"),
    "proxypassreversecookiepath": Entry(YES, "reverse_cookie_path of the routes"),
    "proxypassreversecookiedomain": Entry(YES, "reverse_cookie_domain of the routes"),
    "balancermember": Entry(YES, "a member"),
    "proxyset": Entry(YES, "parameters, each with its own fate"),
    "proxypreservehost": Entry(YES, "On is how this proxy is; Off: Host goes on as the client sent it"),
    "proxyrequests": Entry(YES, "Off; a forward proxy (On) has no equivalent"),
    "proxyvia": Entry(DIFFERS, "Via is always added to requests"),
    "proxyaddheaders": Entry(DIFFERS, "X-Forwarded-For, -Host, -Proto and Forwarded are always added"),
    "proxytimeout": Entry(DIFFERS, "the deadline of a whole request, not of each wait"),
    "timeout": Entry(DIFFERS, "the deadline of a whole request, not of each wait"),
    "proxybadheader": Entry(DIFFERS, "a bad header spoils the answer (IsError)"),
    "proxymaxforwards": Entry(DIFFERS, "Max-Forwards is passed on as it came"),
    "proxyiobuffersize": Entry(DIFFERS, "buffers are sized by [process] memory"),
    "proxyreceivebuffersize": Entry(DIFFERS, "the system's buffers are used"),
    "proxy100continue": Entry(DIFFERS, "100 (Continue) is this proxy's own matter on each side"),
    "proxystatus": Entry(DIFFERS, "there is no server-status page; figures are told in other ways"),
    "proxypassinherit": Entry(YES, ""),
    "balancerinherit": Entry(YES, ""),
    "balancergrowth": Entry(YES, "members are added at a reload without a bound"),
    "balancerpersist": Entry(DIFFERS, "marks of operators outlast restarts where [management] says so"),
    "keepalive": Entry(DIFFERS, "connections of clients are kept, by pressure on slots"),
    **_shared(DIFFERS, "connections of clients are kept by pressure on slots", "maxkeepaliverequests",
            "keepalivetimeout"),
    **_shared(NO, "", "noproxy", "proxyblock", "proxydomain", "proxyerroroverride", "proxypassinterpolateenv",
            "proxyremote", "proxyremotematch", "proxysourceaddress", "proxyftpdircharset", "proxyftpescapewildcards",
            "proxyftplistonwildcard"),
    **_shared(NO, "health calls of mod_proxy_hcheck; members are judged by the answers to requests", "proxyhcexpr",
            "proxyhctemplate", "proxyhctpsize"),
    "namevirtualhost": Entry(YES, "is of older versions and says nothing"),
}  # fmt: skip

#: Parameters of a member, given by BalancerMember, by ProxySet on a worker or by ProxyPass to a worker.
MEMBER: Mapping[str, Entry] = {
    "loadfactor": Entry(YES, "weight"),
    "route": Entry(YES, "route"),
    "redirect": Entry(YES, "redirect"),
    "lbset": Entry(YES, "set, twice the number: standbys of a set come before the next one"),
    "status": Entry(YES, "flag by flag"),
    "connectiontimeout": Entry(YES, "connect_timeout of the pool, the least of its members"),
    "timeout": Entry(DIFFERS, "the deadline of a whole request, not of each wait"),
    "retry": Entry(DIFFERS, "a failing member is tried again after 1 s, later each time, 30 s at most"),
    "ttl": Entry(YES, "idle_close of the pool, the least of its members"),
    "max": Entry(DIFFERS, "idle_connections; connections in use are bounded by the process's descriptors"),
    "smax": Entry(DIFFERS, "idle_connections"),
    "min": Entry(DIFFERS, "no connection is opened before it is needed"),
    "acquire": Entry(DIFFERS, "a request never waits for a free connection: another one is opened, or it is refused"),
    "keepalive": Entry(DIFFERS, "idle connections are closed before the member closes them; none is probed"),
    "disablereuse": Entry(YES, "On: idle_connections = 0"),
    "enablereuse": Entry(YES, "Off: idle_connections = 0"),
    **_shared(DIFFERS, "answers are passed on as they come once they are long, and whole otherwise", "flushpackets",
            "flushwait", "flusher"),
    **_shared(DIFFERS, "buffers are sized by [process] memory", "iobuffersize", "receivebuffersize"),
    "responsefieldsize": Entry(DIFFERS, "a head of an answer may hold 32 KiB"),
    "addressttl": Entry(YES, "addresses are numbers here and do not change"),
    "nocanon": Entry(DIFFERS, "a path goes on in its one form (targets.py)"),
    "upgrade": Entry(NO, "upgraded connections of this worker"),
    **_shared(NO, "", "ping", "secret", "mapping", "interpolate", "noquery"),
    **_shared(NO, "health calls; members are judged by the answers to requests", "hcmethod", "hcpasses", "hcfails",
            "hcinterval", "hcuri", "hcexpr", "hctemplate"),
}  # fmt: skip

#: Flags of the parameter status, where each flag is preceded by + or -.
STATUS: Mapping[str, Entry] = {
    "D": Entry(YES, "stopped"),
    "S": Entry(YES, "stopped"),
    "I": Entry(DIFFERS, "a failing member is left alone for a while here in any case"),
    "R": Entry(
        NO, "a hot spare takes the place of one member; a set serves only while the one before has none"
    ),
    "H": Entry(YES, "the set behind its own lbset"),
    "E": Entry(DIFFERS, "every member is tried at the start"),
    "N": Entry(YES, "draining, and the pool keeps sessions while draining"),
    "C": Entry(DIFFERS, "every member is tried at the start; there are no health calls"),
}

#: Parameters of a balancer, given by ProxySet or by ProxyPass to a balancer.
BALANCER: Mapping[str, Entry] = {
    "lbmethod": Entry(
        YES, "byrequests: a draw by weight; bybusyness is near how members are scored; others are named"
    ),
    "maxattempts": Entry(YES, "attempts of the pool, one more, 10 at most"),
    "stickysession": Entry(YES, "sticky of the routes: path parameter before cookie"),
    "stickysessionsep": Entry(YES, "separator, the first one"),
    "nofailover": Entry(YES, "bound of the routes"),
    "scolonpathdelim": Entry(YES, "On; a path parameter begins with ; here in any case"),
    "timeout": Entry(DIFFERS, "a request never waits for a free member: it is refused"),
    "failontimeout": Entry(DIFFERS, "attempts that run out of time always count against a member"),
    "failonstatus": Entry(NO, "statuses that put a member out"),
    "forcerecovery": Entry(DIFFERS, "where no member passes the filters, they are tried in any case"),
    "growth": Entry(YES, "members are added at a reload without a bound"),
    "nonce": Entry(YES, "is of the balancer's manager alone"),
}

#: Directives of mod_jk in the configuration files of httpd.
JK: Mapping[str, Entry] = {
    "jkworkersfile": Entry(YES, "read"),
    "jkworkerproperty": Entry(YES, "read as a line of the workers' file"),
    "jkmountfile": Entry(YES, "read"),
    "jkmount": Entry(YES, "a route"),
    "jkunmount": Entry(DIFFERS, "a route that answers 404; httpd would serve files of its own"),
    "jkmountcopy": Entry(YES, "All and On: the server's mounts are those of the hosts too"),
    "jkmountfilereload": Entry(DIFFERS, "SIGHUP takes the file anew"),
    **_shared(DIFFERS, "this proxy logs in its own way", "jklogfile", "jkloglevel", "jklogstampformat",
            "jkrequestlogformat"),
    **_shared(YES, "instances of this proxy share no memory", "jkshmfile", "jkshmsize", "jkwatchdoginterval"),
    "jkstripsession": Entry(NO, "the path goes on as it came"),
    "jkautoalias": Entry(NO, "this proxy serves no files"),
    **_shared(NO, "AJP's own; HTTP has no such fields", "jkoptions", "jkenvvar", "jkextractssl", "jkhttpsindicator",
            "jkcertsindicator", "jkcipherindicator", "jkcertchainprefix", "jksessionindicator", "jkkeysizeindicator",
            "jksslprotocolindicator", "jklocalnameindicator", "jklocalportindicator", "jkremotehostindicator",
            "jkremoteaddrindicator", "jkremoteportindicator", "jkremoteuserindicator", "jkauthtypeindicator"),
}  # fmt: skip

#: Properties of a mod_jk worker that is not a balancer.
JK_WORKER: Mapping[str, Entry] = {
    "type": Entry(NO, "ajp13 and ajp14: this proxy speaks HTTP; say --connector AJPPORT=HTTPPORT for each port"),
    "host": Entry(YES, "address"),
    "port": Entry(YES, "address, by --connector"),
    "lbfactor": Entry(YES, "weight"),
    "activation": Entry(YES, "A serving, D draining (its sessions go on), S stopped"),
    "disabled": Entry(YES, "draining"),
    "stopped": Entry(YES, "stopped"),
    "route": Entry(YES, "route"),
    "redirect": Entry(YES, "redirect"),
    "domain": Entry(YES, "domain"),
    "distance": Entry(YES, "set"),
    "reference": Entry(YES, "taken by the importer"),
    "socket_connect_timeout": Entry(YES, "connect_timeout of the pool, the least of its members"),
    "reply_timeout": Entry(DIFFERS, "the deadline of a whole request, not of each wait"),
    "socket_timeout": Entry(DIFFERS, "the deadline of a whole request, not of each wait"),
    "connection_pool_timeout": Entry(YES, "idle_close of the pool, the least of its members"),
    "connection_pool_size": Entry(DIFFERS, "idle_connections; connections in use are bounded by descriptors"),
    "connection_pool_minsize": Entry(DIFFERS, "no connection is opened before it is needed"),
    "connection_acquire_timeout": Entry(DIFFERS, "a request never waits for a free connection"),
    "retries": Entry(DIFFERS, "attempts are those of the balancer"),
    "retry_interval": Entry(DIFFERS, "attempts follow one another at once, within a budget"),
    "recovery_options": Entry(DIFFERS, "what may have run goes again only where the route's class says that it may"),
    "max_reply_timeouts": Entry(DIFFERS, "attempts that run out of time count by their share"),
    **_shared(DIFFERS, "no connection is probed; idle ones are closed early", "ping_mode", "ping_timeout",
            "connect_timeout", "prepost_timeout", "connection_ping_interval", "socket_keepalive"),
    **_shared(DIFFERS, "the system's buffers are used", "socket_buffer"),
    "max_packet_size": Entry(YES, "is AJP's own and bounds nothing here"),
    "mount": Entry(YES, "a route"),
    "fail_on_status": Entry(NO, "statuses that put a member out"),
    **_shared(NO, "", "secret", "busy_limit", "prefer_ipv6", "maintain"),
    **_shared(YES, "of older versions: connections are kept by the pool", "cachesize", "cache_timeout",
            "recycle_timeout"),
}  # fmt: skip

#: Properties of a mod_jk worker of type lb, which is a balancer.
JK_BALANCER: Mapping[str, Entry] = {
    "type": Entry(YES, "a pool"),
    "balance_workers": Entry(YES, "its members"),
    "balanced_workers": Entry(YES, "its members"),
    "sticky_session": Entry(YES, "sticky of the routes"),
    "sticky_session_force": Entry(YES, "bound of the routes"),
    "method": Entry(YES, "R: a draw by weight; B is near how members are scored; S, N and T are named"),
    "lock": Entry(YES, "instances of this proxy share no memory"),
    "retries": Entry(YES, "attempts of the pool, 10 at most"),
    "session_cookie": Entry(YES, "cookie of sticky"),
    "session_path": Entry(YES, "path_parameter of sticky"),
    "set_session_cookie": Entry(NO, "this proxy sets no cookie"),
    "session_cookie_path": Entry(NO, "this proxy sets no cookie"),
    **_shared(DIFFERS, "a failing member is tried again after 1 s, later each time, 30 s at most", "recover_time",
            "error_escalation_time"),
    "retry_interval": Entry(DIFFERS, "attempts follow one another at once, within a budget"),
    "max_reply_timeouts": Entry(DIFFERS, "attempts that run out of time count by their share"),
    "reference": Entry(YES, "taken by the importer"),
    "mount": Entry(YES, "a route"),
}  # fmt: skip

#: Extensions of a rule in a uriworkermap file, written after `;`.
JK_MOUNT: Mapping[str, Entry] = {
    "-": Entry(YES, "the rule is switched off"),
    "reply_timeout": Entry(DIFFERS, "the deadline of a whole request, not of each wait"),
    "sticky_ignore": Entry(YES, "1: the route has no sticky"),
    "active": Entry(NO, "states by rule; give the rule a pool of its own"),
    "disabled": Entry(NO, "states by rule; give the rule a pool of its own"),
    "stopped": Entry(NO, "states by rule; give the rule a pool of its own"),
    "fail_on_status": Entry(NO, "statuses that put a member out"),
    "use_server_errors": Entry(NO, "this proxy serves no error pages of its own"),
    "stateless": Entry(DIFFERS, "every draw is by weight, with sessions or without"),
    "session_cookie": Entry(YES, "cookie of sticky"),
    "session_path": Entry(YES, "path_parameter of sticky"),
    "set_session_cookie": Entry(NO, "this proxy sets no cookie"),
    "session_cookie_path": Entry(NO, "this proxy sets no cookie"),
}

TABLES = (
    ("Directives of httpd and mod_proxy", HTTPD), ("Parameters of a member", MEMBER), ("Flags of status=", STATUS),
    ("Parameters of a balancer", BALANCER), ("Directives of mod_jk", JK),
    ("Properties of a worker of mod_jk", JK_WORKER),
    ("Properties of a balancer of mod_jk", JK_BALANCER), ("Extensions of a uriworkermap", JK_MOUNT),
)  # fmt: skip


def document() -> str:
    """Return all tables in Markdown, as the documentation holds them."""
    lines = []
    for title, table in TABLES:
        lines += [f"### {title}", "", "| name | fate | |", "| --- | --- | --- |"]
        lines += [
            f"| `{name}` | {entry.outcome.value} | {entry.text} |" for name, entry in sorted(table.items())
        ]
        lines.append("")
    return "\n".join(lines)


if __name__ == "__main__":
    print(document())
