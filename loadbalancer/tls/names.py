"""Compares host names with the names of certificates, and chooses a certificate by server name. Pure: no I/O.

An exact name takes precedence over a wildcard, and a wildcard matches exactly one label (RFC 6125, 6.4.3). The default
is used if no certificate has the name or the client sends none. The client then decides whether it accepts the
certificate: refusing the handshake here would disclose which names exist.
"""

from __future__ import annotations

from typing import Generic, Iterable, TypeVar

T = TypeVar("T")
#: Maximum length of a host name in characters (RFC 1035, 2.3.4).
MAX_NAME_LENGTH = 253


def normalize(name: str) -> str:
    """Return the form in which names are compared: lower case, without the trailing dot of the root."""
    return name.lower().removesuffix(".")


def is_name(name: str) -> bool:
    """Return whether a name is valid for a host, or is a wildcard (`*` as its first label)."""
    labels = normalize(name).split(".")
    if labels and labels[0] == "*":
        labels = labels[1:]
    return (
        bool(labels)
        and len(name) <= MAX_NAME_LENGTH
        and all(
            0 < len(label) <= 63
            and all(char.isascii() and (char.isalnum() or char in "-_") for char in label)
            for label in labels
        )
    )


def covers(pattern: str, name: str) -> bool:
    """Return whether a certificate for `pattern` is valid for `name`."""
    pattern, name = normalize(pattern), normalize(name)
    if pattern == name:
        return True
    first, dot, rest = name.partition(".")
    return bool(dot) and bool(first) and first != "*" and pattern == f"*.{rest}"


class NameTable(Generic[T]):
    """Maps the names and wildcards of one listener to values, such as SSL contexts."""

    def __init__(self, default: T) -> None:
        self.default = default
        self._exact: dict[str, T] = {}
        self._wildcards: dict[str, T] = {}  # by the name without its first label

    def add(self, names: Iterable[str], value: T) -> None:
        """Add a value for these names; a name that has a value already keeps it."""
        for name in names:
            name = normalize(name)
            if name.startswith("*."):
                self._wildcards.setdefault(name[2:], value)
            else:
                self._exact.setdefault(name, value)

    def find(self, name: str | None) -> T:
        """Return the value for a server name as a client sends it; any text, or None, is accepted."""
        if not name or len(name) > MAX_NAME_LENGTH:
            return self.default
        name = normalize(name)
        if (exact := self._exact.get(name)) is not None:
            return exact
        first, _, rest = name.partition(".")
        found = self._wildcards.get(rest) if first else None
        return self.default if found is None else found

    def names(self) -> list[str]:
        return sorted([*self._exact, *(f"*.{rest}" for rest in self._wildcards)])
