"""Slow start: how endpoints that warm up are paced, so that all proxies together push none of them over.

Two mechanisms hold back an endpoint that has just started. The ramp makes it a rare candidate for `RAMP_S`,
and only saves answers from being slow. The pace is a safety rule: for `SafetyRules.slow_start_duration`
seconds each proxy sends it less than its part of what the settings say that the endpoint can do by then. All
proxies pace alike, so together they stay under that, without talking to each other.
"""

from __future__ import annotations

import math
from random import Random

from loadbalancer.policy.endpoints import Endpoint, EndpointRegistry
from loadbalancer.policy.estimators import RATE_MEMORY_S, SendRate
from loadbalancer.policy.events import EndpointState
from loadbalancer.policy.settings import PolicySettings

RAMP_S = 90.0  # traffic to a new endpoint grows over this
RAMP_START = 0.1  # the ramp's share at first, so that an endpoint just listed is tried at all
MAX_YOUNG_SHARE = 0.1  # share of the endpoints that the ramp may hold back; the rest could not carry more
RAMP_SUSPENDED_S = 1.0  # after a request found no room, the ramp holds nobody back for so long
# A warm endpoint is sent some 0.7 of what it can do where objectives are met, and shedding lowers that just
# when endpoints that warm up are needed. So the pace goes somewhat over the usual traffic, but uses no more
# than this share of the overload factor: there must be room for chance, and for usual traffic nearer to the
# capacity.
OVERLOAD_FACTOR_SHARE = 0.56
MAX_PACE_MARGIN = 1.4
TARGET_UTILIZATION = 0.9  # that the pace aims at, where the endpoint reports its own
MAX_UTILIZATION_CORRECTION = 1.4  # how far a low report may lift the pace
WARMTH_LAG = 0.5  # of the overload duration: the pace goes by the warmth of that long ago
USUAL_RATE_MEMORY_S = 20.0  # memory of what an endpoint is usually sent
MAX_WARMING_SHARE = 0.3  # over this share warming up, the traffic does not tell what a warm endpoint is sent


class SlowStart:
    """The pace and the ramp of endpoints that warm up."""

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
        self._warms_standbys = settings.standby_slow_start
        self._random = random
        self._jitter = jitter
        self._registry = registry
        self._send_rate = send_rate
        self._usual_rate = 0.0  # attempts a second to an endpoint of size 1
        self._usual_rate_at = 0.0
        self._usual_rate_held_until = -math.inf
        self._ramp_s = RAMP_S
        self._ramp_suspended_until = -math.inf

    def accepts_requests(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the drain and slow-start rules let an endpoint have a request now."""
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
        """Return whether the endpoint is paced."""
        return now < endpoint.warming_since() + self._duration

    def is_held_back(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the ramp passes a young endpoint over, by chance and less as it ages."""
        age = now - endpoint.started
        ramp_s = 0.0 if now < self._ramp_suspended_until else self._ramp_s
        return age < ramp_s > 0 and self._random.random() > max(RAMP_START, age / ramp_s)

    def suspend_ramp(self, now: float) -> None:
        """Let the ramp hold nobody back for a while: a request found no room elsewhere. The pace stays."""
        self._ramp_suspended_until = now + RAMP_SUSPENDED_S

    def begin(self, endpoint: Endpoint, now: float) -> None:
        """Enter the pace of an endpoint whose process is new.

        Each proxy learns of a start in the same moment and enters at a random place of its gap: hundreds of
        first requests alone would push the endpoint over. One proxy on average, and so a lone one always, may
        send at once.
        """
        endpoint.pacing_debt = max(0.0, self._jitter.random() - 1 / self._instance_count)
        endpoint.pacing_updated_at = now

    def record_send(self, endpoint: Endpoint, now: float) -> None:
        """Take note of an attempt, which the pace of an endpoint that warms up has to make up for.

        The gap is random, so that the proxies do not come together. It runs down with time and not by chance:
        otherwise the endpoint could be selected twice in a row.
        """
        is_idle_standby = endpoint.priority and self._warms_standbys
        if is_idle_standby and now - endpoint.last_used > self._duration:
            endpoint.warm_started_at = now
        endpoint.last_used = now
        self._record_usual_rate(now)
        if self.is_warming_up(endpoint, now):
            endpoint.pacing_debt = 0.5 + self._random.random()
            endpoint.pacing_updated_at = now

    def pools_rebuilt(self, now: float) -> None:
        """Follow a change to the endpoints.

        After a deploy or the return of a lost zone most endpoints are young. Held back by the ramp they would
        leave all load to the few old ones; then only the pace holds them back.
        """
        ready = self._registry.ready
        young = sum(endpoint.started > 0 and now - endpoint.started < RAMP_S for endpoint in ready)
        self._ramp_s = 0.0 if young > MAX_YOUNG_SHARE * len(ready) else RAMP_S
        warming = [endpoint.started for endpoint in ready if now - endpoint.started < self._duration]
        if len(warming) > MAX_WARMING_SHARE * len(ready):
            self._usual_rate_held_until = max(warming) + self._duration

    def pace(self, endpoint: Endpoint, age: float, now: float) -> float:
        """Return the requests a second that this proxy may send an endpoint that warms up.

        Args:
            endpoint: The endpoint.
            age: Seconds since it began to warm up.
            now: The time, in seconds.
        """
        rules = self._rules
        # The budget of a window of `overload_duration` is that of its beginning, when less of it was warm.
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
        """Return the factor by which an endpoint's own report corrects its pace; 1 where it has none.

        All proxies see the same report and aim at the same utilization. A report that comes late lets the
        pace run ahead by the factor's maximum, for which the overload factor has room.
        """
        if endpoint.utilization_at <= endpoint.warming_since() or not endpoint.utilization:
            return 1.0
        return min(MAX_UTILIZATION_CORRECTION, TARGET_UTILIZATION / endpoint.utilization)

    def _record_usual_rate(self, now: float) -> None:
        """Follow what an endpoint of size 1 is sent while few are warming up.

        Where most are, the attempts sent are the sum of their paces, and a pace taken from them would fall
        with what it lets through. Where load falls meanwhile, the pace follows late.
        """
        elapsed = now - self._usual_rate_at
        self._usual_rate_at = now
        if now < self._usual_rate_held_until or not self._registry.pool.kinds:
            return
        total_size = self._registry.pool.total_size(self._registry.speed_by_kind)
        memory_s = max(1e-3, min(USUAL_RATE_MEMORY_S, now - self._send_rate.started_at))
        step = min(1.0, elapsed / memory_s)
        rate = self._send_rate.per_second(now) / max(total_size, 1.0)
        self._usual_rate += step * (rate - self._usual_rate)
