"""Load shedding: which requests are rejected under overload, the least value for its work first."""

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

LATE_OBJECTIVE_SHARE = 0.6  # an attempt that takes more of its objective than this speaks for overload
TOLERATED_LATE_SHARE = 0.2  # share of such attempts that is put up with while nothing is shed
TIME_PER_LEVEL_S = 1.0  # in which a proxy whose attempts are all late comes to shed one class
# The level fades, so that it stands for the late share of the last seconds. Summed up for good, it would
# drift apart among many proxies: chance late attempts would stay in it, and a proxy's own rejections are too
# small a part of the fleet's traffic to bring it back.
LEVEL_DECAY_S = 5.0
# Levels between shedding a class whole and beginning with the next: where some proxies stand above the common
# level and some below, the first would otherwise shed what is worth most while the others serve what is worth
# least.
LEVELS_BETWEEN_CLASSES = 1.0
MAX_SHED_SHARE = 0.95  # a class is never shed whole: without its traffic nothing would tell of room
MIN_RATE_LIFETIME_S = 0.1  # of a proxy, before which its rate says little
MIN_RETRY_AFTER_SHARE = 0.5  # of the longest `Retry-After` that is permitted
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
    """The level of load shedding, the classes that it rejects, and when their clients may return."""

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
        """0: nothing is shed; each class takes one level to be shed whole, and a gap follows."""

    def rejects(self, event: Request, is_late: bool, now: float) -> bool:
        """Return whether a new request is rejected: what is worth least for its work first.

        Args:
            event: The request.
            is_late: Whether its answer can only be late and then earns nothing; such requests go first.
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
        """Return the share of requests like this one that is shed at the present level."""
        values = self._value.by_class()
        own_value = values[class_index] * (self._over_quota_weight if over_quota else 1.0)
        rank = -1 if is_late else sum(value < own_value for value in values)
        return min(MAX_SHED_SHARE, self.level - (1 + LEVELS_BETWEEN_CLASSES) * (rank - over_quota))

    def retry_after(self) -> float:
        """Return the seconds after which a rejected client may return; 0 says nothing.

        Clients that return at once are each a further rejection. The times are spread, so that those rejected
        together do not return together. Nothing is said while no load is shed: what is rejected for want of
        an endpoint or of time now may find one at once. A client may return later than there is room.
        """
        if not self._limits.retry_after or self.level <= 0:
            return 0.0
        return self._limits.max_retry_after * self._jitter.uniform(MIN_RETRY_AFTER_SHARE, 1.0)

    def record_outcome(self, pending: PendingRequest, event: Outcome, now: float) -> LogMessage | None:
        """Adapt the level to the end of an attempt; return what is to be logged.

        Overload is that even the typical attempt takes long, not that some fail: shedding load where only
        some endpoints are sick would call up clients' retries. The level takes additive steps that fade, and
        none where `TOLERATED_LATE_SHARE` of the attempts are late.
        """
        if event.result in _NOT_COUNTED:
            return None
        # The time to the first byte: the rest is up to the client, not the load.
        max_time = LATE_OBJECTIVE_SHARE * pending.request_class.latency_objective
        is_late = event.result == AttemptResult.FULL or event.response_time > max_time
        # Over the true life of a young proxy: a start at which all connections are new is no overload.
        rate = max(1.0, self._send_rate.per_second(now, MIN_RATE_LIFETIME_S))
        step = (1 - TOLERATED_LATE_SHARE if is_late else -TOLERATED_LATE_SHARE) / (rate * TIME_PER_LEVEL_S)
        step -= self.level / (rate * LEVEL_DECAY_S)
        self.level = min(self._max_level, max(0.0, self.level + step))
        if self.level > LOGGED_LEVEL and now > self._logged_at + LOG_INTERVAL_S:
            self._logged_at = now
            return LogMessage(f"shedding: attempts take too long, level {self.level:.1f}")
        return None
