"""Prevents duplicate effects: when and where a request may run again, and when its client may resend it.

`Effect` defines what running a request twice would do; an attempt "may have run" unless its result proves
otherwise (`events.NEVER_RAN`). If an earlier attempt may have run:

| effect | another attempt | where | reject (a promise that nothing ran) |
| --- | --- | --- | --- |
| safe | always | any endpoint | always |
| keyed, scope all | within the deduplication window | any endpoint | always |
| keyed, scope zone or cell | within the deduplication window | zone or cell of the first | never |
| unsafe | never | | never |

The window begins when the first attempt that may have run was sent. If none may have run, a request may go
anywhere and may be rejected, whatever its effect. The rules hold for a fleet of proxies because each proxy
follows them.
"""

from __future__ import annotations

from typing import Sequence

from loadbalancer.policy.endpoints import EndpointPool, EndpointRegistry
from loadbalancer.policy.pending_requests import Attempt
from loadbalancer.policy.settings import DeduplicationScope, Effect, RequestClass


def first_that_may_have_run(attempts: Sequence[Attempt]) -> Attempt | None:
    """Return the earliest attempt that an endpoint may have run."""
    return next((attempt for attempt in attempts if attempt.may_have_run), None)


def may_run_again(request_class: RequestClass, first: Attempt | None, now: float) -> bool:
    """Return whether another attempt may follow.

    Args:
        request_class: The class of the request.
        first: The earliest attempt that may have run, if any.
        now: The time, in seconds.
    """
    if first is None or request_class.effect == Effect.SAFE:
        return True
    within_window = now < first.sent_at + request_class.deduplication_window
    return request_class.effect == Effect.KEYED and within_window


def allowed_pool(
    request_class: RequestClass, first: Attempt | None, registry: EndpointRegistry
) -> EndpointPool | None:
    """Return the pool that a further attempt may go to, or None.

    Args:
        request_class: The class of the request.
        first: The earliest attempt that may have run, if any.
        registry: All endpoints and their pools.
    """
    if first is None or request_class.effect == Effect.SAFE:
        return registry.pool
    scope = request_class.deduplication_scope
    if scope == DeduplicationScope.ALL:
        return registry.pool
    group = first.endpoint.zone if scope == DeduplicationScope.ZONE else first.endpoint.cell
    return registry.deduplication_groups.get((scope, group))


def may_reject(request_class: RequestClass, attempts: Sequence[Attempt]) -> bool:
    """Return whether a rejection may promise the client that sending the request again is harmless."""
    if request_class.effect == Effect.SAFE:
        return True
    keyed_everywhere = request_class.deduplication_scope == DeduplicationScope.ALL
    if request_class.effect == Effect.KEYED and keyed_everywhere:
        return True
    return not any(attempt.may_have_run for attempt in attempts)
