"""Requests with idempotency keys, between a front end and a pool: the ledger's rulings carried out.

A request waits here for the disk twice: before its first attempt may leave, and before its answer may reach the client.
Neither wait outlasts the client's: an answer that the disk has not taken by then goes out, since the key stands as
begun and no repeat of it is sent blindly. One handler for each such request, released with its answer or its client.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Callable, NamedTuple

from loadbalancer.metrics import RETRYABLE_STATUSES, RequestResult
from loadbalancer.proxy.open_requests import Client, OpenRequest, RequestOwner
from loadbalancer.store.errors import StoreError
from loadbalancer.store.keeper import Store, StoreView
from loadbalancer.store.ledger import (
    Answered,
    Begun,
    Disposition,
    Ruling,
    answered,
    decide,
    decode,
    encode,
)
from loadbalancer.streaming.streams import Stream

if TYPE_CHECKING:
    from loadbalancer.proxy.proxy import Proxy

REPLAYED = b"Idempotent-Replayed: true\r\n"
RETRY_AFTER = b"Retry-After: 1\r\n"
SPARE_S = 0.02
"""Seconds before its client's time is up at which an answer goes out that waits for the disk."""
SERVICE_UNAVAILABLE = 503
ELSEWHERE = Ruling(
    Disposition.REFUSED, status=SERVICE_UNAVAILABLE, reason="another process takes over; it has not run"
)
"""While the store passes to another process, which will know of the key."""
IN_PROGRESS = Ruling(Disposition.REFUSED, status=409, reason="a request with the key is in progress")
SENT = (Disposition.FIRST, Disposition.AGAIN)
"""Dispositions of a request that goes to an endpoint."""


class KeyTerms(NamedTuple):
    """How a class of requests is remembered."""

    cls: int
    """Number of the class."""
    again: int
    """Number of the class by which a retry goes that must not be retried in turn."""
    window: float
    """Seconds in which endpoints drop repeats."""
    all_drop: bool
    """Whether every endpoint drops the repeats of every other."""
    remember: float
    """Seconds for which an answer is kept."""
    most: int
    """Bytes of an answer that is kept whole."""


Take = Callable[[int, float], None]
"""Hands a request to its pool: the number of its class, and the seconds that it has."""


class IdempotencyLedger:
    """The ledger of one daemon, for all its pools."""

    def __init__(self, store: Store, logger: Callable[[str, object], None]) -> None:
        self.store = store
        self.logger = logger
        self.in_progress: dict[bytes, object] = {}  # the handler that is open in this process, by key
        self.open = 0  # requests that are held here
        self.lent = False  # the store passes to another process

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
        """Handle a request.

        Args:
            proxy: Its pool.
            request: The request.
            key: Its key, as the store has it.
            digest: Tells it from other requests with the key.
            terms: How it is remembered.
            deadline: When its client gives up, in monotonic seconds.
            take: Hands it to the pool.
        """
        IdempotentRequestHandler(self, proxy, request, key, digest, terms, deadline, take).begin()


class IdempotentRequestHandler:
    """One request: its client, as its pool sees it, and its owner, as its front end sees it."""

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
        """Stand between a request and its client; see `IdempotencyLedger.take`."""
        self.client: Client | None = request.client
        self._ledger = ledger
        self._proxy = proxy
        self._request = request
        self._key = key
        self._digest = digest
        self._terms = terms
        self._deadline = deadline
        self._hand_over = take
        self._pool: RequestOwner | None = None  # once a pool has the request
        self._is_first = False  # the key was new
        self._is_released = False
        self._answer_timer: asyncio.TimerHandle | None = None  # while an answer waits for the disk
        request.client = self
        request.owner = self
        ledger.open += 1

    def begin(self) -> None:
        """Ask the ledger."""
        if self._ledger.lent:
            asyncio.get_running_loop().call_soon(self._on_ruling, ELSEWHERE, None)
            return
        self._ledger.store.submit(self._rule, self._on_ruling)

    def _rule(self, view: StoreView) -> Ruling:
        """In the store's thread: read what is known of the key, and note that it begins.

        May run twice where a batch is tried again.
        """
        now = view.now()
        in_progress = self._ledger.in_progress.get(self._key, self) is not self
        entry = decode(view.get(self._key))
        ruling = decide(entry, self._digest, now, in_progress, self._terms.all_drop)
        if ruling.disposition == Disposition.FIRST:
            if in_progress:  # the key was taken back, and its request has not ended yet
                return IN_PROGRESS
            begun = Begun(self._digest, now, self._terms.window)
            expires = now + max(self._terms.remember, self._terms.window)
            view.put(self._key, encode(begun), expires)
        if ruling.disposition in SENT:
            self._ledger.in_progress[self._key] = self
        return ruling

    def _on_ruling(self, ruling: Ruling, problem: StoreError | None) -> None:
        if problem is not None:
            self._ledger.logger("keyed work refused", problem)
            self._answer_self(SERVICE_UNAVAILABLE, [], b"the key can't be remembered now; it has not run\n")
            return
        self._is_first = ruling.disposition == Disposition.FIRST
        time_remaining = self._deadline - time.monotonic()
        if ruling.disposition == Disposition.AGAIN:
            time_remaining = min(time_remaining, ruling.time_remaining)
        is_sent = ruling.disposition in SENT
        if self.client is None or (is_sent and time_remaining <= 0):
            self._take_back()
            text = b"no time was left once the key was on disk; it has not run\n"
            self._answer_self(SERVICE_UNAVAILABLE, [], text)
        elif is_sent:
            self._send(time_remaining)
        elif ruling.answer is not None:
            self._replay(self.client, ruling.answer)
        else:
            lines = [RETRY_AFTER] if ruling is ELSEWHERE else []
            self._answer_self(ruling.status, lines, ruling.reason.encode() + b"\n")

    def _send(self, time_remaining: float) -> None:
        class_index = self._terms.cls if self._is_first else self._terms.again
        self._hand_over(class_index, time_remaining)
        if self.client is not None:
            self._pool = self._request.owner
            self._request.owner = self

    def _replay(self, client: Client, answer: Answered) -> None:
        assert answer.body is not None
        self._release()
        self._proxy.drop(self._request)
        self._proxy.metrics.count(self._terms.cls, RequestResult.PASSED)
        lines = [*answer.lines, REPLAYED]
        client.answer(answer.status, lines, answer.body, False, None, answer.reason)

    def _answer_self(self, status: int, lines: list[bytes], body: bytes) -> None:
        """Answer before any attempt has left."""
        client = self.client
        self._release()
        self._proxy.count_rejected(self._request, self._terms.cls, status)
        if client is not None:
            client.answer(status, lines, body)

    # Called by the pool, for which this is the client.

    def answer(
        self,
        status: int,
        lines: list[bytes],
        body: bytes,
        close: bool = False,
        length: int | None = None,
        reason: bytes = b"",
    ) -> None:
        """Pass an answer on; an endpoint's once it is on disk, or its client's time is nearly up."""

        def deliver() -> None:
            client = self.client
            self._release()
            if client is not None:
                client.answer(status, lines, body, close, length, reason)

        if self._request.answered_by_endpoint:
            self._remember(status, lines, body, reason, deliver)
            return
        may_have_run = self._request.may_have_run or self._request.open_attempts > 0
        if status in RETRYABLE_STATUSES and not may_have_run:
            self._take_back()
        deliver()

    def _remember(
        self, status: int, lines: list[bytes], body: bytes, reason: bytes, deliver: Callable[[], None]
    ) -> None:
        """Store an answer, then deliver it."""
        delay = max(0.0, self._deadline - SPARE_S - time.monotonic())
        self._answer_timer = asyncio.get_running_loop().call_later(delay, self._deliver_late, deliver)
        terms = self._terms

        def store(view: StoreView) -> None:
            now = view.now()
            entry = answered(self._digest, now, status, reason, lines, body, terms.most)
            view.put(self._key, encode(entry), now + terms.remember)

        def on_stored(_: None, problem: StoreError | None) -> None:
            if problem is not None:
                self._ledger.logger("an answer is not remembered; its key stands as begun", problem)
            if self._answer_timer is not None:
                deliver()

        self._ledger.store.submit(store, on_stored)

    def _deliver_late(self, deliver: Callable[[], None]) -> None:
        self._ledger.logger("an answer went out before the disk had it", "its key stands as begun until then")
        deliver()

    def has_left(self) -> bool:
        """Whether the client has left; one that has withdrawn has."""
        return self.client is None or self.client.has_left()

    def begin_answer(
        self,
        status: int,  # noqa: ARG002
        lines: list[bytes],  # noqa: ARG002
        length: int | None,  # noqa: ARG002
        reason: bytes,  # noqa: ARG002
        stream: Stream,  # noqa: ARG002
    ) -> None:
        """Not called: the configuration keeps pools that stream answers apart from remembered classes."""
        raise AssertionError("an answer to a remembered key is judged whole")

    def receive_data(self, data: bytes) -> None:  # noqa: ARG002
        """Not called; see `begin_answer`."""
        raise AssertionError("an answer to a remembered key is judged whole")

    def receive_end(self) -> None:
        """Not called; see `begin_answer`."""
        raise AssertionError("an answer to a remembered key is judged whole")

    def abort_body(self) -> None:
        """Not called; see `begin_answer`."""
        raise AssertionError("an answer to a remembered key is judged whole")

    # Called by the front end, for which this is the owner.

    def cancel_by_client(self, request: OpenRequest) -> None:
        """The client has gone. What a pool has may have run; the key stands as begun until its answer comes."""
        self.client = None
        if self._pool is not None:
            self._pool.cancel_by_client(request)
            if self._answer_timer is None:
                self._release()

    def uploaded(self, request: OpenRequest) -> None:  # noqa: ARG002
        """Not called: a remembered request is held whole."""
        raise AssertionError("a remembered request is held whole")

    def upload_lost(self, request: OpenRequest) -> None:  # noqa: ARG002
        """Not called: a remembered request is held whole."""
        raise AssertionError("a remembered request is held whole")

    def upload_failed(self, request: OpenRequest, status: int) -> None:  # noqa: ARG002
        """Not called: a remembered request is held whole."""
        raise AssertionError("a remembered request is held whole")

    # The end.

    def _take_back(self) -> None:
        """Remove the key of a request that has not run, so that a repeat is a first one again.

        Nobody waits for the disk: until it has it, a repeat gets that the key is begun, which is safe.
        """
        if self._is_first:
            self._ledger.store.submit(lambda view: view.delete(self._key), _ignore_result)

    def _release(self) -> None:
        self.client = None
        if self._answer_timer is not None:
            self._answer_timer.cancel()
            self._answer_timer = None
        if self._ledger.in_progress.get(self._key) is self:
            del self._ledger.in_progress[self._key]
        if not self._is_released:
            self._is_released = True
            self._ledger.open -= 1


def _ignore_result(_result: None, _problem: StoreError | None) -> None:
    """Do nothing with the result of a job."""
