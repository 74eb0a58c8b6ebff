"""Reads a file into its types, and reports every error in it rather than only the first."""

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
#: Maximum length of a Unix address in bytes: the kernel takes a path of 107, after the prefix `unix:`.
MAX_UNIX_ADDRESS_BYTES = 107 + 5


@dataclass(frozen=True, slots=True)
class Problem:
    """Describes one error of a file: its place, what was found and what was expected."""

    file: str
    key: str  # path of the key, such as pool[web].member[0].weight; empty for the whole file
    text: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.text}" if self.key else f"{self.file}: {self.text}"


class ConfigError(ValueError):
    """Raised for a file that can't be used; holds all its errors."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


class Problems:
    """Collects the errors of one file."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.found: list[Problem] = []

    def add(self, key: str, text: str) -> None:
        self.found.append(Problem(self.file, key, text))

    def raise_if_any(self) -> None:
        """Raise ConfigError if an error was added."""
        if self.found:
            raise ConfigError(self.found)


def _decode_with_unit(kind: type, value: object) -> object:
    if kind in (Duration, Size):
        return kind.read(value)
    raise NotImplementedError(kind)


def _table_type(kind: Any) -> type[Struct] | None:
    """Return the Struct that a type is, or that is a member of a union type; None if there is none."""
    options = typing.get_args(kind) if isinstance(kind, types.UnionType) else (kind,)
    return next(
        (option for option in options if isinstance(option, type) and issubclass(option, Struct)), None
    )


def _list_item_type(kind: Any) -> type[Struct] | None:
    """Return the Struct of which a type is a list; None if it is no list of them."""
    if typing.get_origin(kind) is list:
        return _table_type(typing.get_args(kind)[0])
    return None


def label(entry: object, index: int) -> str:
    """Return the part of a key's path that identifies a list's entry: its name or id if it has one, else its index."""
    name = entry.get("name", entry.get("id")) if isinstance(entry, dict) else None
    return f"[{name}]" if isinstance(name, str) and name else f"[{index}]"


def _read_value(kind: Any, value: object, key: str, problems: Problems) -> Any:
    item_type = _list_item_type(kind)
    if item_type is not None:
        if not isinstance(value, list):
            problems.add(key, f"expected a list of tables: [[{key}]]")
            return []
        return [
            read_table(item_type, item, key + label(item, index), problems)
            for index, item in enumerate(value)
        ]
    table = _table_type(kind)
    if table is not None:
        return read_table(table, value, key, problems)
    try:
        return msgspec.convert(value, kind, dec_hook=_decode_with_unit)
    except msgspec.ValidationError as problem:
        problems.add(key, _describe(value, str(problem)))
        return None


def _describe(value: object, text: str) -> str:
    """Return msgspec's message on a wrong value, with the value added if the message lacks it."""
    text = text.removesuffix(" - at `$`")
    return text if repr(value) in text else f"{value!r}: {text[:1].lower()}{text[1:]}"


def _read_fields(kind: type[Struct], raw: Mapping[str, Any], key: str, problems: Problems) -> dict[str, Any]:
    """Return the fields of a table that could be read, by attribute name; add errors to `problems`."""
    fields = {info.encode_name: info for info in structs.fields(kind)}
    prefix = f"{key}." if key else ""
    for name in raw.keys() - fields.keys():
        similar = difflib.get_close_matches(str(name), fields, 1, 0.7)
        hint = f"did you mean {similar[0]}?" if similar else f"known here: {', '.join(sorted(fields))}"
        problems.add(f"{prefix}{name}", f"unknown key; {hint}")
    values = {}
    for name, info in fields.items():
        if name in raw:
            values[info.name] = _read_value(info.type, raw[name], f"{prefix}{name}", problems)
        elif info.required:
            problems.add(f"{prefix}{name}", f"missing; expected {_expected(info.type, name)}")
        else:
            values[info.name] = _default(info)
    return values


def _default(info: structs.FieldInfo) -> Any:
    return info.default if info.default_factory is msgspec.NODEFAULT else info.default_factory()


def read_table(kind: type[T], raw: object, key: str, problems: Problems) -> T | None:
    """Convert a table to its type; add its errors to `problems` and return None if it has any."""
    if not isinstance(raw, dict):
        problems.add(key, f"{raw!r} is not a table")
        return None
    count_before = len(problems.found)
    values = _read_fields(kind, raw, key, problems)
    return kind(**values) if len(problems.found) == count_before else None


def _expected(kind: Any, name: str) -> str:
    if kind in (Duration, Size):
        return str(kind.expected_format)
    if _list_item_type(kind) is not None:
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
    problems.raise_if_any()


def read_file(path: Path) -> tuple[dict[str, Any], dict[str, Any], Problems]:
    """Read a configuration file and check the types in it.

    Returns the attributes of File, with None for list entries that can't be read, the file as parsed, and the errors
    found so far. Raises ConfigError if the file can't be read or parsed at all.
    """
    problems = Problems(str(path))
    raw = _load(path, problems)
    return _read_fields(File, raw, "", problems), raw, problems


def read_members_file(path: Path) -> list[MemberTable]:
    """Read the members that a file lists. Raises ConfigError if anything in it is wrong.

    A truncated file is always an error: TOML and JSON that are cut short either can't be parsed, or hold fewer members
    than the count in `members`, which a file that is written in place must state first.
    """
    problems = Problems(str(path))
    raw = _load(path, problems)
    count = raw.pop("members", None) if isinstance(raw, dict) else None
    file = read_table(MembersFile, raw, "", problems)
    problems.raise_if_any()
    assert file is not None
    if count is not None and count != len(file.member):
        problems.add(
            "members", f"expected {count!r} members, found {len(file.member)}; the file is not complete"
        )
    check_members(file.member, "", problems)
    problems.raise_if_any()
    return file.member


def check_members(members: Sequence[MemberTable | None], key: str, problems: Problems) -> None:
    """Check that ids, routes and addresses are unique among the members of one pool, and that addresses are valid."""
    ids: dict[str, int] = {}
    routes: dict[str, str] = {}
    addresses: dict[str, str] = {}
    for number, member in enumerate(members):
        if member is None:
            continue
        at = f"{key}member[{member.id}]"
        if member.id in ids:
            problems.add(f"{key}member[{number}].id", f"{member.id!r} occurs twice; expected a unique id")
        ids[member.id] = number
        route = member.route or member.id
        if routes.setdefault(route, member.id) != member.id:
            problems.add(
                f"{at}.route",
                f"{route!r} is the route of member {routes[route]!r} too; expected a unique one",
            )
        if addresses.setdefault(member.address, member.id) != member.id:
            problems.add(
                f"{at}.address",
                f"{member.address} is the address of member {addresses[member.address]!r} too",
            )
        try:
            read_address(member.address)
        except ValueError as problem:
            problems.add(f"{at}.address", str(problem))
    _check_sessions([member for member in members if member is not None], key, problems)


def _check_sessions(members: Sequence[MemberTable], key: str, problems: Problems) -> None:
    """Check that no domain has the name of a route, and that each redirect names a route or a domain."""
    routes = {member.route or member.id for member in members}
    domains = {member.domain for member in members if member.domain is not None}
    for member in members:
        at = f"{key}member[{member.id}]"
        if (
            member.domain is not None
            and member.domain in routes
            and member.domain != (member.route or member.id)
        ):
            problems.add(f"{at}.domain", f"{member.domain!r} is the route of a member; expected another name")
        if member.redirect is not None and member.redirect not in routes | domains:
            problems.add(f"{at}.redirect", f"{member.redirect!r} is neither a member's route nor a domain")


def read_address(text: str) -> tuple[str, int]:
    """Parse `host:port` with an IPv4 address, or `unix:` and a path, which is returned with port 0.

    Raises ValueError with a message that says what was expected.
    """
    if text.startswith("unix:"):
        if not text.startswith("unix:/") or "\0" in text or len(text.encode()) > MAX_UNIX_ADDRESS_BYTES:
            raise ValueError(
                f"{text!r}: expected an absolute path of up to {MAX_UNIX_ADDRESS_BYTES - 5} bytes after unix:"
            )
        return text, 0
    host, _, port = text.rpartition(":")
    try:
        port_number = int(port)
        if not (port.isascii() and port.isdigit()) or port_number > 65535:
            raise ValueError
        return str(ipaddress.IPv4Address(host)), port_number
    except ValueError:
        raise ValueError(
            f"{text!r} is not an IPv4 address and a port, such as 127.0.0.1:8080, nor unix:/path"
        ) from None
