"""What an operator's call means: method and path in, an answer out.

Pure: no I/O and no clock. The paths are those of whoever sets `CallPaths`.
"""

from __future__ import annotations

from typing import Callable, NamedTuple, Protocol
from urllib.parse import unquote


class Response(NamedTuple):
    """An answer to a call."""

    status: int
    body: bytes
    json: bool = False


class CallPaths(NamedTuple):
    """Paths of the calls; a member's id follows the last two."""

    health: str
    stats: str
    cordon: str
    uncordon: str


class ManagedProcess(Protocol):
    """What calls are about."""

    def serves(self) -> bool:
        """Whether this process can serve."""

    def stats(self) -> bytes:
        """The figures, as JSON."""

    def mark(self, member: str, out: bool, done: Callable[[str | None], None]) -> None:
        """Leave a member out, or use it again; `done` hears None, or why that can't be done. LookupError where the
        id was never listed."""


class ManagementSession:
    """Answers calls."""

    def __init__(self, words: CallPaths, operated: ManagedProcess) -> None:
        self.words, self.operated = words, operated
        self._reads: dict[str, Callable[[], Response]] = {
            words.health: self._health,
            words.stats: self._stats,
        }
        self._marks = {words.cordon: True, words.uncordon: False}

    def answer(self, method: str, path: str, say: Callable[[Response], None], body: bytes = b"") -> None:
        """`path`: without its query, as it came. Anything that is no call gets a 4xx that says what would be one.
        `say` hears the answer, once: at once, but for marks that have to be kept."""
        read = self._reads.get(path)
        if read is not None:
            say(read() if method == "GET" else Response(405, b"this is read by GET\n"))
            return
        place, _, member = path.rpartition("/")
        out = self._marks.get(place)
        if out is None:
            say(Response(404, b"no such call; " + " ".join(self._reads).encode() + b" are read\n"))
        elif method != "PUT":
            say(Response(405, b"this is done by PUT\n"))
        else:
            self._mark(unquote(member), out, say)

    def _health(self) -> Response:
        return Response(200, b"serving\n") if self.operated.serves() else Response(503, b"not serving\n")

    def _stats(self) -> Response:
        return Response(200, self.operated.stats(), json=True)

    def _mark(self, member: str, out: bool, say: Callable[[Response], None]) -> None:
        def done(problem: str | None) -> None:
            if problem is not None:
                say(Response(500, problem.encode() + b"\n"))
            else:
                say(Response(200, b"left out\n" if out else b"in use\n"))

        try:
            self.operated.mark(member, out, done)
        except LookupError:
            say(Response(404, b"no member of this id was ever listed\n"))
