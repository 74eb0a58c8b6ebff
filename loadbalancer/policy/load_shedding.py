"""Load shedding: rejects requests under overload, those of least value for their work first."""

from __future__ import annotations

import math
from random import Random

from loadbalancer.policy.actions import LogMessage
from loadbalancer.policy.concurrency_limit import MIN_LIMIT, ConcurrencyLimit
from loadbalancer.policy.estimators import SendRate
from loadbalancer.policy.events import AttemptResult, Outcome, Request
from loadbalancer.policy.pending_requests import PendingRequest
from loadbalancer.policy.request_value import RequestValue
from loadbalancer.policy.settings import PolicySettings
from loadbalancer.policy.tenant_quota import TenantQuota

LATE_OBJECTIVE_SHARE = 0.6  # an attempt that takes more of its objective than this indicates overload
TOLERATED_LATE_SHARE = 0.2  # share of such attempts at which the level does not rise
TIME_PER_LEVEL_S = 1.0  # time in which a proxy whose attempts are all late comes to shed one class
# The level decays, so that it reflects the late share of the last seconds. Without decay the levels of many
# proxies would drift apart: random late attempts would accumulate, and a proxy's own rejections are too small
# a part of the fleet's traffic to bring its level back.
LEVEL_DECAY_S = 5.0
# Levels between shedding one class completely and starting with the next. Proxies are above and below the
# mean level; without a gap those above would shed the most valuable class while those below serve the least
# valuable.
LEVELS_BETWEEN_CLASSES = 1.0
MAX_SHED_SHARE = 0.95  # of a class; without any of its traffic nothing would show that capacity is back
MIN_RATE_LIFETIME_S = 0.1  # minimum time since its start over which a proxy's send rate is averaged
MIN_RETRY_AFTER_SHARE = 0.5  # of the maximum `Retry-After`
LOGGED_LEVEL = 0.5
LOG_INTERVAL_S = 10

_NOT_COUNTED = frozenset(
    (
        AttemptResult.CANCELLED,
        AttemptResult.NOT_SENT,
        AttemptResult.NO_CONNECTION,
        AttemptResult.UNUSABLE,
    )
)


class LoadShedding:
    """Adapts the level of load shedding, decides what it rejects, and chooses the `Retry-After`."""

    def __init__(
        self,
        settings: PolicySettings,
        random: Random,
        jitter: Random,
        value: RequestValue,
        concurrency_limit: ConcurrencyLimit,
        send_rate: SendRate,
    ) -> None:
        self._limits = settings.limits
        self._over_quota_weight = settings.over_quota_weight
        self._has_tenants = bool(settings.tenants)
        self._max_level = len(settings.classes) * (1 + LEVELS_BETWEEN_CLASSES)
        self._random = random
        self._jitter = jitter
        self._value = value
        self._concurrency_limit = concurrency_limit
        self._send_rate = send_rate
        self._logged_at = -math.inf
        self.quota = TenantQuota(settings)
        self.level = 0.0
        """0 sheds nothing; each class is shed over one level, and `LEVELS_BETWEEN_CLASSES` follow."""

    def rejects(self, event: Request, is_late: bool, now: float) -> bool:
        """Return whether to reject a new request; those of least value for their work go first.

        Args:
            event: The request.
            is_late: Whether its answer can only be late and of no value; such requests are rejected first.
            now: The time, in seconds.
        """
        class_index = event.class_index
        over_quota = self._has_tenants and self.quota.is_exceeded(event.tenant, now)
        limit = self._concurrency_limit
        if limit.in_flight >= MIN_LIMIT and limit.is_full(class_index, is_late or over_quota):
            return True
        if self.level > 0 and self._random.random() < self._shed_share(class_index, is_late, over_quota):
            return True
        if self._has_tenants:
            self.quota.record_admitted(event.tenant)
        return False

    def _shed_share(self, class_index: int, is_late: bool, over_quota: bool) -> float:
        """Return the share of such requests that is shed at the current level."""
        values = self._value.by_class()
        own_value = values[class_index] * (self._over_quota_weight if over_quota else 1.0)
        rank = -1 if is_late else sum(value < own_value for value in values)
        return min(MAX_SHED_SHARE, self.level - (1 + LEVELS_BETWEEN_CLASSES) * (rank - over_quota))

    def retry_after(self) -> float:
        """Return the seconds after which a rejected client may retry; 0 leaves the time unspecified.

        A client that retries at once only causes another rejection. The times are jittered, so that clients
        rejected together do not retry together. While no load is shed no time is given: a request that was
        rejected because no endpoint was available or could answer in time may succeed at once. The drawback
        is that a client may retry later than capacity is back.
        """
        if not self._limits.retry_after or self.level <= 0:
            return 0.0
        return self._limits.max_retry_after * self._jitter.uniform(MIN_RETRY_AFTER_SHARE, 1.0)

    def record_outcome(self, pending: PendingRequest, event: Outcome, now: float) -> LogMessage | None:
        """Adapt the level to the end of an attempt; return a message to log, if any.

        The sign of overload is that even the typical attempt is slow, not that some fail: shedding load when
        only some endpoints are unhealthy would cause client retries. The level moves by additive steps, which
        decay, and the steps balance when `TOLERATED_LATE_SHARE` of the attempts are late.
        """
        if event.result in _NOT_COUNTED:
            return None
        # The time to the first byte counts: the rest depends on the client, not on the load.
        max_time = LATE_OBJECTIVE_SHARE * pending.request_class.latency_objective
        is_late = event.result == AttemptResult.FULL or event.response_time > max_time
        # The rate is averaged over the real lifetime of a proxy that has just started: late attempts at a
        # start, when all connections are new, are no sign of overload.
        rate = max(1.0, self._send_rate.per_second(now, MIN_RATE_LIFETIME_S))
        step = (1 - TOLERATED_LATE_SHARE if is_late else -TOLERATED_LATE_SHARE) / (rate * TIME_PER_LEVEL_S)
        step -= self.level / (rate * LEVEL_DECAY_S)
        self.level = min(self._max_level, max(0.0, self.level + step))
        if self.level > LOGGED_LEVEL and now > self._logged_at + LOG_INTERVAL_S:
            self._logged_at = now
            return LogMessage(f"shedding: attempts take too long, level {self.level:.1f}")
        return None
