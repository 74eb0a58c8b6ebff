"""The hook, version 1: what a plug-in sees of a request, what it may say, and how its words are checked. No I/O.

Both ways it is text, a line for each fact, so that a plug-in can be written in whatever compiles to WebAssembly without
a library. What comes back is input like any client's: bounded, parsed strictly, and refused whole at the first line
that is not allowed. A plug-in never picks a member, never repeats a request, makes no unsafe class safe, lengthens no
deadline, forges no id and touches no framing.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Callable, Iterable, Mapping, NamedTuple

#: That a module's `micastand_hook` export returns.
VERSION = 1
#: Bytes that a plug-in may say about one request; more is a failure, however good.
SAID_MOST = 8 << 10
LINES_MOST = 64
TAGS_MOST = 16
#: The clock that plug-ins see goes in such steps, in seconds: enough for cut-off nights, too coarse to time others.
CLOCK_STEP_S = 60
PRIORITIES = ("low", "normal", "high")
#: What a class may be changed to, by the effect of the request: never to a safer one, which would be sent again.
EFFECTS = ("safe", "keyed", "unsafe")
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,64}")
#: What may stand in a value: visible ASCII, spaces and tabs (RFC 9110, 5.5, without obs-text).
VALUE = re.compile(r"[\t\x20-\x7e]{0,1024}")
#: Headers that frame a message, route it, prove who sent it or tell one request from another.
PROTECTED = frozenset((
    "connection", "content-length", "content-encoding", "expect", "forwarded", "host", "idempotency-key", "keep-alive",
    "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "x-remaining",
    "x-request-id", "x-resent", "x-turned-away", "x-txn",
))  # fmt: skip
PROTECTED_PREFIX = "x-forwarded-"
#: Statuses with which a request may be turned away: the client's fault, or a refusal. It has not run.
AWAY = frozenset(("400", "401", "403", "404", "405", "410", "413", "415", "422", "429", "451", "503"))


class SaidError(ValueError):
    """What a plug-in said is not allowed, or is nothing that could be read."""


class Seen(NamedTuple):
    """A request whose head is whole."""

    method: str
    path: str
    headers: Iterable[tuple[str, str]]
    cls: str
    tenant: str
    zone: str
    listener: str
    clock: float  # Unix time in seconds; seen in steps of CLOCK_STEP_S
    settings: Mapping[str, str]  # the plug-in's own, from the configuration


@dataclass
class Said:
    """What a plug-in wants, checked."""

    tags: dict[str, str] = field(default_factory=dict)
    cls: str | None = None
    tenant: str | None = None
    priority: str = "normal"
    set: dict[str, str] = field(default_factory=dict)  # headers by name, which replace those that came
    drop: list[str] = field(default_factory=list)  # names of headers, in lower case
    away: tuple[int, str] | None = None  # turned away, with status and reason


class World(NamedTuple):
    """What names a plug-in may use."""

    effects: Mapping[str, str]  # of classes, by their names: one of EFFECTS
    tenants: frozenset[str]
    protected: frozenset[str] = frozenset()  # further headers, in lower case, such as those of keys


def write_seen(seen: Seen) -> bytes:
    """The request as a plug-in reads it: `key SP value LF`. Line ends in values would be lines of a client's own."""
    lines = [
        f"method {seen.method}",
        f"path {seen.path}",
        f"class {seen.cls}",
        f"tenant {seen.tenant}",
        f"zone {seen.zone}",
        f"listener {seen.listener}",
        f"clock {int(seen.clock // CLOCK_STEP_S) * CLOCK_STEP_S}",
    ]
    lines += [f"setting {name} {value}" for name, value in seen.settings.items()]
    lines += [f"header {name.lower()} {value}" for name, value in seen.headers]
    text = "\n".join(lines) + "\n"
    if "\r" in text or text.count("\n") != len(lines):
        text = "".join(line.replace("\r", " ").replace("\n", " ") + "\n" for line in lines)
    return text.encode("utf-8", "replace")


def read_said(data: bytes, cls: str, world: World) -> Said:
    """What a plug-in said about a request of class `cls`; SaidError, and nothing of it holds, where a line is not
    allowed."""
    if len(data) > SAID_MOST:
        raise SaidError(f"{len(data)} bytes; {SAID_MOST} at most are taken")
    try:
        lines = data.decode("utf-8").split("\n")
    except UnicodeDecodeError as problem:
        raise SaidError(f"no UTF-8 at byte {problem.start}") from None
    if lines.pop():
        raise SaidError("the last line has no end")
    if len(lines) > LINES_MOST:
        raise SaidError(f"{len(lines)} lines; {LINES_MOST} at most are taken")
    said = Said()
    for line in lines:
        _line(said, line, cls, world)
    return said


def _line(said: Said, line: str, cls: str, world: World) -> None:
    word, _, rest = line.partition(" ")
    if word == "class":
        said.cls = _class(rest, cls, world)
    elif word in WORDS:
        WORDS[word](said, rest, world)
    else:
        raise SaidError(f"the word {word[:64]!r}; it is one of class, {', '.join(WORDS)}")


def _tag(said: Said, rest: str, world: World) -> None:
    name, value = _pair(rest)
    said.tags[name] = value
    if len(said.tags) > TAGS_MOST:
        raise SaidError(f"more than {TAGS_MOST} tags")


def _tenant(said: Said, rest: str, world: World) -> None:
    if rest not in world.tenants:
        raise SaidError(f"there is no tenant {rest[:64]!r}")
    said.tenant = rest


def _priority(said: Said, rest: str, world: World) -> None:
    if rest not in PRIORITIES:
        raise SaidError(f"the priority {rest[:64]!r}; it is one of {', '.join(PRIORITIES)}")
    said.priority = rest


def _set(said: Said, rest: str, world: World) -> None:
    name, value = _pair(rest)
    said.set[_header(name, world)] = value


def _drop(said: Said, rest: str, world: World) -> None:
    said.drop.append(_header(rest, world))


def _away(said: Said, rest: str, world: World) -> None:
    status, _, reason = rest.partition(" ")
    if status not in AWAY:
        raise SaidError(
            f"the status {status[:64]!r}; a request is turned away with one of {', '.join(sorted(AWAY))}"
        )
    if not VALUE.fullmatch(reason):
        raise SaidError("the reason: visible ASCII of 1,024 bytes at most is wanted")
    said.away = int(status), reason


WORDS: dict[str, Callable[[Said, str, World], None]] = {
    "tag": _tag, "tenant": _tenant, "priority": _priority, "set": _set, "drop": _drop, "away": _away,
}  # fmt: skip


def _pair(text: str) -> tuple[str, str]:
    name, _, value = text.partition(" ")
    if not TOKEN.fullmatch(name):
        raise SaidError(f"the name {name[:64]!r}")
    if not VALUE.fullmatch(value):
        raise SaidError(f"the value of {name}: visible ASCII of 1,024 bytes at most is wanted")
    return name, value


def _class(name: str, cls: str, world: World) -> str:
    """Guards against a plug-in that makes an unsafe request safe: it would be sent again. Harm: none to one that
    tells classes of the same effect apart."""
    if name not in world.effects:
        raise SaidError(f"there is no class {name[:64]!r}")
    if EFFECTS.index(world.effects[name]) < EFFECTS.index(world.effects.get(cls, EFFECTS[-1])):
        raise SaidError(
            f"class {name} is {world.effects[name]}, and the request may not become safer than {cls}"
        )
    return name


def _header(name: str, world: World) -> str:
    key = name.lower()
    if not TOKEN.fullmatch(name):
        raise SaidError(f"the header {name[:64]!r}")
    if key in PROTECTED or key in world.protected or key.startswith(PROTECTED_PREFIX):
        raise SaidError(
            f"the header {key}: it frames, routes or tells requests apart, and is not a plug-in's to touch"
        )
    return key
