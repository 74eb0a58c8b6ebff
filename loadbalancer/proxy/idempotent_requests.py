"""Requests whose keys are remembered, between a front and a pool: the ledger's rulings carried out.

A request waits here for the disk twice: before its first attempt may leave, and before its answer may reach the client.
Neither wait outlasts the client's: an answer that the disk has not taken by then goes out, since the key stands as
begun and no repeat of it is sent blind. One object for each such request, released with its answer or its client.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Callable, NamedTuple

from loadbalancer.metrics import RETRYABLE_STATUSES, RequestResult
from loadbalancer.proxy.open_requests import Client, OpenRequest, RequestOwner
from loadbalancer.store.errors import StoreError
from loadbalancer.store.keeper import Store, StoreView
from loadbalancer.store.ledger import Begun, Disposition, Ruling, answered, decide, decode, encode
from loadbalancer.streaming.streams import Stream

if TYPE_CHECKING:
    from loadbalancer.proxy.proxy import Proxy

REPLAYED = b"Idempotent-Replayed: true\r\n"
#: An answer that waits for the disk goes out this long before its client's time is up, in seconds.
SPARE_S = 0.02
#: While the store passes to a daemon that takes over, which will know of the key.
ELSEWHERE = Ruling(Disposition.REFUSED, status=503, reason="another process takes over; it has not run")


class KeyTerms(NamedTuple):
    """How a class of requests is remembered. `cls`: its number; `again`: that of its unsafe kin, by which a repeat goes
    that must not be repeated; `window`: seconds in which members drop repeats; `remember`: seconds; `most`: bytes of an
    answer."""

    cls: int
    again: int
    window: float
    all_drop: bool
    remember: float
    most: int


#: Hands a request to its pool: the number of its class, and the seconds that it has.
Take = Callable[[int, float], None]


class IdempotencyLedger:
    """One for all pools of a daemon."""

    def __init__(self, store: Store, logger: Callable[[str, object], None]) -> None:
        self.store, self.logger = store, logger
        self.in_progress: dict[bytes, object] = {}  # the one that is open in this process, by key
        self.open = 0  # requests that are held here
        self.lent = False  # the store passes to another daemon

    def take(
        self,
        proxy: Proxy,
        request: OpenRequest,
        key: bytes,
        digest: bytes,
        terms: KeyTerms,
        deadline: float,
        take: Take,
    ) -> None:
        """`key`: as the store has it. `deadline`: monotonic. `take` hands the request to `proxy`."""
        IdempotentRequestHandler(self, proxy, request, key, digest, terms, deadline, take).begin()


class IdempotentRequestHandler:
    """One request. It stands before its client, and for its owner while no pool has it."""

    def __init__(
        self,
        ledger: IdempotencyLedger,
        proxy: Proxy,
        request: OpenRequest,
        key: bytes,
        digest: bytes,
        terms: KeyTerms,
        deadline: float,
        take: Take,
    ) -> None:
        self.ledger, self.proxy, self.request, self.key, self.digest = ledger, proxy, request, key, digest
        self.terms, self.deadline, self._hand_over = terms, deadline, take
        self.client: Client | None = request.client
        self.pool: RequestOwner | None = None  # once a pool has the request
        self.first = False  # the key was new
        self.released = False
        self.timer: asyncio.TimerHandle | None = None
        request.client, request.owner = self, self
        ledger.open += 1

    # On the way in.

    def begin(self) -> None:
        if self.ledger.lent:
            asyncio.get_running_loop().call_soon(self._ruled, ELSEWHERE, None)
            return
        self.ledger.store.submit(self._rule, self._ruled)

    def _rule(self, view: StoreView) -> Ruling:
        """In the store's thread: what is known of the key, and that it begins."""
        terms, now = self.terms, view.now()
        in_progress = self.ledger.in_progress.get(self.key, self) is not self  # a batch may be tried twice
        ruling = decide(decode(view.get(self.key)), self.digest, now, in_progress, terms.all_drop)
        if ruling.disposition == Disposition.FIRST:
            if in_progress:  # it was taken back, and its request has not ended yet
                return Ruling(Disposition.REFUSED, status=409, reason="a request with the key is in progress")
            begun = Begun(self.digest, now, terms.window)
            view.put(self.key, encode(begun), now + max(terms.remember, terms.window))
        if ruling.disposition in (Disposition.FIRST, Disposition.AGAIN):
            self.ledger.in_progress[self.key] = self
        return ruling

    def _ruled(self, ruling: Ruling, problem: StoreError | None) -> None:
        client = self.client
        if problem is not None:
            self.ledger.logger("keyed work refused", problem)
            self._answer_self(503, [], b"the key can't be remembered now; it has not run\n")
            return
        self.first = ruling.disposition == Disposition.FIRST
        goes = ruling.disposition in (Disposition.FIRST, Disposition.AGAIN)
        left = self.deadline - time.monotonic()
        if ruling.disposition == Disposition.AGAIN:
            left = min(left, ruling.time_remaining)
        if client is None or (goes and left <= 0):
            self._take_back()
            self._answer_self(503, [], b"no time was left once the key was on disk; it has not run\n")
        elif ruling.disposition == Disposition.REPLAY:
            kept = ruling.answer
            assert kept is not None and kept.body is not None
            self._release()
            self.proxy.drop(self.request)
            self.proxy.figures.count(self.terms.cls, RequestResult.PASSED)
            client.answer(kept.status, [*kept.lines, REPLAYED], kept.body, False, None, kept.reason)
        elif ruling.disposition == Disposition.REFUSED:
            lines = [b"Retry-After: 1\r\n"] if ruling is ELSEWHERE else []
            self._answer_self(ruling.status, lines, ruling.reason.encode() + b"\n")
        else:
            self._hand_over(self.terms.cls if self.first else self.terms.again, left)
            if self.client is not None:
                self.pool, self.request.owner = self.request.owner, self

    def _answer_self(self, status: int, lines: list[bytes], body: bytes) -> None:
        """Answered before any attempt has left."""
        client = self.client
        self._release()
        self.proxy.turned_away(self.request, self.terms.cls, status)
        if client is not None:
            client.answer(status, lines, body)

    # On the way out: what a pool calls a client.

    def answer(
        self,
        status: int,
        lines: list[bytes],
        body: bytes,
        close: bool = False,
        length: int | None = None,
        reason: bytes = b"",
    ) -> None:
        def deliver() -> None:
            client = self.client
            self._release()
            if client is not None:
                client.answer(status, lines, body, close, length, reason)

        request = self.request
        if not request.made:
            if status in RETRYABLE_STATUSES and not request.ran and not request.live:
                self._take_back()
            deliver()
            return
        self.timer = asyncio.get_running_loop().call_later(
            max(0.0, self.deadline - SPARE_S - time.monotonic()), self._late, deliver
        )
        terms = self.terms

        def note(view: StoreView) -> None:
            now = view.now()
            entry = answered(self.digest, now, status, reason, lines, body, terms.most)
            view.put(self.key, encode(entry), now + terms.remember)

        def noted(_: None, problem: StoreError | None) -> None:
            if problem is not None:
                self.ledger.logger("an answer is not remembered; its key stands as begun", problem)
            if self.timer is not None:
                deliver()

        self.ledger.store.submit(note, noted)

    def _late(self, deliver: Callable[[], None]) -> None:
        self.ledger.logger("an answer went out before the disk had it", "its key stands as begun until then")
        deliver()

    def has_left(self) -> bool:
        """One that has left withdraws by its own word (`withdraw`)."""
        return self.client is None or self.client.has_left()

    def begin_answer(
        self, status: int, lines: list[bytes], length: int | None, reason: bytes, stream: Stream
    ) -> None:
        """check.py keeps pools that stream answers apart from remembered classes."""
        raise AssertionError("an answer to a remembered key is judged whole")

    def take_part(self, data: bytes) -> None:
        raise AssertionError("an answer to a remembered key is judged whole")

    def take_end(self) -> None:
        raise AssertionError("an answer to a remembered key is judged whole")

    def break_off(self) -> None:
        raise AssertionError("an answer to a remembered key is judged whole")

    # What a front calls an owner.

    def withdraw(self, request: OpenRequest) -> None:
        """The client has gone. What a pool has may have run; the key stands as begun until its answer comes."""
        self.client = None
        if self.pool is not None:
            self.pool.withdraw(request)
            if self.timer is None:
                self._release()

    def uploaded(self, request: OpenRequest) -> None:
        raise AssertionError("a remembered request is held whole")

    upload_lost = uploaded

    def upload_failed(self, request: OpenRequest, status: int) -> None:
        raise AssertionError("a remembered request is held whole")

    # The end.

    def _take_back(self) -> None:
        """It is known not to have run: a repeat is a first one again. Nobody waits for that to be on disk: until it is,
        a repeat hears that the key is begun, which is safe."""
        if self.first:
            self.ledger.store.submit(lambda view: view.delete(self.key), lambda _, problem: None)

    def _release(self) -> None:
        self.client = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.ledger.in_progress.get(self.key) is self:
            del self.ledger.in_progress[self.key]
        if not self.released:
            self.released = True
            self.ledger.open -= 1
