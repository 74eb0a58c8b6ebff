"""Slow start: paces endpoints that warm up, so that all proxies together overload none of them.

Two mechanisms limit traffic to an endpoint that has just started. The ramp makes it a rare candidate for
`RAMP_S`, and only avoids slow answers. The pace is a safety rule: for `SafetyRules.slow_start_duration`
seconds each proxy sends it less than its part of the capacity that the endpoint has by then according to the
settings. All proxies use the same rule, so together they stay within that capacity without communication.
"""

from __future__ import annotations

import math
from random import Random

from loadbalancer.policy.endpoints import Endpoint, EndpointRegistry
from loadbalancer.policy.estimators import RATE_MEMORY_S, SendRate
from loadbalancer.policy.events import EndpointState
from loadbalancer.policy.settings import PolicySettings

RAMP_S = 90.0  # time over which traffic to a new endpoint grows
RAMP_START = 0.1  # initial share of the ramp, so that a newly listed endpoint is tried at all
MAX_RAMPING_SHARE = 0.1  # share of the endpoints that the ramp may limit; the rest could not carry more
RAMP_SUSPENDED_S = 1.0  # time without the ramp after a request for which no endpoint had room
# A warm endpoint gets about 0.7 of its capacity while objectives are met, and load shedding lowers that just
# when endpoints that warm up are needed. So the pace somewhat exceeds the usual traffic, but uses no more
# than this share of the overload factor, which leaves room for random variation and for usual traffic closer
# to capacity.
OVERLOAD_FACTOR_SHARE = 0.56
MAX_PACE_MARGIN = 1.4
TARGET_UTILIZATION = 0.9  # target of the pace if the endpoint reports its utilization
MAX_UTILIZATION_CORRECTION = 1.4  # maximum factor by which a low report raises the pace
WARMTH_LAG = 0.5  # share of the overload duration by which the pace lags behind the warm-up
USUAL_RATE_MEMORY_S = 20.0  # time constant of the usual rate to an endpoint
# If more than this share warms up, the send rate does not show the usual rate of a warm endpoint.
MAX_WARMING_SHARE = 0.3


class SlowStart:
    """Applies the pace and the ramp to endpoints that warm up."""

    def __init__(
        self,
        settings: PolicySettings,
        random: Random,
        jitter: Random,
        registry: EndpointRegistry,
        send_rate: SendRate,
    ) -> None:
        self._rules = settings.rules
        self._duration = settings.rules.slow_start_duration
        self._instance_count = settings.instance_count
        self._standby_slow_start = settings.standby_slow_start
        self._random = random
        self._jitter = jitter
        self._registry = registry
        self._send_rate = send_rate
        self._usual_rate = 0.0  # attempts a second to an endpoint of size 1
        self._usual_rate_at = 0.0
        self._usual_rate_frozen_until = -math.inf
        self._ramp_s = RAMP_S
        self._ramp_suspended_until = -math.inf

    def accepts_requests(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the drain and slow-start rules allow a request to an endpoint now."""
        if endpoint.state != EndpointState.READY or endpoint.cordoned:
            return False
        age = max(0.0, now - endpoint.warming_since())
        if age >= self._duration:
            return True
        if endpoint.pacing_debt > 0 and now > endpoint.pacing_updated_at:
            endpoint.pacing_debt -= self.pace(endpoint, age, now) * (now - endpoint.pacing_updated_at)
            endpoint.pacing_updated_at = now
        return endpoint.pacing_debt <= 0

    def is_warming_up(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint is warming up, and therefore paced."""
        return now < endpoint.warming_since() + self._duration

    def is_skipped_by_ramp(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the ramp skips an endpoint, at random and less often the longer ago it started."""
        age = now - endpoint.started
        ramp_s = 0.0 if now < self._ramp_suspended_until else self._ramp_s
        return age < ramp_s > 0 and self._random.random() > max(RAMP_START, age / ramp_s)

    def suspend_ramp(self, now: float) -> None:
        """Suspend the ramp for a while because a request found no room elsewhere; the pace still applies."""
        self._ramp_suspended_until = now + RAMP_SUSPENDED_S

    def start_pacing(self, endpoint: Endpoint, now: float) -> None:
        """Start pacing an endpoint whose process is new.

        All proxies learn of a start at the same moment, so each begins at a random point of its gap: hundreds
        of first requests at once would overload the endpoint. On average one proxy may send at once; a single
        proxy always may.
        """
        endpoint.pacing_debt = max(0.0, self._jitter.random() - 1 / self._instance_count)
        endpoint.pacing_updated_at = now

    def record_send(self, endpoint: Endpoint, now: float) -> None:
        """Record an attempt, and start the gap until the next one if the endpoint warms up.

        The length of the gap is random, so that the proxies do not synchronize. It elapses with time and not
        by a random draw for each request, which could select the endpoint twice in a row.
        """
        is_idle_standby = endpoint.priority and self._standby_slow_start
        if is_idle_standby and now - endpoint.last_used > self._duration:
            endpoint.warm_started_at = now
        endpoint.last_used = now
        self._record_usual_rate(now)
        if self.is_warming_up(endpoint, now):
            endpoint.pacing_debt = 0.5 + self._random.random()
            endpoint.pacing_updated_at = now

    def on_pools_rebuilt(self, now: float) -> None:
        """Adapt the ramp and the usual rate to a change of the endpoints.

        After a deploy or the return of a lost zone most endpoints have just started. The ramp would leave all
        load to the few others, so then only the pace applies.
        """
        ready = self._registry.ready
        recently_started = sum(endpoint.started > 0 and now - endpoint.started < RAMP_S for endpoint in ready)
        self._ramp_s = 0.0 if recently_started > MAX_RAMPING_SHARE * len(ready) else RAMP_S
        warming = [endpoint.started for endpoint in ready if now - endpoint.started < self._duration]
        if len(warming) > MAX_WARMING_SHARE * len(ready):
            self._usual_rate_frozen_until = max(warming) + self._duration

    def pace(self, endpoint: Endpoint, age: float, now: float) -> float:
        """Return the requests a second that this proxy may send to an endpoint that warms up.

        Args:
            endpoint: The endpoint.
            age: Seconds since it began to warm up.
            now: The time, in seconds.
        """
        rules = self._rules
        # A window of `overload_duration` has the budget of its beginning, when the endpoint was less warm.
        warmth = max(0.0, age - rules.overload_duration * WARMTH_LAG) / rules.slow_start_duration
        share = rules.slow_start_capacity + (1 - rules.slow_start_capacity) * warmth
        total_size = self._registry.pool.total_size(self._registry.speed_by_kind)
        size = endpoint.size * self._registry.speed_by_kind.get(endpoint.kind, 1.0)
        usual_rate = self._usual_rate
        if not usual_rate:
            own_rate = max(self._send_rate.per_second(now), 1 / RATE_MEMORY_S)
            usual_rate = own_rate / max(total_size, size)
        margin = min(MAX_PACE_MARGIN, OVERLOAD_FACTOR_SHARE * rules.overload_factor)
        return usual_rate * size * share * margin * self.utilization_correction(endpoint)

    def utilization_correction(self, endpoint: Endpoint) -> float:
        """Return the factor by which an endpoint's own report corrects its pace; 1 without a report.

        All proxies see the same report and target the same utilization. A late report can raise the pace by
        at most the maximum factor, for which the overload factor leaves room.
        """
        if endpoint.utilization_at <= endpoint.warming_since() or not endpoint.utilization:
            return 1.0
        return min(MAX_UTILIZATION_CORRECTION, TARGET_UTILIZATION / endpoint.utilization)

    def _record_usual_rate(self, now: float) -> None:
        """Update the average rate to an endpoint of size 1, unless too many endpoints are warming up.

        If most are warming up, the send rate is the sum of their paces, and a pace derived from it would fall
        with the traffic that it admits. If load falls during that time, the pace follows late.
        """
        elapsed = now - self._usual_rate_at
        self._usual_rate_at = now
        if now < self._usual_rate_frozen_until or not self._registry.pool.kinds:
            return
        total_size = self._registry.pool.total_size(self._registry.speed_by_kind)
        memory_s = max(1e-3, min(USUAL_RATE_MEMORY_S, now - self._send_rate.started_at))
        step = min(1.0, elapsed / memory_s)
        rate = self._send_rate.per_second(now) / max(total_size, 1.0)
        self._usual_rate += step * (rate - self._usual_rate)
