"""The administrative API: parses and validates calls, and answers them.

`GET /v1/WHAT` reads, `POST /v1/VERB` changes, with a JSON body (`ChangeRequest`) that names the operator. A change is
validated completely before any part of it is applied, and is idempotent. Each answer states the resulting state.
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

#: Texts and names are written to the audit log, so their length is bounded.
Text = Annotated[str, Meta(max_length=200)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]

#: Seconds for which an answer waits until all instances of a fleet have confirmed: the default, and the maximum.
DEFAULT_WAIT_S = 4.0
MAX_WAIT_S = 80.0


class CallError(ValueError):
    """A call that cannot be carried out; the message gives the reason.

    Attributes:
        status: Status of the answer: 400 for a malformed call, 404 for something that does not exist, 409 for a state
            that forbids the change.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Verb(NamedTuple):
    """A type of change that operators can request.

    Attributes:
        required: Fields of `ChangeRequest` that it requires, in addition to `by`; other fields of SUBJECT_FIELDS are
            rejected.
        summary: One line on what it does.
    """

    required: frozenset[str]
    summary: str


#: Verbs by name; components add their own as plain tuples of the same two values.
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
#: Fields that specify the change; a verb either requires or rejects each of them.
SUBJECT_FIELDS = ("pool", "weight", "address", "level", "other", "share", "name", "path")


class ChangeRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The JSON body of a change. The field names are the API's keys."""

    by: Name  # the operator
    reason: Text = ""
    pool: str | None = None
    member: str | None = None  # id of an endpoint
    members: list[str] = []  # ids of several endpoints, changed together: all or none
    weight: Annotated[float, Meta(gt=0, le=1e6)] | None = None
    address: str | None = None
    until: str | None = None  # duration after which the override or migration ends
    other: str | None = None  # the pool that traffic is migrated to
    share: Annotated[float, Meta(ge=0, le=1)] | None = None  # fraction of the pool's requests
    level: Literal["debug", "info", "warning", "error"] | None = None  # minimum level of the log
    last: bool = False  # allow the change even where it leaves a pool without any endpoint
    here: bool = False  # only at this instance, where the fleet has a replicated state
    if_version: Annotated[int, Meta(ge=0)] | None = None  # apply only to this version of the replicated state
    wait: str | None = None  # duration for which to wait for instances that have not confirmed
    name: Name | None = None  # of an instance
    path: Annotated[str, Meta(max_length=1000)] | None = None  # path of a file on the daemon's machine
    roster: list[Name] = []  # names of the voting instances
    group: Annotated[int, Meta(ge=1, le=1000)] = 1  # how many instances to change at once


@dataclass(frozen=True, slots=True)
class Change:
    """A change request whose form has been validated.

    Attributes:
        verb: Name of the verb.
        request: The parsed body.
        endpoints: Ids of the endpoints to change, without duplicates.
        until: Seconds from now after which the change ends; 0 for no end.
        address: Address of the endpoint to add.
        wait: Seconds for which to wait for instances that have not confirmed.
    """

    verb: str
    request: ChangeRequest
    endpoints: tuple[str, ...]
    until: float
    address: tuple[str, int] | None
    wait: float = 0.0


#: The answer to a change, as a JSON object; it has the key `error` where nothing has changed.
ChangeResult = Mapping[str, Any]
ChangeDone = Callable[[ChangeResult], None]


class ManagedDaemon(Protocol):
    """The daemon that calls read and change."""

    def read(self, what: str) -> object:
        """Return the answer to a path, as a JSON value."""

    def is_readable(self, what: str) -> bool:
        """Return whether a path that is not in READS can be read."""

    def start_query(self, what: str, done: Callable[[object], None]) -> bool:
        """Start a query that other instances answer; `done` receives the answer later.

        Returns:
            Whether this path is such a query.
        """

    def verbs(self) -> Verbs:
        """Return the verbs that are not in VERBS."""

    def explain(self, request: str) -> object:
        """Return the decisions on a recent request, by its id.

        Raises:
            CallError: The request is not known.
        """

    def change(self, change: Change, done: ChangeDone) -> None:
        """Apply a change atomically; `done` receives the resulting state once it is stored.

        Raises:
            CallError: The change cannot be applied, and nothing has changed.
        """


def read_change(verb: str, body: bytes, verbs: Verbs = VERBS) -> Change:
    """Parse and validate a change request.

    Args:
        verb: The last part of the call's path.
        body: JSON of a `ChangeRequest`; empty for one without fields.
        verbs: All verbs that exist.

    Raises:
        CallError: The verb does not exist, or the body is invalid.
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
    present = {name for name in SUBJECT_FIELDS if getattr(request, name) is not None}
    if request.member or request.members:
        present.add("member")
    if request.roster:
        present.add("roster")
    if missing := required - present:
        raise CallError(400, f"{verb} wants {', '.join(sorted(missing))}")
    if extra := present - required:
        raise CallError(400, f"{verb} takes no {', '.join(sorted(extra))}")


class AdminSession:
    """Answers the calls on one socket, or by one token holder.

    Attributes:
        reads_only: Whether changes are rejected.
        by: Name of the authenticated operator, which replaces the name in requests; None where there is none.
    """

    def __init__(self, managed: ManagedDaemon, reads_only: bool = False, by: str | None = None) -> None:
        self._managed = managed
        self.reads_only = reads_only
        self.by = by

    def answer(self, method: str, path: str, respond: Callable[[Response], None], body: bytes = b"") -> None:
        """Answer a call.

        Args:
            method: GET or POST.
            path: The path without a query.
            respond: Receives the answer, exactly once, before this returns or later.
            body: The body of a change.
        """
        try:
            self._answer(method, path, body, respond)
        except CallError as problem:
            respond(_json_response(problem.status, {"error": str(problem)}))

    def _answer(self, method: str, path: str, body: bytes, respond: Callable[[Response], None]) -> None:
        version, _, what = path.removeprefix("/").partition("/")
        if version != "v1":
            raise CallError(404, f"{path!r}: calls are below /v1/")
        if method == "GET":
            self._read(what, respond)
        elif method != "POST":
            raise CallError(405, "GET reads, POST changes")
        elif self.reads_only:
            raise CallError(403, "this is for reading alone")
        else:
            self._change(what, body, respond)

    def _read(self, what: str, respond: Callable[[Response], None]) -> None:
        if what.startswith("why/"):
            respond(_json_response(200, self._managed.explain(unquote(what.removeprefix("why/")))))
            return
        if self._managed.start_query(what, lambda answer: respond(_json_response(200, answer))):
            return
        if what not in READS and not self._managed.is_readable(what):
            raise CallError(404, f"{what!r} can't be read; there are: {', '.join(READS)}")
        answer = self._summaries() if what == "verbs" else self._managed.read(what)
        respond(_json_response(200, answer))

    def _all_verbs(self) -> Verbs:
        return {**VERBS, **self._managed.verbs()}

    def _summaries(self) -> dict[str, str]:
        return {verb: summary for verb, (_, summary) in self._all_verbs().items()}

    def _change(self, verb: str, body: bytes, respond: Callable[[Response], None]) -> None:
        change = read_change(verb, body, self._all_verbs())
        if self.by is not None:
            change = replace(change, request=msgspec.structs.replace(change.request, by=self.by))
        self._managed.change(change, lambda result: respond(_json_response(200, result)))


def _json_response(status: int, answer: object) -> Response:
    return Response(status, msgspec.json.encode(answer) + b"\n", json=True)
