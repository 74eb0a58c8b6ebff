"""Which certificate serves which name. Pure: names in, one of those given out.

An exact name comes before a wildcard, a wildcard stands for one label alone (RFC 6125, 6.4.3), and where nobody has the
name, or the client gives none, the default serves. Whether a client gets it for a name that it does not have is the
client's to judge: refusing here would tell strangers which names there are.
"""

from __future__ import annotations

from typing import Generic, Iterable, TypeVar

T = TypeVar("T")
#: Characters of a name that a client may ask for (RFC 1035, 2.3.4).
NAME_MOST = 253


def normal(name: str) -> str:
    """As names are compared: in lower case, without the dot of the root."""
    return name.lower().removesuffix(".")


def is_name(name: str) -> bool:
    """Whether it can be one of a host, or a wildcard of its labels below the first."""
    labels = normal(name).split(".")
    if labels and labels[0] == "*":
        labels = labels[1:]
    return (
        bool(labels)
        and len(name) <= NAME_MOST
        and all(
            0 < len(label) <= 63 and all(c.isascii() and (c.isalnum() or c in "-_") for c in label)
            for label in labels
        )
    )


def covers(pattern: str, name: str) -> bool:
    """Whether a certificate for `pattern` is one for `name`."""
    pattern, name = normal(pattern), normal(name)
    if pattern == name:
        return True
    first, dot, rest = name.partition(".")
    return bool(dot) and bool(first) and first != "*" and pattern == f"*.{rest}"


class Served(Generic[T]):
    """What serves each name of one listener."""

    def __init__(self, default: T) -> None:
        self.default = default
        self._exact: dict[str, T] = {}
        self._wild: dict[str, T] = {}  # by what follows the first label

    def add(self, names: Iterable[str], what: T) -> None:
        """Of two that have a name, the first one added serves it."""
        for name in names:
            name = normal(name)
            if name.startswith("*."):
                self._wild.setdefault(name[2:], what)
            else:
                self._exact.setdefault(name, what)

    def find(self, name: str | None) -> T:
        """For a name as a client gives it, whatever that is."""
        if not name or len(name) > NAME_MOST:
            return self.default
        name = normal(name)
        if (exact := self._exact.get(name)) is not None:
            return exact
        first, _, rest = name.partition(".")
        found = self._wild.get(rest) if first else None
        return self.default if found is None else found

    def names(self) -> list[str]:
        return sorted([*self._exact, *(f"*.{rest}" for rest in self._wild)])
