"""What a folder holds of a store: its segments, read as both copies say together, and what is wrong with them.

Nothing is changed here but the rest of a mending that was cut. What counts as acknowledged and lost is decided here:
damage that both copies share, a segment that must be there and is not.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from loadbalancer.store.files import Files
from loadbalancer.store.records import (
    HEADER,
    Damage,
    Kind,
    Scan,
    Seal,
    decode_header,
    encode_header,
    read_number,
    scan,
)

COPIES = ("a", "b")


@dataclass(slots=True)
class Recovery:
    """What opening has found."""

    segments: int = 0
    records: int = 0
    keys: int = 0
    damage: list[Damage] = field(default_factory=list)
    missing: list[int] = field(default_factory=list)  # segments
    foreign: list[str] = field(
        default_factory=list
    )  # files that are not of this store, or not what their name says
    repaired: list[str] = field(default_factory=list)  # files that were written anew from their other copy
    unread: list[str] = field(default_factory=list)  # copies that the disk did not give
    torn: int = 0  # bytes behind the last trusted record, of a batch that was never acknowledged

    @property
    def sound(self) -> bool:
        """Whether all that was acknowledged is there."""
        return not (self.damage or self.missing)

    def words(self) -> list[str]:
        """What an operator should read, a line each."""
        out = [f"{self.segments} segments, {self.records} records, {self.keys} keys"]
        out += [
            f"damaged in both copies: segment {d.number}, bytes {d.begin} to {d.end}" for d in self.damage
        ]
        out += [f"missing: segment {number}" for number in self.missing]
        out += [f"not of this store, left alone: {name}" for name in self.foreign]
        out += [f"could not be read: {name}" for name in self.unread]
        out += [f"written anew from its other copy: {name}" for name in self.repaired]
        if self.torn:
            out.append(f"{self.torn} bytes of a batch that was never acknowledged")
        return out


class Reading:
    """One look at a folder. After `read`: `scans` by number, `first` segment that must be there, and `useless` numbers,
    whose files were never part of the store or are so no longer."""

    def __init__(self, files: Files) -> None:
        self.files, self.found = files, Recovery()
        self.store = b""  # the id, once a header has told it
        self.first = 0
        self.scans: dict[int, Scan] = {}
        self.useless: list[int] = []

    def read(self) -> Recovery:
        """NewerError, OSError of the folder; what is wrong with files is in what it returns."""
        unread: dict[int, int] = {}
        for number, names in sorted(self._names().items()):
            data = self._copies(number, names)
            copies = self._own(number, data)
            if any(copies):
                self.scans[number] = scan(number, Seal.of(self.store, number), copies)
            else:
                unread[number] = max(map(len, data))
        self._check_whole(self.scans, unread)
        for number in [number for number in self.scans if number < self.first]:
            del self.scans[number]  # a cut has come between DROP and its removal
            self.useless.append(number)
        return self.found

    def _names(self) -> dict[int, set[str]]:
        by_number: dict[int, set[str]] = {}
        for name in self.files.names():
            stem, dot, copy = name.partition(".")
            if copy in COPIES and len(stem) == 16 and all(c in "0123456789abcdef" for c in stem):
                by_number.setdefault(int(stem, 16), set()).add(copy)
            elif copy == "new":
                self.files.remove(name)  # of a mending that was cut
            elif name != "lock":
                self.found.foreign.append(name)
        return by_number

    def _copies(self, number: int, names: set[str]) -> tuple[bytes, bytes]:
        """Both copies; one that can't be read is as one that is lost."""
        found = []
        for copy in COPIES:
            name = f"{number:016x}.{copy}"
            try:
                found.append(self.files.read(name) if copy in names else b"")
            except OSError as problem:
                self.found.unread.append(f"{name}: {problem.strerror or problem}")
                found.append(b"")
        return found[0], found[1]

    def _own(self, number: int, data: tuple[bytes, bytes]) -> tuple[bytes, bytes]:
        """The copies that are of this store and this number; a header that is cut or flipped counts as that of its
        other copy, a foreign one as nothing."""
        own = list(data)
        heads = [decode_header(one) for one in data]
        for which, head in enumerate(heads):
            if head is None:
                continue
            self.store = self.store or head[0]
            if head != (self.store, number):
                self.found.foreign.append(f"{number:016x}.{COPIES[which]}")
                own[which], heads[which] = b"", None
        if not any(heads):
            return b"", b""  # of the number's files nothing can be trusted
        head_bytes = encode_header(self.store, number)
        return tuple(
            one if heads[n] is not None or not one else head_bytes + one[HEADER.size :]
            for n, one in enumerate(own)
        )  # type: ignore[return-value]

    def _check_whole(self, scans: dict[int, Scan], unread: dict[int, int]) -> None:
        """Which segments must be there: from the latest DROP on, each up to the one behind the last that is sealed.

        `unread`: bytes of segments of which nothing can be trusted. The one behind the last that can be read is of a
        cut while it was made, unless that is sealed or it holds more than a header."""
        drops = [read_number(r.payload) for s in scans.values() for r in s.records if r.kind == Kind.DROP]
        self.first = max([*drops, 0])
        wanted = [number for number in scans if number >= self.first]
        last = max([*wanted, self.first])
        if last in scans and scans[last].sealed:
            last += 1
        for number, size in unread.items():
            if number >= self.first and (number <= last or size > HEADER.size) and scans:
                last = max(last, number)
            elif size > HEADER.size and number >= self.first:
                self.found.damage.append(Damage(number, 0, size))
            else:
                self.useless.append(number)
        if wanted or self.first:
            self.found.missing += [number for number in range(self.first, last + 1) if number not in scans]
        for number in wanted:
            self._check_end(number, scans)

    def _check_end(self, number: int, scans: dict[int, Scan]) -> None:
        found = scans[number]
        self.found.damage += found.damage
        after = scans.get(number + 1)
        if after is not None and not found.sealed and any(r.kind != Kind.SEAL for r in after.records):
            # Nothing is written behind a segment before its SEAL is on disk: the end of this one is lost.
            self.found.damage.append(Damage(number, found.end, found.end))
