"""Whether an attempt may be sent: asked as it is decided, once its connection is up, and until it has arrived.

Every condition is asked here, so that no step on the way knows fewer of them than another:

| condition | before the first byte | until the last byte has arrived |
| --- | --- | --- |
| the request is open, its pool too, and its client is there | yes | yes |
| this instance holds a lease | yes | yes |
| the replicated overrides allow its endpoint | yes | no: for drains a send counts from its first byte |
| its endpoint is listed as serving | yes, once time has passed | no, as above |
| other attempts and the deduplication window permit it | yes, once time has passed | yes |
"""

from __future__ import annotations

from typing import Callable, cast

from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import AttemptResult
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.upstreams.connections import Attempt


class SendPermission:
    """Answers for the attempts of one pool whether they may be sent, and may still arrive."""

    def __init__(self, balancer: Balancer, now: Callable[[], float]) -> None:
        """Create it without a lease or overrides, which concern fleets alone.

        Args:
            balancer: The policy, which knows the attempts of each request and the states of endpoints.
            now: The policy's clock.
        """
        self.may_act: Callable[[], bool] | None = None
        """In a fleet: returns whether this instance holds a lease."""
        self.guard: Callable[[str], AttemptResult | None] | None = None
        """In a fleet: returns the result of an attempt to an endpoint that must not be sent, or None if it may be."""
        self._balancer = balancer
        self._now = now

    def lacks_lease(self) -> bool:
        """Return whether this instance needs a lease and has none."""
        return self.may_act is not None and not self.may_act()

    def find_obstacle(self, attempt: Attempt, late: bool) -> AttemptResult | None:
        """Return the result of an attempt that must not be sent, or None if it may be; see `AttemptOwner`."""
        if not self._is_wanted(attempt):
            return AttemptResult.NOT_SENT
        request = cast(OpenRequest, attempt.request)
        if late and not self._balancer.may_send_attempt(self._now(), request.id, attempt.number):
            return AttemptResult.NOT_SENT
        return self.guard(attempt.endpoint) if self.guard is not None else None  # last: it counts the send

    def may_arrive(self, attempt: Attempt, within_s: float) -> bool:
        """Return whether an attempt that is being written may still reach its endpoint whole.

        Args:
            attempt: The attempt.
            within_s: Seconds from now for which the answer has to hold.
        """
        if not self._is_wanted(attempt):
            return False
        request = cast(OpenRequest, attempt.request)
        if request.stream is not None:
            return attempt.number == request.streaming_attempt
        if attempt.answered_at:  # its endpoint does not wait for the rest
            return True
        return self._balancer.may_complete_attempt(self._now() + within_s, request.id, attempt.number)

    def _is_wanted(self, attempt: Attempt) -> bool:
        request = cast(OpenRequest, attempt.request)
        return not (request.done or request.client.has_left() or self.lacks_lease())
