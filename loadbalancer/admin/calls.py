"""What a call of an operator means. Pure: a call is read and checked whole, then done or not done at all.

`GET /v1/WHAT` reads (status, pools, members, requests, marks), `POST /v1/VERB` changes, with a JSON body that names the
operator and the reason. Calls may come twice: the second finds what it asks for. Every answer says what is now true.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Annotated, Any, Callable, Literal, Mapping, Protocol
from urllib.parse import unquote

import msgspec
from msgspec import Meta, Struct

from loadbalancer.config.reader import read_address
from loadbalancer.config.types import Duration
from loadbalancer.management.calls import Response

#: Longest name of an operator, and reason, in characters; they stand in the audit.
Text = Annotated[str, Meta(max_length=200)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]


#: Seconds for which a fleet's instances are waited for if nobody says, and at most.
WAIT_S, WAIT_MOST_S = 4.0, 80.0


class CallError(ValueError):
    """A call that can't be done; says why. `status`: 400 for its form, 404 for what is not there, 409 for a state."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class ChangeRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of a change. Which fields a verb wants is in VERBS."""

    by: Name  # the operator
    reason: Text = ""
    pool: str | None = None
    member: str | None = None
    members: list[str] = []  # several at once: all or none
    weight: Annotated[float, Meta(gt=0, le=1e6)] | None = None
    address: str | None = None
    until: str | None = None  # a duration, after which the mark ends
    other: str | None = None  # the pool that traffic is moved to
    share: Annotated[float, Meta(ge=0, le=1)] | None = None  # of the pool's requests
    level: Literal["debug", "info", "warning", "error"] | None = None  # of the log
    last: bool = False  # also where it leaves a pool without any member
    here: bool = False  # at this instance alone, where a fleet has one state
    if_version: Annotated[int, Meta(ge=0)] | None = None  # only right after this version of the fleet's state
    wait: str | None = None  # a duration for which all are waited for that have not confirmed
    name: Name | None = None  # of an instance
    path: Annotated[str, Meta(max_length=1000)] | None = None  # of a file beside the daemon
    roster: list[Name] = []  # of instances
    group: Annotated[int, Meta(ge=1, le=1000)] = 1  # how many of them at once


#: What each verb wants beside `by`, and what it does in a line.
VERBS: Mapping[str, tuple[frozenset[str], str]] = {
    "drain": (frozenset(("pool", "member")), "nothing new; sessions go on where the pool says so"),
    "cordon": (frozenset(("pool", "member")), "nothing at all"),
    "uncordon": (frozenset(("pool", "member")), "ends drain and cordon"),
    "weight": (frozenset(("pool", "member", "weight")), "its part, in place of the source's"),
    "add": (frozenset(("pool", "member", "address")), "a member beside the source's"),
    "remove": (frozenset(("pool", "member")), "a member that was added; one of a source is cordoned"),
    "move": (
        frozenset(("pool", "other", "share")),
        "a share of the pool's traffic to another pool; 0 ends it",
    ),
    "freeze": (frozenset(("pool",)), "the source is heard and not followed"),
    "thaw": (frozenset(("pool",)), "and followed again"),
    "reload": (frozenset(), "take the file anew"),
    "log": (frozenset(("level",)), "what the log tells from now on"),
}
READS = ("status", "pools", "members", "requests", "marks", "moves", "keys", "verbs")


@dataclass(frozen=True, slots=True)
class Change:
    """An order that has been checked for its form. `until`: seconds from now, 0 for no end."""

    verb: str
    order: ChangeRequest
    members: tuple[str, ...]
    until: float
    address: tuple[str, int] | None
    wait: float = 0.0  # seconds for which those are waited for that have not confirmed


#: The answer to a change, as JSON has it; with the key `error` where nothing has changed.
ChangeResult = Mapping[str, Any]
ChangeDone = Callable[[ChangeResult], None]


class ManagedDaemon(Protocol):
    """What calls are about."""

    def read(self, what: str) -> Any:
        """What can be told of it, as JSON has it."""

    def readable(self, what: str) -> bool:
        """Whether it can be read beside READS."""

    def ask(self, what: str, done: Callable[[Any], None]) -> bool:
        """Whether it is one of those that others have to be asked for; `done` hears it later."""

    def verbs(self) -> Mapping[str, tuple[frozenset[str], str]]:
        """Changes beside VERBS."""

    def why(self, request: str) -> Any:
        """The decisions of a recent request, by its id; CallError where it is not known."""

    def change(self, change: Change, done: ChangeDone) -> None:
        """Do it whole; `done` hears what is now true once it is kept. CallError, and nothing has changed, where that
        can't be."""


def read_change(verb: str, body: bytes, verbs: Mapping[str, tuple[frozenset[str], str]] = VERBS) -> Change:
    """CallError with all that is wrong with the form of a call."""
    wanted = verbs.get(verb)
    if wanted is None:
        raise CallError(404, f"there is no verb {verb!r}; there are: {', '.join(verbs)}")
    try:
        order = msgspec.json.decode(body or b"{}", type=ChangeRequest)
    except (msgspec.ValidationError, msgspec.DecodeError) as problem:
        raise CallError(400, f"the body can't be read: {problem}") from None
    names = wanted[0]
    members = tuple(dict.fromkeys([*([order.member] if order.member else []), *order.members]))
    given = {
        name
        for name in ("pool", "weight", "address", "level", "other", "share", "name", "path")
        if getattr(order, name) is not None
    }
    given |= {"member"} if members else set()
    given |= {"roster"} if order.roster else set()
    if missing := names - given:
        raise CallError(400, f"{verb} wants {', '.join(sorted(missing))}")
    if extra := given - names:
        raise CallError(400, f"{verb} takes no {', '.join(sorted(extra))}")
    try:
        until = float(Duration.read(order.until)) if order.until is not None else 0.0
        address = read_address(order.address) if order.address is not None else None
        wait = float(Duration.read(order.wait)) if order.wait is not None else WAIT_S
    except ValueError as problem:
        raise CallError(400, str(problem)) from None
    return Change(verb, order, members, until, address, min(wait, WAIT_MOST_S))


class AdminSession:
    """Answers the calls of one socket. `reads_only`: it is for those who may look and change nothing. `by`: who calls,
    where that is known and need not be believed."""

    def __init__(self, operated: ManagedDaemon, reads_only: bool = False, by: str | None = None) -> None:
        self.operated, self.reads_only, self.by = operated, reads_only, by

    def answer(self, method: str, path: str, say: Callable[[Response], None], body: bytes = b"") -> None:
        """`say` hears the answer, once."""
        try:
            self._answer(method, path, body, say)
        except CallError as problem:
            say(_json(problem.status, {"error": str(problem)}))

    def _answer(self, method: str, path: str, body: bytes, say: Callable[[Response], None]) -> None:
        version, _, what = path.removeprefix("/").partition("/")
        if version != "v1":
            raise CallError(404, f"{path!r}: calls are below /v1/")
        if method == "GET" and what.startswith("why/"):
            say(_json(200, self.operated.why(unquote(what.removeprefix("why/")))))
        elif method == "GET":
            if self.operated.ask(what, lambda found: say(_json(200, found))):
                return
            if what not in READS and not self.operated.readable(what):
                raise CallError(404, f"{what!r} can't be read; there are: {', '.join(READS)}")
            verbs = {verb: text for verb, (_, text) in {**VERBS, **self.operated.verbs()}.items()}
            say(_json(200, verbs if what == "verbs" else self.operated.read(what)))
        elif method != "POST":
            raise CallError(405, "GET reads, POST changes")
        elif self.reads_only:
            raise CallError(403, "this is for reading alone")
        else:
            change = read_change(what, body, {**VERBS, **self.operated.verbs()})
            if self.by is not None:
                change = replace(change, order=msgspec.structs.replace(change.order, by=self.by))
            self.operated.change(change, lambda now: say(_json(200, now)))


def _json(status: int, box: Any) -> Response:
    return Response(status, msgspec.json.encode(box) + b"\n", json=True)
