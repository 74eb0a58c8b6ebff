"""Calls of the platform's operators: what each path reads or changes, and its answer.

The paths are passed in as `CallPaths`.
"""

from __future__ import annotations

from typing import Callable, NamedTuple, Protocol
from urllib.parse import unquote


class Response(NamedTuple):
    """Holds the answer to a call; `json` tells whether its body is JSON, else it is text."""

    status: int
    body: bytes
    json: bool = False


class CallPaths(NamedTuple):
    """Holds the paths of the calls; the last two are followed by an endpoint's id."""

    health: str
    stats: str
    cordon: str
    uncordon: str


class ManagedProcess(Protocol):
    """The process that calls read and change."""

    def serves(self) -> bool:
        """Return whether this process can serve."""

    def stats(self) -> bytes:
        """Return the counts as JSON."""

    def set_cordoned(self, member: str, cordoned: bool, done: Callable[[str | None], None]) -> None:
        """Cordon an endpoint, or use it again.

        Args:
            member: The endpoint's id.
            cordoned: Whether it is cordoned.
            done: Called with None, or with the reason why that failed.

        Raises:
            LookupError: No endpoint with this id was ever listed.
        """


class ManagementSession:
    """Answers calls for one process."""

    def __init__(self, paths: CallPaths, managed: ManagedProcess) -> None:
        """Answer calls at these paths for a process."""
        self._managed = managed
        self._reads: dict[str, Callable[[], Response]] = {
            paths.health: self._health,
            paths.stats: self._stats,
        }
        self._cordons_by_path = {paths.cordon: True, paths.uncordon: False}

    def answer(
        self,
        method: str,
        path: str,
        say: Callable[[Response], None],
        body: bytes = b"",  # noqa: ARG002
    ) -> None:
        """Answer a call; an unknown one gets a 4xx status and the paths that can be read.

        Args:
            method: GET or PUT.
            path: The path as received, without the query.
            say: Called with the answer once: at once, except for changes that have to be stored first.
            body: Not used.
        """
        read = self._reads.get(path)
        if read is not None:
            say(read() if method == "GET" else Response(405, b"this is read by GET\n"))
            return
        prefix, _, endpoint = path.rpartition("/")
        cordoned = self._cordons_by_path.get(prefix)
        if cordoned is None:
            say(Response(404, b"no such call; " + " ".join(self._reads).encode() + b" are read\n"))
        elif method != "PUT":
            say(Response(405, b"this is done by PUT\n"))
        else:
            self._change(unquote(endpoint), cordoned, say)

    def _health(self) -> Response:
        return Response(200, b"serving\n") if self._managed.serves() else Response(503, b"not serving\n")

    def _stats(self) -> Response:
        return Response(200, self._managed.stats(), json=True)

    def _change(self, endpoint: str, cordoned: bool, say: Callable[[Response], None]) -> None:
        def done(problem: str | None) -> None:
            if problem is not None:
                say(Response(500, problem.encode() + b"\n"))
            else:
                say(Response(200, b"left out\n" if cordoned else b"in use\n"))

        try:
            self._managed.set_cordoned(endpoint, cordoned, done)
        except LookupError:
            say(Response(404, b"no member of this id was ever listed\n"))
