"""The plug-in hook, version 1: the request as a plug-in receives it, and the parser of its output. No I/O.

Both directions are text, one fact to a line, so that a plug-in can be written without a library in any language that
compiles to WebAssembly. The output is untrusted like a client's input: its size is bounded, it is parsed strictly, and
it is rejected as a whole at the first invalid line. A plug-in cannot select a member, retry a request, make an unsafe
class safe, extend a deadline, forge an id or change the framing.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Callable, Iterable, Mapping, NamedTuple

#: The hook version, which a module's `micastand_hook` export must return.
VERSION = 1
#: Limits on the output of one call; longer output is a failure even where each line is valid.
MAX_OUTPUT_BYTES = 8 << 10
MAX_LINES = 64
MAX_TAGS = 16
#: Resolution of the clock that plug-ins see, in seconds: fine enough to recognise cut-off nights, too coarse to
#: measure the timing of other requests.
CLOCK_STEP_S = 60
PRIORITIES = ("low", "normal", "high")
#: Effects of request classes, from the safest on. A plug-in may not choose a class with a safer effect, since such a
#: request would be retried.
EFFECTS = ("safe", "keyed", "unsafe")
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,64}")
#: Allowed values: visible ASCII, spaces and tabs (RFC 9110, 5.5, without obs-text).
VALUE = re.compile(r"[\t\x20-\x7e]{0,1024}")
#: Headers that a plug-in may not change: they frame a message, route it, authenticate its sender or identify a request.
PROTECTED = frozenset((
    "connection", "content-length", "content-encoding", "expect", "forwarded", "host", "idempotency-key", "keep-alive",
    "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "x-remaining",
    "x-request-id", "x-resent", "x-turned-away", "x-txn",
))  # fmt: skip
PROTECTED_PREFIX = "x-forwarded-"
#: Statuses that a plug-in may reject a request with: client errors and refusals. The request has not run.
REJECTION_STATUSES = frozenset(
    ("400", "401", "403", "404", "405", "410", "413", "415", "422", "429", "451", "503")
)


class PluginOutputError(ValueError):
    """The output of a plug-in cannot be parsed, or asks for something that is not allowed."""


class PluginRequest(NamedTuple):
    """The input of a plug-in: a request whose head has been received completely, and its context."""

    method: str
    path: str
    headers: Iterable[tuple[str, str]]
    cls: str
    tenant: str
    zone: str
    listener: str
    clock: float  # Unix time in seconds; passed to the plug-in in steps of CLOCK_STEP_S
    settings: Mapping[str, str]  # of this plug-in, from the configuration


@dataclass
class PluginOutput:
    """The parsed and validated output of a plug-in."""

    tags: dict[str, str] = field(default_factory=dict)
    cls: str | None = None
    tenant: str | None = None
    priority: str = "normal"
    set: dict[str, str] = field(default_factory=dict)  # headers to add or replace, by lower-case name
    drop: list[str] = field(default_factory=list)  # lower-case names of headers to remove
    rejection: tuple[int, str] | None = None  # status and reason, where the request is rejected


class AllowedNames(NamedTuple):
    """The names that a plug-in may refer to."""

    effects: Mapping[str, str]  # one of EFFECTS for each class, by class name
    tenants: frozenset[str]
    protected: frozenset[str] = frozenset()  # further protected headers, in lower case, such as key headers


def encode_request(request: PluginRequest) -> bytes:
    """Encode a request for a plug-in, as lines of `key SP value LF`.

    Line ends inside a value become spaces: otherwise a client could inject lines of its own.
    """
    lines = [
        f"method {request.method}",
        f"path {request.path}",
        f"class {request.cls}",
        f"tenant {request.tenant}",
        f"zone {request.zone}",
        f"listener {request.listener}",
        f"clock {int(request.clock // CLOCK_STEP_S) * CLOCK_STEP_S}",
    ]
    lines += [f"setting {name} {value}" for name, value in request.settings.items()]
    lines += [f"header {name.lower()} {value}" for name, value in request.headers]
    text = "\n".join(lines) + "\n"
    if "\r" in text or text.count("\n") != len(lines):
        text = "".join(line.replace("\r", " ").replace("\n", " ") + "\n" for line in lines)
    return text.encode("utf-8", "replace")


def parse_output(data: bytes, cls: str, names: AllowedNames) -> PluginOutput:
    """Parse the output of a plug-in for a request of class `cls`.

    Raises:
        PluginOutputError: A line is invalid or not allowed; the whole output is rejected.
    """
    if len(data) > MAX_OUTPUT_BYTES:
        raise PluginOutputError(f"the output has {len(data)} bytes; at most {MAX_OUTPUT_BYTES} are allowed")
    try:
        lines = data.decode("utf-8").split("\n")
    except UnicodeDecodeError as problem:
        raise PluginOutputError(f"the output is not valid UTF-8 at byte {problem.start}") from None
    if lines.pop():
        raise PluginOutputError("the last line does not end in a line feed")
    if len(lines) > MAX_LINES:
        raise PluginOutputError(f"the output has {len(lines)} lines; at most {MAX_LINES} are allowed")
    output = PluginOutput()
    for line in lines:
        _apply_line(output, line, cls, names)
    return output


def _apply_line(output: PluginOutput, line: str, cls: str, names: AllowedNames) -> None:
    directive, _, rest = line.partition(" ")
    if directive == "class":
        output.cls = _check_class(rest, cls, names)
    elif directive in DIRECTIVES:
        DIRECTIVES[directive](output, rest, names)
    else:
        raise PluginOutputError(
            f"unknown directive {directive[:64]!r}; expected one of class, {', '.join(DIRECTIVES)}"
        )


def _apply_tag(output: PluginOutput, rest: str, names: AllowedNames) -> None:
    name, value = _parse_pair(rest)
    output.tags[name] = value
    if len(output.tags) > MAX_TAGS:
        raise PluginOutputError(f"there are more than {MAX_TAGS} tags")


def _apply_tenant(output: PluginOutput, rest: str, names: AllowedNames) -> None:
    if rest not in names.tenants:
        raise PluginOutputError(f"there is no tenant {rest[:64]!r}")
    output.tenant = rest


def _apply_priority(output: PluginOutput, rest: str, names: AllowedNames) -> None:
    if rest not in PRIORITIES:
        raise PluginOutputError(f"unknown priority {rest[:64]!r}; expected one of {', '.join(PRIORITIES)}")
    output.priority = rest


def _apply_set(output: PluginOutput, rest: str, names: AllowedNames) -> None:
    name, value = _parse_pair(rest)
    output.set[_check_header(name, names)] = value


def _apply_drop(output: PluginOutput, rest: str, names: AllowedNames) -> None:
    output.drop.append(_check_header(rest, names))


def _apply_away(output: PluginOutput, rest: str, names: AllowedNames) -> None:
    status, _, reason = rest.partition(" ")
    if status not in REJECTION_STATUSES:
        raise PluginOutputError(
            f"status {status[:64]!r} can't reject a request; expected one of {', '.join(sorted(REJECTION_STATUSES))}"
        )
    if not VALUE.fullmatch(reason):
        raise PluginOutputError("the reason must be visible ASCII, at most 1,024 bytes")
    output.rejection = int(status), reason


#: Applies the rest of a line, by its first word; `class` is handled apart.
DIRECTIVES: dict[str, Callable[[PluginOutput, str, AllowedNames], None]] = {
    "tag": _apply_tag, "tenant": _apply_tenant, "priority": _apply_priority, "set": _apply_set, "drop": _apply_drop,
    "away": _apply_away,
}  # fmt: skip


def _parse_pair(text: str) -> tuple[str, str]:
    name, _, value = text.partition(" ")
    if not TOKEN.fullmatch(name):
        raise PluginOutputError(
            f"{name[:64]!r} is not a valid name; expected 1 to 64 characters of an HTTP token"
        )
    if not VALUE.fullmatch(value):
        raise PluginOutputError(f"the value of {name} must be visible ASCII, at most 1,024 bytes")
    return name, value


def _check_class(name: str, cls: str, names: AllowedNames) -> str:
    """Check the class that a plug-in chose for a request of class `cls`, and return it.

    A class with a safer effect is rejected, since an unsafe request would then be retried. Choosing between classes
    of the same effect stays possible.
    """
    if name not in names.effects:
        raise PluginOutputError(f"there is no class {name[:64]!r}")
    if EFFECTS.index(names.effects[name]) < EFFECTS.index(names.effects.get(cls, EFFECTS[-1])):
        raise PluginOutputError(
            f"class {name} is {names.effects[name]}, which is safer than the effect of the request's class {cls}"
        )
    return name


def _check_header(name: str, names: AllowedNames) -> str:
    """Check that a plug-in may change a header, and return its lower-case name."""
    key = name.lower()
    if not TOKEN.fullmatch(name):
        raise PluginOutputError(
            f"{name[:64]!r} is not a valid header name; expected 1 to 64 characters of an HTTP token"
        )
    if key in PROTECTED or key in names.protected or key.startswith(PROTECTED_PREFIX):
        raise PluginOutputError(
            f"the header {key} is protected, since it frames, routes or identifies requests; a plug-in can't change it"
        )
    return key
