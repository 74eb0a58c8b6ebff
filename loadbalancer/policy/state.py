"""What all decisions of a proxy share: its settings, what it knows, and the figures that fade with time."""

from __future__ import annotations

import math
import random

from loadbalancer.policy.actions import (
    Action,
)
from loadbalancer.policy.endpoints import Endpoint, EndpointPool
from loadbalancer.policy.pending_requests import RATE_S, FirstTryDetector, PendingRequest, StreamingQuantile
from loadbalancer.policy.settings import (
    DeduplicationScope,
    PolicySettings,
)

# Requests a second to each server, for each proxy of the fleet, below which no idle connection is kept. All
# proxies together would keep one each, and a server holds some twenty; a full table takes much of a core.
SPARSE = 0.1
DECAY_S = 30.0  # the design's: error share and utilization fade to zero over this
RAMP_S = 90.0  # the design's: traffic to a new server grows over this
RETRY_BURST = 10.0  # and what may be saved up
LIMIT_START = 64.0  # requests in flight that a young proxy may have


class State:
    """The state of one proxy's decisions; what is decided by it stands in the files beside this one."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self.settings, self.rules, self.limits = settings, settings.rules, settings.limits
        self.random = random.Random(seed)
        self.spread = random.Random(seed + 1)  # of times to return, which move no draw
        self.now = self.born = -math.inf
        self.actions: list[Action] = []
        self.servers: dict[str, Endpoint] = {}
        self.ready: list[Endpoint] = []
        self.pool = EndpointPool([])
        self.groups: dict[tuple[DeduplicationScope, int], EndpointPool] = {}
        self.domains: dict[str, list[Endpoint]] = {}  # those that share their sticky sessions
        self.speed: dict[int, float] = {}  # of a kind, relative to the others, as its utilization tells
        self.util_usual = self.errors_usual = self.errors_median = 0.0  # by reports, attempts, servers
        self.median_due = -math.inf  # when it is worked out anew
        self.usual_part = self.usual_at = 0.0  # sends a second to a server of size 1; when that was noted
        self.many_until = -math.inf  # so long many servers are cold
        self.ramp = RAMP_S
        self.requests: dict[int, PendingRequest] = {}
        self.retry_tokens = RETRY_BURST
        self.flow, self.flow_at = 0.0, 0.0  # fading count of sends
        self.shed_level = 0.0
        self.in_flight = 0  # attempts out at all servers
        self.limit = LIMIT_START
        self.late_share = 0.0  # of the latest attempts, that speak for fewer in flight
        self.shed_logged = -math.inf
        self.crowded_at = -math.inf  # when a request was last given up for want of room
        self.usual = [0.0] * len(settings.classes)  # time an answer takes, the median of late
        self.patience = [FirstTryDetector() for _ in settings.classes]
        self.silence = math.inf
        self.silences: list[StreamingQuantile] = []  # of the classes, once a share of answers is waited for
        self.tenant_room = [0.0] * len(settings.tenants)
        self.tenant_at = [0.0] * len(settings.tenants)
        self.failed_calls = self.busy_calls = 0  # for the list, since it last came; in line in vain
        self.asked_at = 0.0  # when it was last asked for
        self.cordoned: dict[str, float] = {}  # servers taken out by hand, and since when
        self.returned: dict[str, float] = {}  # put back, unanswered so far, and when each is due a request

    def _faded(self, value: float, at: float) -> float:
        return value * max(0.0, 1 - (self.now - at) / DECAY_S) if value else 0.0

    def _flow(self) -> float:
        return self.flow * math.exp((self.flow_at - self.now) / RATE_S)

    def _rate(self, least: float = 1.0) -> float:
        """Own sends a second of late; of a young proxy, over its life, or `least` seconds if that is more."""
        return self._flow() / (RATE_S * (1 - math.exp(-max(least, self.now - self.born) / RATE_S)))

    def _is_sparse(self) -> bool:
        """Exception: where each of many proxies sends a server little, their idle connections together
        fill its table, which costs it capacity and turns other proxies away.

        Harm: a handshake for each request, which is the dearer of the two where few proxies send much."""
        least = SPARSE * self.settings.instance_count * len(self.ready)
        return self.settings.instance_count > 1 and self._rate() < least

    def _began(self, server: Endpoint) -> float:
        """When it started, or was woken: the later counts for how much it can do."""
        return max(server.started or -math.inf, server.warm_started_at)  # 0: long ago
