"""Types of the tables in micastand.toml. Constraints between tables are checked in check.py."""

from __future__ import annotations

import math
import re
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m|h)")
_SECONDS = {"ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0}
_SIZE = re.compile(r"([0-9]+(?:\.[0-9]+)?)(B|KiB|MiB|GiB)")
_BYTES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}


class Duration(float):
    """Holds seconds; written in a file as a number with its unit."""

    expected_format = 'a duration in quotes with its unit, such as "600ms", "1.5s", "2m"'

    @classmethod
    def read(cls, value: object) -> Duration:
        match = _DURATION.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            raise ValueError(f"{value!r} is not {cls.expected_format}")
        return cls(float(match[1]) * _SECONDS[match[2]])


class Size(int):
    """Holds bytes; written in a file as a number with its unit."""

    expected_format = 'a size in quotes with its unit, such as "64KiB", "1.5MiB"'

    @classmethod
    def read(cls, value: object) -> Size:
        match = _SIZE.fullmatch(value) if isinstance(value, str) else None
        if match is None or not math.isfinite(float(match[1])):
            raise ValueError(f"{value!r} is not {cls.expected_format}")
        return cls(float(match[1]) * _BYTES[match[2]])


Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.\-]*$")]
#: A header's name (RFC 9110, 5.1).
Header = Annotated[str, Meta(pattern=r"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")]
Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Number = Annotated[int, Meta(ge=0)]


class ProcessTable(Struct, frozen=True, kw_only=True):
    memory: Size = Size(
        128 << 20
    )  # limit of the whole process; buffers get half of what the program itself does not use
    descriptors: Annotated[int, Meta(ge=64)] = 1024  # limit of the process, for all sockets
    zone: str = ""  # of this proxy
    zones: list[str] = []  # all zones, for pools whose members come from discovery
    instances: Count = 1  # proxies that send to the same members


class ClassTable(Struct, frozen=True, kw_only=True):
    name: Name
    aim: Duration  # latency objective: an answer within this time counts in full
    deadline: Duration  # after this the client no longer waits for the answer
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_share: Share = 1.0  # share of `worth` for an answer after the aim
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    key_header: Header = "Idempotency-Key"
    dedup_scope: Literal["all", "zone", "cell"] = "all"
    dedup_window: Duration = Duration(0.0)
    remember: Duration = Duration(0.0)  # how long a key that was answered gets the same answer; needs [store]
    remember_answer: Size = Size(16 << 10)  # maximum size of an answer that is kept


class TenantTable(Struct, frozen=True, kw_only=True):
    name: Name
    share: Share = 1.0
    quota_per_s: Positive


class MemberTable(Struct, frozen=True, kw_only=True):
    id: Name
    address: str
    weight: Positive = 1.0
    zone: str = ""
    cell: Number = 0
    state: Literal["serving", "draining", "standby", "stopped"] = "serving"
    set: Number = 0  # priority: a set serves only while no lower one has a usable member
    route: Name | None = None  # name in sticky sessions; default: the id
    domain: Name | None = (
        None  # members of one domain share sessions, which may name the domain in place of a member
    )
    redirect: Name | None = None  # route or domain that gets its sessions while it is not usable
    started: Annotated[float, Meta(ge=0)] | None = None  # Unix time of its last start


class RepeatsTable(Struct, frozen=True, kw_only=True):
    """Configures retries and hedged requests. No setting makes an unsafe request run twice: the policy prevents it."""

    on: tuple[str, ...] = ("connect", "reset", "timeout", "refused", "502", "503", "504")
    attempt_time: Duration | None = None  # timeout of one attempt, within the deadline
    share: Share = 0.1  # retry budget: ratio of retries to first attempts in the long run
    hedge_after: Duration | None = (
        None  # time without an answer after which a hedged request is sent; needs second_copies
    )
    hedge_percentile: Annotated[float, Meta(ge=50, le=99.9)] | None = (
        None  # percentile of the latency of a class's answers, in place of a fixed time
    )
    header: Header | None = None  # response header that asks for a retry, with any status from 500 on


class TunnelsTable(Struct, frozen=True, kw_only=True):
    most: Number = 256  # concurrent tunnels of one pool
    idle: Duration = Duration(300.0)  # idle timeout: no byte in either direction
    life: Duration = Duration(12 * 3600.0)
    grace: Duration = Duration(5.0)  # time to end after the pool, the member or the process was told to stop


class LimitsTable(Struct, frozen=True, kw_only=True):
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    second_copies: bool = False  # hedged requests: a second attempt if the request may be repeated
    connect_timeout: Duration = Duration(0.25)
    idle_close: Duration = Duration(15.0)  # time after which a member closes an idle connection
    idle_connections: Number = 64  # kept open to one member
    request_body: Size = Size(1 << 20)
    answer_body: Size = Size(1 << 20)  # maximum size of an answer that is buffered whole
    answer_stream: Size = Size(0)  # maximum size of an answer that is streamed; 0: none is
    retry_after: Duration = Duration(0.0)  # maximum Retry-After of a refusal
    share: Positive = 1.0  # weight against other pools for descriptors, buffers and processor time


class RulesTable(Struct, frozen=True, kw_only=True):
    drain_grace: Duration = Duration(1.0)
    cold_time: Duration = Duration(10.0)  # duration of the slow start
    cold_from: Annotated[float, Meta(gt=0, le=1)] = (
        0.3  # share of its capacity that a member has at the beginning of the slow start
    )
    overload_factor: Annotated[float, Meta(gt=1)] = 2.5
    fall_time: Duration = Duration(2.0)
    new_members: Literal["cold", "warm"] = (
        "cold"  # state of members that appear while the proxy runs and don't state `started`
    )
    standby: Literal["cold", "warm"] = "cold"  # state of members whose set has not served for `cold_time`


class FastCgiTable(Struct, frozen=True, kw_only=True):
    params: dict[str, str] = {}  # such as SCRIPT_FILENAME; they take precedence over those of the request
    keep: bool = True  # keep connections open if the application does
    multiplex: bool = False  # query FCGI_MPXS_CONNS, and send several requests on one connection if it is 1


class PairTable(Struct, frozen=True, kw_only=True):
    """Names the PEM files of a certificate chain and its key, relative to the configuration file."""

    chain: str  # the certificate, followed by its issuers
    key: str  # unencrypted; only the owner may have access


class ListenerTlsTable(Struct, frozen=True, kw_only=True):
    certificate: list[PairTable]  # chosen by server name; the first is the default
    minimum: Literal["1.2", "1.3"] = "1.2"
    clients: Literal["none", "optional", "required"] = "none"  # whether clients must present a certificate
    client_roots: list[
        str
    ] = []  # trust roots of clients' certificates; all are valid, so old and new ones may overlap
    client_revoked: str | None = None
    tenants: dict[str, str] = {}  # tenant by a name in the client's certificate
    ticket_life: Duration = Duration(3600.0)  # interval at which the keys of session tickets are renewed
    handshake_time: Duration = Duration(2.5)
    handshakes_at_once: Count = 64
    handshakes_per_s: Positive = 200.0  # of unknown clients
    handshakes_per_address: Count = 16  # under way or waiting, of one unknown address


class PoolTlsTable(Struct, frozen=True, kw_only=True):
    roots: list[str] = []  # trust roots of members' certificates; default: those of the system
    revoked: str | None = None
    name: str = (
        "id"  # expected name in a member's certificate: its "id", its "address", or a fixed name for all
    )
    certificate: PairTable | None = None  # client certificate that the proxy presents
    minimum: Literal["1.2", "1.3"] = "1.2"
    handshake_time: Duration = Duration(1.0)


class PoolTable(Struct, frozen=True, kw_only=True):
    name: Name
    dialect: Literal["http", "platform"] = "http"
    protocol: Literal["http/1.1", "fastcgi"] = "http/1.1"
    fastcgi: FastCgiTable | None = None
    member: list[MemberTable] = []
    members_file: str | None = None
    discovery: str | None = None
    limits: LimitsTable = LimitsTable()
    repeats: RepeatsTable = RepeatsTable()
    tunnels: TunnelsTable = TunnelsTable()
    tls: PoolTlsTable | None = None  # connections to members use TLS if it is given
    rules: RulesTable = RulesTable()
    sticky_while_draining: bool = False  # a draining member keeps its sticky sessions
    refusal_header: Header | None = (
        None  # response header by which a 503 or 504 states that the request did not run
    )
    load_header: Header | None = (
        None  # response header with a JSON object: utilization, recent_ms, throughput and others
    )
    close_delimited: bool = False  # accept an answer that ends with its connection as complete


class StickyTable(Struct, frozen=True, kw_only=True):
    cookie: Header | None = None
    path_parameter: Name | None = None
    separator: Annotated[str, Meta(min_length=1, max_length=1)] | None = None
    separator_at: Literal["first", "last"] = "last"  # the name of the route follows this separator
    prefer: Literal["cookie", "path"] = "cookie"  # if a request has both
    bound: bool = False  # refuse a session whose member is listed but not usable, instead of moving it


class PluginTable(Struct, frozen=True, kw_only=True):
    name: Name
    file: str  # WebAssembly, in binary form or as WAT
    on_failure: Literal["pass", "turn_away"] = (
        "pass"  # for a call that fails, and while the plug-in is skipped
    )
    settings: dict[Name, str] = {}  # passed to the plug-in


class SwapTable(Struct, frozen=True, kw_only=True):
    from_: Annotated[str, Meta(min_length=1)] = field(name="from")
    to: Annotated[str, Meta(min_length=1)]


class RouteTable(Struct, frozen=True, kw_only=True):
    name: Name
    host: str = "*"
    path: str | None = None
    prefix: str | None = None
    pattern: str | None = None
    methods: list[str] = []
    headers: dict[str, str] = {}  # "*" matches any value: the header must be present
    suffix: str | None = None  # with prefix or pattern: required end of the last segment, such as ".jsp"
    pool: str | None = None
    status: Annotated[int, Meta(ge=400, le=599)] | None = (
        None  # in place of a pool: status of the answer to all requests
    )
    rewrite: str | None = None  # replaces the prefix in requests to members
    reverse: list[
        SwapTable
    ] = []  # replacements in Location and similar headers: whole addresses or paths, by whole segments
    reverse_cookie_path: list[SwapTable] = []
    reverse_cookie_domain: list[SwapTable] = []
    class_: str | None = field(name="class", default=None)
    write_class: str | None = None  # for unsafe methods, if `class` is a safe one
    deadline: Duration | None = None
    tenant: str | None = None
    sticky: StickyTable | None = None
    upgrade: list[Name] = []  # protocols that a request may upgrade to, such as "websocket"
    attempts: Annotated[int, Meta(ge=1, le=10)] | None = (
        None  # maximum of one request, within that of the pool
    )
    repeat_on: tuple[str, ...] | None = None  # causes of a retry, in place of the pool's
    plugins: list[str] = []  # called in this order once the request head is complete


class AdmissionTable(Struct, frozen=True, kw_only=True):
    """Limits what one address may use.

    The caps hold for an unknown address. One that behaves well earns up to `growth` times as much.
    """

    connections_per_address: Count | None = None  # concurrent; a /24 or /64 may have four times as many
    connects_per_s: Positive | None = None  # new connections of one address
    requests_per_address: Count | None = None  # concurrent
    growth: Annotated[float, Meta(ge=1)] = 16.0
    remembered: Annotated[int, Meta(ge=256, le=1 << 20)] = 16384  # number of addresses; some 300 bytes each
    exempt: list[str] = []  # networks of proxies that forward for many clients
    known: list[str] = []  # networks for which a part of the slots is reserved
    reserve: Annotated[float, Meta(ge=0, le=0.9)] = 0.0  # the reserved part


class ListenerTable(Struct, frozen=True, kw_only=True):
    name: Name
    address: str
    protocol: Literal["http/1.1", "fastcgi"] = "http/1.1"
    requests_at_once: Annotated[int, Meta(ge=1, le=1024)] = (
        16  # concurrent requests on one connection of a FastCGI client
    )
    routes: list[str] | None = None  # default: all routes
    trusted: list[str] = []  # networks whose Forwarded and X-Forwarded-* headers are trusted
    ready_path: str | None = None  # health check path: answers 200 while the listener accepts clients
    encoded_slashes: Literal["reject", "keep"] = "reject"
    share: Positive = 1.0  # weight against other listeners for client descriptors
    admission: AdmissionTable | None = None
    tls: ListenerTlsTable | None = None
    proxy_protocol_from: list[
        str
    ] = []  # networks that send a PROXY header, version 1 or 2, at the start of each connection


class StoreTable(Struct, frozen=True, kw_only=True):
    folder: str
    size: Size = Size(256 << 20)  # of all segments; there are two copies of each
    keys: Annotated[int, Meta(ge=1, le=20_000_000)] = 1_000_000


class LogTable(Struct, frozen=True, kw_only=True):
    form: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class ManagementTable(Struct, frozen=True, kw_only=True):
    """Configures the management interface.

    Paths of Unix sockets are relative to the file; whoever may open a socket may call. Calls by TCP need a token.
    """

    socket: str | None = None  # reads and changes; only for the daemon's user
    read_socket: str | None = None  # reads; also for the group
    audit: str | None = None  # file of audit entries; default: the log
    address: str | None = None  # TCP address, with `tokens`
    tokens: str | None = None  # file of roles and token digests; `micastand token` creates its lines
    why: Annotated[int, Meta(ge=0, le=100_000)] = (
        0  # recent requests of each pool whose decisions are kept for `why`
    )


class FleetTable(Struct, frozen=True, kw_only=True):
    """Configures the fleet that this instance belongs to, and its address there."""

    name: Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.\-]{0,47}$")]  # unique name of this instance
    bind: str  # address for datagrams and TCP exchanges, on one port
    advertise: str | None = None  # address announced to other instances, if it differs from `bind`
    seeds: list[str] = []  # addresses of some other instances, contacted first
    key_file: (
        str  # one line of 64 hexadecimal digits, or two while the key changes; only the owner may have access
    )
    zone: Annotated[str, Meta(max_length=48)] = ""
    instances: Count = 1  # expected number of instances
    profile: Literal["lan", "wan", "swift"] = "lan"
    voters: list[
        Name
    ] = []  # initial voters, whose majority decides on operators' changes; none: each instance by itself
    stale_most: Duration = Duration(
        10.0
    )  # how long an instance may act on an older version than that of the fleet
    cut_off: Literal["refuse", "serve"] = (
        "refuse"  # what an instance does after this time without the version of the fleet
    )


class File(Struct, frozen=True, kw_only=True):
    """Holds a whole configuration file."""

    process: ProcessTable = ProcessTable()
    store: StoreTable | None = None
    management: ManagementTable | None = None
    fleet: FleetTable | None = None
    log: LogTable | None = None  # default: the plain form of the platform
    class_: list[ClassTable] = field(name="class", default=[])
    tenant: list[TenantTable] = []
    plugin: list[PluginTable] = []
    pool: list[PoolTable]
    route: list[RouteTable]
    listener: list[ListenerTable]


class MembersFile(Struct, frozen=True, kw_only=True):
    """Holds a file that lists the members of a pool."""

    member: list[MemberTable]
