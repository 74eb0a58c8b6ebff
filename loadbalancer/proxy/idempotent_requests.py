"""Handles requests with idempotency keys, between a front end and a pool, as the ledger decides.

A request waits for the disk twice: before its first attempt may be sent, and before its answer may reach the client.
Neither wait goes beyond the client's deadline: an answer that is not on disk shortly before it is sent all the same,
which is safe because the key is on disk as begun, so that no repeat of it is sent blindly. Each such request has one
handler, which is released when the answer is sent or the client leaves.
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
    KeyDecision,
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
ANSWER_MARGIN_S = 0.02
"""Seconds before the client's deadline at which an answer that waits for the disk is sent."""
SERVICE_UNAVAILABLE = 503
STORE_HANDED_OVER = KeyDecision(
    Disposition.REFUSED, status=SERVICE_UNAVAILABLE, reason="another process takes over; it has not run"
)
"""Answer while the store is handed over to another process, which will know of the key."""
IN_PROGRESS = KeyDecision(Disposition.REFUSED, status=409, reason="a request with the key is in progress")
SENT = (Disposition.FIRST, Disposition.RETRY)
"""Dispositions of requests that are sent to an endpoint."""


class KeyTerms(NamedTuple):
    """How the keys and answers of a class of requests are remembered."""

    cls: int
    """Number of the class."""
    repeat_cls: int
    """Number of the class that a repeat is submitted under, whose attempts must not be retried in turn."""
    window: float
    """Seconds for which endpoints deduplicate repeats."""
    all_drop: bool
    """Whether every endpoint also deduplicates repeats of requests that another endpoint got."""
    remember: float
    """Seconds for which an answer is stored."""
    max_answer_bytes: int
    """Limit on the header lines and body of an answer, in bytes; of a longer one, the body's digest is stored."""


Submit = Callable[[int, float], None]
"""Submits a request to its pool, with the number of its class and its remaining seconds."""


class IdempotencyLedger:
    """The ledger of idempotency keys of one daemon, for all its pools."""

    def __init__(self, store: Store, logger: Callable[[str, object], None]) -> None:
        self.store = store
        self.logger = logger
        self.in_progress: dict[bytes, object] = {}  # handlers of open requests of this process, by key
        self.open = 0  # number of requests that have a handler
        self.is_handed_over = False  # whether the store is being handed over to another process

    def handle(
        self,
        proxy: Proxy,
        request: OpenRequest,
        key: bytes,
        digest: bytes,
        terms: KeyTerms,
        deadline: float,
        take: Submit,
    ) -> None:
        """Handle a request.

        Args:
            proxy: Its pool.
            request: The request.
            key: Its key in the store.
            digest: Digest of the request; detects different requests with the same key.
            terms: How it is remembered.
            deadline: When its client gives up, in monotonic seconds.
            take: Submits it to the pool.
        """
        IdempotentRequestHandler(self, proxy, request, key, digest, terms, deadline, take).begin()


class IdempotentRequestHandler:
    """Handles one request; it acts as the client towards the pool, and as the request's owner towards the front end."""

    def __init__(
        self,
        ledger: IdempotencyLedger,
        proxy: Proxy,
        request: OpenRequest,
        key: bytes,
        digest: bytes,
        terms: KeyTerms,
        deadline: float,
        take: Submit,
    ) -> None:
        """Take the place of the request's client and owner; see `IdempotencyLedger.handle` for the arguments."""
        self.client: Client | None = request.client
        self._ledger = ledger
        self._proxy = proxy
        self._request = request
        self._key = key
        self._digest = digest
        self._terms = terms
        self._deadline = deadline
        self._submit = take
        self._pool: RequestOwner | None = None  # the pool's owner, once the request is submitted
        self._is_first = False  # whether the key was new
        self._is_released = False
        self._answer_timer: asyncio.TimerHandle | None = None  # set while an answer waits for the disk
        request.client = self
        request.owner = self
        ledger.open += 1

    def begin(self) -> None:
        """Look up the key in the store; continues in `_on_decision`."""
        if self._ledger.is_handed_over:
            asyncio.get_running_loop().call_soon(self._on_decision, STORE_HANDED_OVER, None)
            return
        self._ledger.store.submit(self._decide, self._on_decision)

    def _decide(self, view: StoreView) -> KeyDecision:
        """Decide on the request by the key's entry, and record a new key as begun; runs in the store's thread.

        It may run twice, if the store retries a batch.
        """
        now = view.now()
        in_progress = self._ledger.in_progress.get(self._key, self) is not self
        entry = decode(view.get(self._key))
        decision = decide(entry, self._digest, now, in_progress, self._terms.all_drop)
        if decision.disposition == Disposition.FIRST:
            if in_progress:  # the key was removed, but its request has not ended yet
                return IN_PROGRESS
            begun_entry = Begun(self._digest, now, self._terms.window)
            expires = now + max(self._terms.remember, self._terms.window)
            view.put(self._key, encode(begun_entry), expires)
        if decision.disposition in SENT:
            self._ledger.in_progress[self._key] = self
        return decision

    def _on_decision(self, decision: KeyDecision, problem: StoreError | None) -> None:
        if problem is not None:
            self._ledger.logger("keyed work refused", problem)
            self._answer_self(SERVICE_UNAVAILABLE, [], b"the key can't be remembered now; it has not run\n")
            return
        self._is_first = decision.disposition == Disposition.FIRST
        time_remaining = self._deadline - time.monotonic()
        if decision.disposition == Disposition.RETRY:
            time_remaining = min(time_remaining, decision.time_remaining)
        is_sent = decision.disposition in SENT
        if self.client is None or (is_sent and time_remaining <= 0):
            self._remove_key()
            text = b"no time was left once the key was on disk; it has not run\n"
            self._answer_self(SERVICE_UNAVAILABLE, [], text)
        elif is_sent:
            self._send(time_remaining)
        elif decision.answer is not None:
            self._replay(self.client, decision.answer)
        else:
            lines = [RETRY_AFTER] if decision is STORE_HANDED_OVER else []
            self._answer_self(decision.status, lines, decision.reason.encode() + b"\n")

    def _send(self, time_remaining: float) -> None:
        class_index = self._terms.cls if self._is_first else self._terms.repeat_cls
        self._submit(class_index, time_remaining)
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
        """Answer before the request is submitted to the pool."""
        client = self.client
        self._release()
        self._proxy.count_rejected(self._request, self._terms.cls, status)
        if client is not None:
            client.answer(status, lines, body)

    # Called by the pool, which sees this handler as the client.

    def answer(
        self,
        status: int,
        lines: list[bytes],
        body: bytes,
        close: bool = False,
        length: int | None = None,
        reason: bytes = b"",
    ) -> None:
        """Pass an answer on to the client; an endpoint's once it is on disk, or just before the deadline."""

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
            self._remove_key()
        deliver()

    def _remember(
        self, status: int, lines: list[bytes], body: bytes, reason: bytes, deliver: Callable[[], None]
    ) -> None:
        """Store an answer, then deliver it; it is delivered without waiting for the disk if the deadline is near."""
        delay = max(0.0, self._deadline - ANSWER_MARGIN_S - time.monotonic())
        self._answer_timer = asyncio.get_running_loop().call_later(delay, self._deliver_late, deliver)
        terms = self._terms

        def store(view: StoreView) -> None:
            now = view.now()
            entry = answered(self._digest, now, status, reason, lines, body, terms.max_answer_bytes)
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
        """Return whether the client has left; a request cancelled by its client counts too."""
        return self.client is None or self.client.has_left()

    def begin_answer(
        self,
        status: int,  # noqa: ARG002
        lines: list[bytes],  # noqa: ARG002
        length: int | None,  # noqa: ARG002
        reason: bytes,  # noqa: ARG002
        stream: Stream,  # noqa: ARG002
    ) -> None:
        """Not called: the configuration does not allow remembered classes in pools that stream answers."""
        raise AssertionError("answers to remembered keys are buffered, not streamed")

    def receive_data(self, data: bytes) -> None:  # noqa: ARG002
        """Not called; see `begin_answer`."""
        raise AssertionError("answers to remembered keys are buffered, not streamed")

    def is_full(self) -> bool:
        """Not called; see `begin_answer`."""
        raise AssertionError("answers to remembered keys are buffered, not streamed")

    def receive_end(self) -> None:
        """Not called; see `begin_answer`."""
        raise AssertionError("answers to remembered keys are buffered, not streamed")

    def abort_body(self) -> None:
        """Not called; see `begin_answer`."""
        raise AssertionError("answers to remembered keys are buffered, not streamed")

    # Called by the front end, which sees this handler as the owner.

    def cancel_by_client(self, request: OpenRequest) -> None:
        """Cancel a request whose client has disconnected.

        A submitted request may have run: its key stays stored as begun until an answer is stored.
        """
        self.client = None
        if self._pool is not None:
            self._pool.cancel_by_client(request)
            if self._answer_timer is None:
                self._release()

    def uploaded(self, request: OpenRequest) -> None:  # noqa: ARG002
        """Not called: remembered requests are buffered, not streamed."""
        raise AssertionError("remembered requests are buffered, not streamed")

    def upload_not_replayable(self, request: OpenRequest) -> None:  # noqa: ARG002
        """Not called: remembered requests are buffered, not streamed."""
        raise AssertionError("remembered requests are buffered, not streamed")

    def upload_failed(self, request: OpenRequest, status: int) -> None:  # noqa: ARG002
        """Not called: remembered requests are buffered, not streamed."""
        raise AssertionError("remembered requests are buffered, not streamed")

    # Completion.

    def _remove_key(self) -> None:
        """Remove the key of a request that has not run, so that a repeat counts as the first request again.

        This does not wait for the disk: until the removal is stored, a repeat finds the key as begun, which is safe.
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
    """Ignore the result of a job of the store."""
