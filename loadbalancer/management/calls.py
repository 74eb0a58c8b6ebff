"""Calls of the platform's operators: which path reads or changes what, and how that is answered.

The paths are handed in as `CallPaths`.
"""

from __future__ import annotations

from typing import Callable, NamedTuple, Protocol
from urllib.parse import unquote


class Response(NamedTuple):
    """An answer to a call; `json` says what its body is."""

    status: int
    body: bytes
    json: bool = False


class CallPaths(NamedTuple):
    """Paths of the calls; an endpoint's id follows the last two."""

    health: str
    stats: str
    cordon: str
    uncordon: str


class ManagedProcess(Protocol):
    """What calls are about."""

    def serves(self) -> bool:
        """Whether this process can serve."""

    def stats(self) -> bytes:
        """The counts, as JSON."""

    def mark(self, member: str, out: bool, done: Callable[[str | None], None]) -> None:
        """Take an endpoint out of use, or use it again.

        Args:
            member: The endpoint's id.
            out: Whether it is taken out of use.
            done: Gets None, or why that can't be done.

        Raises:
            LookupError: The id was never listed.
        """


class ManagementSession:
    """Answers calls."""

    def __init__(self, paths: CallPaths, managed: ManagedProcess) -> None:
        """Answer calls at these paths about a process."""
        self._managed = managed
        self._reads: dict[str, Callable[[], Response]] = {
            paths.health: self._health,
            paths.stats: self._stats,
        }
        self._takes_out_of_use = {paths.cordon: True, paths.uncordon: False}

    def answer(
        self,
        method: str,
        path: str,
        say: Callable[[Response], None],
        body: bytes = b"",  # noqa: ARG002
    ) -> None:
        """Answer a call; one that does not exist gets a 4xx that names those that do.

        Args:
            method: GET or PUT.
            path: Without its query, as it came.
            say: Gets the answer, once: at once, but for changes that have to be stored.
            body: Of no meaning here.
        """
        read = self._reads.get(path)
        if read is not None:
            say(read() if method == "GET" else Response(405, b"this is read by GET\n"))
            return
        prefix, _, endpoint = path.rpartition("/")
        out = self._takes_out_of_use.get(prefix)
        if out is None:
            say(Response(404, b"no such call; " + " ".join(self._reads).encode() + b" are read\n"))
        elif method != "PUT":
            say(Response(405, b"this is done by PUT\n"))
        else:
            self._change(unquote(endpoint), out, say)

    def _health(self) -> Response:
        return Response(200, b"serving\n") if self._managed.serves() else Response(503, b"not serving\n")

    def _stats(self) -> Response:
        return Response(200, self._managed.stats(), json=True)

    def _change(self, endpoint: str, out: bool, say: Callable[[Response], None]) -> None:
        def done(problem: str | None) -> None:
            if problem is not None:
                say(Response(500, problem.encode() + b"\n"))
            else:
                say(Response(200, b"left out\n" if out else b"in use\n"))

        try:
            self._managed.mark(endpoint, out, done)
        except LookupError:
            say(Response(404, b"no member of this id was ever listed\n"))
