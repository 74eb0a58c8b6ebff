"""A file into its types, and every error that stands in it, not the first alone."""

from __future__ import annotations

import difflib
import ipaddress
import json
import tomllib
import types
import typing
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Mapping, Sequence, TypeVar

import msgspec
from msgspec import Struct, structs

from loadbalancer.config.types import Duration, File, MembersFile, MemberTable, Size

T = TypeVar("T", bound=Struct)
#: Bytes of a Unix socket's path that the kernel takes, 107, and our prefix.
UNIX_MOST = 107 + 5


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong: where, and in words what it is and what would be right."""

    file: str
    key: str  # path of the key, such as pool[web].member[0].weight; empty for the whole file
    text: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.text}" if self.key else f"{self.file}: {self.text}"


class ConfigError(ValueError):
    """A file that can't be used, with all that is wrong in it."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


class Problems:
    """Gathers what is wrong in one file."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.found: list[Problem] = []

    def add(self, key: str, text: str) -> None:
        self.found.append(Problem(self.file, key, text))

    def stop(self) -> None:
        """ConfigError if anything was found."""
        if self.found:
            raise ConfigError(self.found)


def _hook(kind: type, value: object) -> object:
    if kind in (Duration, Size):
        return kind.read(value)
    raise NotImplementedError(kind)


def _table_in(kind: Any) -> type[Struct] | None:
    """The table that a type is, or may be."""
    options = typing.get_args(kind) if isinstance(kind, types.UnionType) else (kind,)
    return next((o for o in options if isinstance(o, type) and issubclass(o, Struct)), None)


def _list_in(kind: Any) -> type[Struct] | None:
    """The table that a type is a list of."""
    if typing.get_origin(kind) is list:
        return _table_in(typing.get_args(kind)[0])
    return None


def label(box: object, number: int) -> str:
    """How an entry of a list is named in the path of a key: by its name, else by its place."""
    name = box.get("name", box.get("id")) if isinstance(box, dict) else None
    return f"[{name}]" if isinstance(name, str) and name else f"[{number}]"


def _read_value(kind: Any, value: object, key: str, problems: Problems) -> Any:
    inner = _list_in(kind)
    if inner is not None:
        if not isinstance(value, list):
            problems.add(key, f"a list of tables is wanted: [[{key}]]")
            return []
        return [read_table(inner, box, key + label(box, n), problems) for n, box in enumerate(value)]
    table = _table_in(kind)
    if table is not None:
        return read_table(table, value, key, problems)
    try:
        return msgspec.convert(value, kind, dec_hook=_hook)
    except msgspec.ValidationError as problem:
        problems.add(key, _words(value, str(problem)))
        return None


def _words(value: object, text: str) -> str:
    """msgspec's words for a wrong value, with the value itself."""
    text = text.removesuffix(" - at `$`")
    return text if repr(value) in text else f"{value!r}: {text[:1].lower()}{text[1:]}"


def _read_fields(kind: type[Struct], box: Mapping[str, Any], key: str, problems: Problems) -> dict[str, Any]:
    """What can be read of a table, by the names of its attributes."""
    fields = {info.encode_name: info for info in structs.fields(kind)}
    prefix = f"{key}." if key else ""
    for name in box.keys() - fields.keys():
        near = difflib.get_close_matches(str(name), fields, 1, 0.7)
        hint = f"did you mean {near[0]}?" if near else f"known here: {', '.join(sorted(fields))}"
        problems.add(f"{prefix}{name}", f"unknown key; {hint}")
    values = {}
    for name, info in fields.items():
        if name in box:
            values[info.name] = _read_value(info.type, box[name], f"{prefix}{name}", problems)
        elif info.required:
            problems.add(f"{prefix}{name}", f"missing; {_wanted(info.type, name)} is wanted")
        else:
            values[info.name] = _default(info)
    return values


def _default(info: structs.FieldInfo) -> Any:
    return info.default if info.default_factory is msgspec.NODEFAULT else info.default_factory()


def read_table(kind: type[T], box: object, key: str, problems: Problems) -> T | None:
    """A table into its type; None, with its problems noted, where it can't be."""
    if not isinstance(box, dict):
        problems.add(key, f"{box!r} is not a table")
        return None
    before = len(problems.found)
    values = _read_fields(kind, box, key, problems)
    return kind(**values) if len(problems.found) == before else None


def _wanted(kind: Any, name: str) -> str:
    if kind in (Duration, Size):
        return str(kind.wanted)
    if _list_in(kind) is not None:
        return f"at least one [[{name}]]"
    return "text" if "str" in str(kind) else "a number"


def _load(path: Path, problems: Problems) -> Any:
    try:
        data = path.read_bytes()
        if path.suffix == ".json":
            return json.loads(data)
        return tomllib.loads(data.decode())
    except OSError as problem:
        problems.add("", f"can't be read: {problem.strerror}")
    except UnicodeDecodeError as problem:
        problems.add("", f"not UTF-8 at byte {problem.start}")
    except ValueError as problem:
        problems.add("", f"not {'JSON' if path.suffix == '.json' else 'TOML'}: {problem}")
    problems.stop()


def read_file(path: Path) -> tuple[dict[str, Any], dict[str, Any], Problems]:
    """What of a configuration can be read by its types alone (attributes of File, entries that can't be read as
    None), the tables as they stand in the file, and what is wrong so far.

    ConfigError where the file can't be read at all."""
    problems = Problems(str(path))
    box = _load(path, problems)
    return _read_fields(File, box, "", problems), box, problems


def read_members_file(path: Path) -> list[MemberTable]:
    """The members that a file lists; ConfigError if anything in it is wrong.

    Half a file never passes: cut short, TOML and JSON alike either can't be read, or lack what is counted in
    `members`, which a file written in place must state first."""
    problems = Problems(str(path))
    box = _load(path, problems)
    count = box.pop("members", None) if isinstance(box, dict) else None
    file = read_table(MembersFile, box, "", problems)
    problems.stop()
    assert file is not None
    if count is not None and count != len(file.member):
        problems.add(
            "members", f"{count!r} are said to follow and {len(file.member)} do; write the file whole"
        )
    check_members(file.member, "", problems)
    problems.stop()
    return file.member


def check_members(members: Sequence[MemberTable | None], key: str, problems: Problems) -> None:
    """What must hold among the members of one pool."""
    ids: dict[str, int] = {}
    routes: dict[str, str] = {}
    addresses: dict[str, str] = {}
    for number, member in enumerate(members):
        if member is None:
            continue
        at = f"{key}member[{member.id}]"
        if member.id in ids:
            problems.add(f"{key}member[{number}].id", f"{member.id!r} stands twice; ids are one to a member")
        ids[member.id] = number
        route = member.route or member.id
        if routes.setdefault(route, member.id) != member.id:
            problems.add(f"{at}.route", f"{route!r} is that of member {routes[route]!r} too")
        if addresses.setdefault(member.address, member.id) != member.id:
            problems.add(
                f"{at}.address", f"{member.address} is that of member {addresses[member.address]!r} too"
            )
        try:
            read_address(member.address)
        except ValueError as problem:
            problems.add(f"{at}.address", str(problem))
    _check_sessions([member for member in members if member is not None], key, problems)


def _check_sessions(members: Sequence[MemberTable], key: str, problems: Problems) -> None:
    """Names of routes and domains are told apart, and a redirect names one of them."""
    routes = {member.route or member.id for member in members}
    domains = {member.domain for member in members if member.domain is not None}
    for member in members:
        at = f"{key}member[{member.id}]"
        if (
            member.domain is not None
            and member.domain in routes
            and member.domain != (member.route or member.id)
        ):
            problems.add(
                f"{at}.domain", f"{member.domain!r} is the route of a member; another name is wanted"
            )
        if member.redirect is not None and member.redirect not in routes | domains:
            problems.add(f"{at}.redirect", f"{member.redirect!r} is neither a member's route nor a domain")


def read_address(text: str) -> tuple[str, int]:
    """An IPv4 address and a port, or `unix:` and a path with 0; ValueError in words that say what would be right."""
    if text.startswith("unix:"):
        if not text.startswith("unix:/") or "\0" in text or len(text.encode()) > UNIX_MOST:
            raise ValueError(
                f"{text!r}: an absolute path of up to {UNIX_MOST - 5} bytes is wanted after unix:"
            )
        return text, 0
    host, _, port = text.rpartition(":")
    try:
        number = int(port)
        if not (port.isascii() and port.isdigit()) or number > 65535:
            raise ValueError
        return str(ipaddress.IPv4Address(host)), number
    except ValueError:
        raise ValueError(
            f"{text!r} is not an IPv4 address and a port, such as 127.0.0.1:8080, nor unix:/path"
        ) from None
