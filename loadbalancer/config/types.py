"""What may stand in micastand.toml, table by table. Types alone: what must fit together is checked in check.py."""

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
    """Seconds, written with their unit."""

    wanted = 'a duration in quotes with its unit, such as "600ms", "1.5s", "2m"'

    @classmethod
    def read(cls, value: object) -> Duration:
        match = _DURATION.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            raise ValueError(f"{value!r} is not {cls.wanted}")
        return cls(float(match[1]) * _SECONDS[match[2]])


class Size(int):
    """Bytes, written with their unit."""

    wanted = 'a size in quotes with its unit, such as "64KiB", "1.5MiB"'

    @classmethod
    def read(cls, value: object) -> Size:
        match = _SIZE.fullmatch(value) if isinstance(value, str) else None
        if match is None or not math.isfinite(float(match[1])):
            raise ValueError(f"{value!r} is not {cls.wanted}")
        return cls(float(match[1]) * _BYTES[match[2]])


Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.\-]*$")]
#: A header's name (RFC 9110, 5.1).
Header = Annotated[str, Meta(pattern=r"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")]
Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Number = Annotated[int, Meta(ge=0)]


class ProcessTable(Struct, frozen=True, kw_only=True):
    memory: Size = Size(128 << 20)  # of the whole process; buffers get half of what the program leaves
    descriptors: Annotated[int, Meta(ge=64)] = 1024  # of all sockets
    zone: str = ""  # where this proxy stands
    zones: list[str] = []  # all of them, for pools whose members come from discovery
    instances: Count = 1  # proxies that send to the same members


class ClassTable(Struct, frozen=True, kw_only=True):
    name: Name
    aim: Duration  # an answer within this is in time
    deadline: Duration  # and after this nobody waits for it any more
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_share: Share = 1.0  # of the worth that an answer after the aim still has
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    key_header: Header = "Idempotency-Key"
    dedup_scope: Literal["all", "zone", "cell"] = "all"
    dedup_window: Duration = Duration(0.0)
    remember: Duration = Duration(
        0.0
    )  # for so long a key that was answered gets the same answer; needs [store]
    remember_answer: Size = Size(16 << 10)  # bytes of an answer up to which it is kept


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
    set: Number = 0  # a set serves while no lower one has a usable member
    route: Name | None = None  # as it stands in sticky sessions; its id if it is not given
    domain: Name | None = (
        None  # members of one domain share their sessions, which may name it in place of a member
    )
    redirect: Name | None = None  # the route or domain that its sessions go to while it is not usable
    started: Annotated[float, Meta(ge=0)] | None = None  # Unix time of its last start


class RepeatsTable(Struct, frozen=True, kw_only=True):
    """When another attempt may follow. Nothing here makes an unsafe request go twice: the module rules on that."""

    on: tuple[str, ...] = ("connect", "reset", "timeout", "refused", "502", "503", "504")
    attempt_time: Duration | None = None  # of one attempt, inside the deadline
    share: Share = 0.1  # second attempts for each first one, in the long run
    hedge_after: Duration | None = None  # of silence, after which a second copy goes out; wants second_copies
    hedge_percentile: Annotated[float, Meta(ge=50, le=99.9)] | None = (
        None  # of a class's answers, in place of a time
    )
    header: Header | None = (
        None  # with which a member asks for another attempt, whatever its status from 500 on
    )


class TunnelsTable(Struct, frozen=True, kw_only=True):
    most: Number = 256  # of one pool at once
    idle: Duration = Duration(300.0)  # without a byte either way
    life: Duration = Duration(12 * 3600.0)
    grace: Duration = Duration(5.0)  # after the pool, the member or the process was told to end


class LimitsTable(Struct, frozen=True, kw_only=True):
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    second_copies: bool = False  # of a request that may be repeated, while the first attempt is silent
    connect_timeout: Duration = Duration(0.25)
    idle_close: Duration = Duration(15.0)  # after this a member closes a connection that stands idle
    idle_connections: Number = 64  # kept to one member
    request_body: Size = Size(1 << 20)
    answer_body: Size = Size(1 << 20)  # of an answer that is judged whole
    answer_stream: Size = Size(0)  # of one that is passed on as it comes; 0: none is
    retry_after: Duration = Duration(0.0)  # a refusal may ask clients to stay away for this long at most
    share: Positive = 1.0  # of descriptors, buffers and time on the processor, beside the other pools


class RulesTable(Struct, frozen=True, kw_only=True):
    drain_grace: Duration = Duration(1.0)
    cold_time: Duration = Duration(10.0)  # a member is warm after this
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.3  # share of its capacity at its start
    overload_factor: Annotated[float, Meta(gt=1)] = 2.5
    fall_time: Duration = Duration(2.0)
    new_members: Literal["cold", "warm"] = "cold"  # such as appear while the proxy runs, and say no start
    standby: Literal["cold", "warm"] = "cold"  # members of a set that has not served for `cold_time`


class FastCgiTable(Struct, frozen=True, kw_only=True):
    params: dict[str, str] = {}  # such as SCRIPT_FILENAME; they stand above what a request says
    keep: bool = True  # connections are kept where the application does
    multiplex: bool = False  # ask for FCGI_MPXS_CONNS, and send several requests at once where it is 1


class PairTable(Struct, frozen=True, kw_only=True):
    """Files in PEM form, relative to ours."""

    chain: str  # the certificate first, then those that signed it
    key: str  # unencrypted, for its owner alone


class ListenerTlsTable(Struct, frozen=True, kw_only=True):
    certificate: list[PairTable]  # by names; the first serves where no other has the name
    minimum: Literal["1.2", "1.3"] = "1.2"
    clients: Literal["none", "optional", "required"] = "none"  # whether they show a certificate
    client_roots: list[str] = []  # files of who signs theirs; all count, so old and new may overlap
    client_revoked: str | None = None
    tenants: dict[str, str] = {}  # tenants by the names in clients' certificates
    ticket_life: Duration = Duration(3600.0)  # the keys of session tickets are made anew
    handshake_time: Duration = Duration(2.5)
    handshakes_at_once: Count = 64
    handshakes_per_s: Positive = 200.0  # of strangers
    handshakes_per_address: Count = 16  # under way or waiting, of a stranger's


class PoolTlsTable(Struct, frozen=True, kw_only=True):
    roots: list[str] = []  # files of who signs members' certificates; the system's if none is given
    revoked: str | None = None
    name: str = "id"  # that a member's certificate is for: its "id", its "address", or this name for all
    certificate: PairTable | None = None  # that we show
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
    tls: PoolTlsTable | None = None  # what is spoken to members is wrapped in it
    rules: RulesTable = RulesTable()
    sticky_while_draining: bool = False  # a draining member keeps the sessions that it has
    refusal_header: Header | None = None  # with this, a 503 or 504 says that the request never ran
    load_header: Header | None = None  # a JSON object: utilization, recent_ms, throughput and others
    close_delimited: bool = False  # take an answer that ends with its connection for whole


class StickyTable(Struct, frozen=True, kw_only=True):
    cookie: Header | None = None
    path_parameter: Name | None = None
    separator: Annotated[str, Meta(min_length=1, max_length=1)] | None = None
    separator_at: Literal["first", "last"] = "last"  # the name is what stands behind this one
    prefer: Literal["cookie", "path"] = "cookie"  # where both are there
    bound: bool = False  # a session whose member is listed and not usable is refused, and not moved


class PluginTable(Struct, frozen=True, kw_only=True):
    name: Name
    file: str  # WebAssembly, binary or as WAT
    on_failure: Literal["pass", "turn_away"] = "pass"  # for a call that fails, and while it is skipped
    settings: dict[Name, str] = {}  # that the plug-in sees


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
    headers: dict[str, str] = {}  # a value of "*" asks only that the header is there
    suffix: str | None = None  # with prefix or pattern: the last segment ends so, such as ".jsp"
    pool: str | None = None
    status: Annotated[int, Meta(ge=400, le=599)] | None = (
        None  # in place of a pool: the answer to all its requests
    )
    rewrite: str | None = None  # takes the place of the prefix on the way to members
    reverse: list[
        SwapTable
    ] = []  # places in Location and its like: whole addresses or paths, by whole segments
    reverse_cookie_path: list[SwapTable] = []
    reverse_cookie_domain: list[SwapTable] = []
    class_: str | None = field(name="class", default=None)
    write_class: str | None = None  # for methods that are not safe, where `class` is a safe one
    deadline: Duration | None = None
    tenant: str | None = None
    sticky: StickyTable | None = None
    upgrade: list[Name] = []  # protocols that requests may go over to, such as "websocket"
    attempts: Annotated[int, Meta(ge=1, le=10)] | None = None  # of one request, under the pool's
    repeat_on: tuple[str, ...] | None = None  # after what another may follow, in place of the pool's
    plugins: list[str] = []  # called in this order once the head is whole


class AdmissionTable(Struct, frozen=True, kw_only=True):
    """Caps hold for an address of which nothing is known; one that behaves earns `growth` times as much."""

    connections_per_address: Count | None = None  # open at once; a /24 or /64 may have four times as many
    connects_per_s: Positive | None = None  # new ones, of one address
    requests_per_address: Count | None = None  # open at once
    growth: Annotated[float, Meta(ge=1)] = 16.0
    remembered: Annotated[int, Meta(ge=256, le=1 << 20)] = 16384  # addresses; some 300 bytes each
    exempt: list[str] = []  # networks of fronts that speak for many clients
    known: list[str] = []  # networks for which a part of the slots is reserved
    reserve: Annotated[float, Meta(ge=0, le=0.9)] = 0.0  # that part


class ListenerTable(Struct, frozen=True, kw_only=True):
    name: Name
    address: str
    protocol: Literal["http/1.1", "fastcgi"] = "http/1.1"
    requests_at_once: Annotated[int, Meta(ge=1, le=1024)] = 16  # on one connection of a FastCGI client
    routes: list[str] | None = None  # all of them, if it is not given
    trusted: list[str] = []  # networks whose Forwarded and X-Forwarded-* are believed
    ready_path: str | None = None  # answers 200 while the listener wants clients
    encoded_slashes: Literal["reject", "keep"] = "reject"
    share: Positive = 1.0  # of the descriptors for clients
    admission: AdmissionTable | None = None
    tls: ListenerTlsTable | None = None
    proxy_protocol_from: list[
        str
    ] = []  # networks that write a PROXY header, version 1 or 2, ahead of each connection


class StoreTable(Struct, frozen=True, kw_only=True):
    folder: str
    size: Size = Size(256 << 20)  # of all segments; there are two copies of each
    keys: Annotated[int, Meta(ge=1, le=20_000_000)] = 1_000_000


class LogTable(Struct, frozen=True, kw_only=True):
    form: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class ManagementTable(Struct, frozen=True, kw_only=True):
    """Unix sockets, relative to the file; who may open them may call. By TCP who has a token."""

    socket: str | None = None  # reads and changes; for the daemon's user alone
    read_socket: str | None = None  # reads; for its group too
    audit: str | None = None  # a file; the log if it is not given
    address: str | None = None  # by TCP, with `tokens`
    tokens: str | None = None  # a file of roles and digests; `micastand token` makes lines of it
    why: Annotated[int, Meta(ge=0, le=100_000)] = (
        0  # requests of each pool whose decisions are kept for `why`
    )


class FleetTable(Struct, frozen=True, kw_only=True):
    """Which fleet this instance is one of, and how it is reached there."""

    name: Annotated[
        str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.\-]{0,47}$")
    ]  # of this instance, and of no other
    bind: str  # datagrams and exchanges, at one port
    advertise: str | None = None  # what others are told, where it differs
    seeds: list[str] = []  # addresses of some others, to begin with
    key_file: str  # a line of 64 hexadecimal digits, or two while the key changes; for its owner alone
    zone: Annotated[str, Meta(max_length=48)] = ""
    instances: Count = 1  # how many there should be
    profile: Literal["lan", "wan", "swift"] = "lan"
    voters: list[
        Name
    ] = []  # instances whose majority decides on operators' words, to begin with; none: each by itself
    stale_most: Duration = Duration(
        10.0
    )  # for so long an instance may act on an older version than the fleet's
    cut_off: Literal["refuse", "serve"] = "refuse"  # what one does that can't learn the fleet's for so long


class File(Struct, frozen=True, kw_only=True):
    """A whole file."""

    process: ProcessTable = ProcessTable()
    store: StoreTable | None = None
    management: ManagementTable | None = None
    fleet: FleetTable | None = None
    log: LogTable | None = None  # the plain form of the platform if it is not given
    class_: list[ClassTable] = field(name="class", default=[])
    tenant: list[TenantTable] = []
    plugin: list[PluginTable] = []
    pool: list[PoolTable]
    route: list[RouteTable]
    listener: list[ListenerTable]


class MembersFile(Struct, frozen=True, kw_only=True):
    """A pool's members in a file of their own."""

    member: list[MemberTable]
