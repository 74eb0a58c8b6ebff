"""The administrative API: what a call asks for, and the sessions that answer calls.

`GET /v1/WHAT` reads, `POST /v1/VERB` changes, with a JSON body (`ChangeRequest`) that names the operator. A change is
checked whole before anything of it is applied, and can be repeated: a second one finds what it asks for. Each answer
says what is now true.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Annotated, Any, Callable, Literal, Mapping, NamedTuple, Protocol
from urllib.parse import unquote

import msgspec
from msgspec import Meta, Struct

from loadbalancer.config.reader import read_address
from loadbalancer.config.types import Duration
from loadbalancer.management.calls import Response

#: Texts and names stand in the audit log, so their length is bounded.
Text = Annotated[str, Meta(max_length=200)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]

#: For so long an answer waits until all instances of a fleet have confirmed, if the request says nothing, and at most.
DEFAULT_WAIT_S = 4.0
MAX_WAIT_S = 80.0


class CallError(ValueError):
    """A call that can't be done; says why.

    Attributes:
        status: Of the answer: 400 for the call's form, 404 for what is not there, 409 for a state that forbids it.
    """

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Verb(NamedTuple):
    """A change that operators can ask for.

    Attributes:
        required: Fields of `ChangeRequest` that it requires, beside `by`; it takes no other of those that say what to
            change.
        summary: What it does, in a line.
    """

    required: frozenset[str]
    summary: str


#: Verbs by name; components add theirs as plain tuples of the same two values.
Verbs = Mapping[str, tuple[frozenset[str], str]]

VERBS: Mapping[str, Verb] = {
    "drain": Verb(frozenset(("pool", "member")), "nothing new; sessions go on where the pool says so"),
    "cordon": Verb(frozenset(("pool", "member")), "nothing at all"),
    "uncordon": Verb(frozenset(("pool", "member")), "ends drain and cordon"),
    "weight": Verb(frozenset(("pool", "member", "weight")), "its part, in place of the source's"),
    "add": Verb(frozenset(("pool", "member", "address")), "a member beside the source's"),
    "remove": Verb(frozenset(("pool", "member")), "a member that was added; one of a source is cordoned"),
    "move": Verb(
        frozenset(("pool", "other", "share")), "a share of the pool's traffic to another pool; 0 ends it"
    ),
    "freeze": Verb(frozenset(("pool",)), "the source is heard and not followed"),
    "thaw": Verb(frozenset(("pool",)), "and followed again"),
    "reload": Verb(frozenset(), "take the file anew"),
    "log": Verb(frozenset(("level",)), "what the log tells from now on"),
}
READS = ("status", "pools", "members", "requests", "marks", "moves", "keys", "verbs")
#: Fields that say what to change, each of which a verb either requires or does not take.
SUBJECT_FIELDS = ("pool", "weight", "address", "level", "other", "share", "name", "path")


class ChangeRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of a change. The fields are the API's keys."""

    by: Name  # the operator
    reason: Text = ""
    pool: str | None = None
    member: str | None = None  # id of an endpoint
    members: list[str] = []  # several endpoints at once: all or none
    weight: Annotated[float, Meta(gt=0, le=1e6)] | None = None
    address: str | None = None
    until: str | None = None  # a duration, after which the override or migration ends
    other: str | None = None  # the pool that traffic is migrated to
    share: Annotated[float, Meta(ge=0, le=1)] | None = None  # of the pool's requests
    level: Literal["debug", "info", "warning", "error"] | None = None  # of the log
    last: bool = False  # also where it leaves a pool without any endpoint
    here: bool = False  # at this instance alone, where the fleet has a replicated state
    if_version: Annotated[int, Meta(ge=0)] | None = (
        None  # only right after this version of the replicated state
    )
    wait: str | None = None  # a duration for which instances that have not confirmed are waited for
    name: Name | None = None  # of an instance
    path: Annotated[str, Meta(max_length=1000)] | None = None  # of a file beside the daemon
    roster: list[Name] = []  # names of instances that vote
    group: Annotated[int, Meta(ge=1, le=1000)] = 1  # how many instances at once


@dataclass(frozen=True, slots=True)
class Change:
    """A change request whose form has been checked.

    Attributes:
        verb: What to do.
        request: The body.
        endpoints: Ids of the endpoints it concerns, each once.
        until: Seconds from now after which it ends; 0 for no end.
        address: Of an endpoint that is added.
        wait: Seconds for which instances that have not confirmed are waited for.
    """

    verb: str
    request: ChangeRequest
    endpoints: tuple[str, ...]
    until: float
    address: tuple[str, int] | None
    wait: float = 0.0


#: The answer to a change, as JSON has it; with the key `error` where nothing has changed.
ChangeResult = Mapping[str, Any]
ChangeDone = Callable[[ChangeResult], None]


class ManagedDaemon(Protocol):
    """What calls are about."""

    def read(self, what: str) -> object:
        """The answer to a path, as JSON has it."""

    def readable(self, what: str) -> bool:
        """Whether a path can be read beside READS."""

    def ask(self, what: str, done: Callable[[object], None]) -> bool:
        """Start a query that other instances answer; `done` gets the answer later.

        Returns:
            Whether there is such a query by this path.
        """

    def verbs(self) -> Verbs:
        """Changes beside VERBS."""

    def why(self, request: str) -> object:
        """The decisions of a recent request, by its id; CallError where it is not known."""

    def change(self, change: Change, done: ChangeDone) -> None:
        """Apply a change whole; `done` gets what is now true once it is stored.

        Raises:
            CallError: It can't be applied, and nothing has changed.
        """


def read_change(verb: str, body: bytes, verbs: Verbs = VERBS) -> Change:
    """Read and check a change request.

    Args:
        verb: The last part of the call's path.
        body: JSON of a `ChangeRequest`; empty for one without fields.
        verbs: Those that there are.

    Raises:
        CallError: There is no such verb, or something is wrong with the body.
    """
    if verb not in verbs:
        raise CallError(404, f"there is no verb {verb!r}; there are: {', '.join(verbs)}")
    try:
        request = msgspec.json.decode(body or b"{}", type=ChangeRequest)
    except (msgspec.ValidationError, msgspec.DecodeError) as problem:
        raise CallError(400, f"the body can't be read: {problem}") from None
    endpoints = tuple(dict.fromkeys([*([request.member] if request.member else []), *request.members]))
    _check_fields(verb, verbs[verb][0], request)
    try:
        until = float(Duration.read(request.until)) if request.until is not None else 0.0
        address = read_address(request.address) if request.address is not None else None
        wait = float(Duration.read(request.wait)) if request.wait is not None else DEFAULT_WAIT_S
    except ValueError as problem:
        raise CallError(400, str(problem)) from None
    return Change(verb, request, endpoints, until, address, min(wait, MAX_WAIT_S))


def _check_fields(verb: str, required: frozenset[str], request: ChangeRequest) -> None:
    given = {name for name in SUBJECT_FIELDS if getattr(request, name) is not None}
    if request.member or request.members:
        given.add("member")
    if request.roster:
        given.add("roster")
    if missing := required - given:
        raise CallError(400, f"{verb} wants {', '.join(sorted(missing))}")
    if extra := given - required:
        raise CallError(400, f"{verb} takes no {', '.join(sorted(extra))}")


class AdminSession:
    """Answers the calls of one socket, or of one holder of a token.

    Attributes:
        reads_only: Whether it may look and change nothing.
        by: Who calls, where that is authenticated; it replaces the name in requests.
    """

    def __init__(self, managed: ManagedDaemon, reads_only: bool = False, by: str | None = None) -> None:
        self._managed = managed
        self.reads_only = reads_only
        self.by = by

    def answer(self, method: str, path: str, say: Callable[[Response], None], body: bytes = b"") -> None:
        """Answer a call.

        Args:
            method: GET or POST.
            path: Without its query.
            say: Gets the answer, once, now or later.
            body: Of a change.
        """
        try:
            self._answer(method, path, body, say)
        except CallError as problem:
            say(_json_response(problem.status, {"error": str(problem)}))

    def _answer(self, method: str, path: str, body: bytes, say: Callable[[Response], None]) -> None:
        version, _, what = path.removeprefix("/").partition("/")
        if version != "v1":
            raise CallError(404, f"{path!r}: calls are below /v1/")
        if method == "GET":
            self._read(what, say)
        elif method != "POST":
            raise CallError(405, "GET reads, POST changes")
        elif self.reads_only:
            raise CallError(403, "this is for reading alone")
        else:
            self._change(what, body, say)

    def _read(self, what: str, say: Callable[[Response], None]) -> None:
        if what.startswith("why/"):
            say(_json_response(200, self._managed.why(unquote(what.removeprefix("why/")))))
            return
        if self._managed.ask(what, lambda answer: say(_json_response(200, answer))):
            return
        if what not in READS and not self._managed.readable(what):
            raise CallError(404, f"{what!r} can't be read; there are: {', '.join(READS)}")
        answer = self._summaries() if what == "verbs" else self._managed.read(what)
        say(_json_response(200, answer))

    def _verbs(self) -> Verbs:
        return {**VERBS, **self._managed.verbs()}

    def _summaries(self) -> dict[str, str]:
        return {verb: summary for verb, (_, summary) in self._verbs().items()}

    def _change(self, verb: str, body: bytes, say: Callable[[Response], None]) -> None:
        change = read_change(verb, body, self._verbs())
        if self.by is not None:
            change = replace(change, request=msgspec.structs.replace(change.request, by=self.by))
        self._managed.change(change, lambda result: say(_json_response(200, result)))


def _json_response(status: int, answer: object) -> Response:
    return Response(status, msgspec.json.encode(answer) + b"\n", json=True)
