"""What is refused: the least worth for its work first, and more the more attempts take too long."""

from __future__ import annotations

from loadbalancer.policy.actions import (
    LogMessage,
)
from loadbalancer.policy.concurrency_limit import LIMIT_LEAST, Limiting
from loadbalancer.policy.events import (
    AttemptResult,
    Outcome,
    Request,
)
from loadbalancer.policy.pending_requests import PendingRequest
from loadbalancer.policy.settings import (
    RequestClass,
)

LATE_FROM = 0.6  # an attempt that takes more of the aim than this speaks for too much work on the fleet
LATE_SHARE = 0.2  # share of those that is put up with while nothing is refused
SHED_S = 1.0  # seconds in which a proxy whose attempts all take too long comes to refuse a class
# The level of refusing fades, so that it stands for the late share of the last seconds: at 5 s, one for each
# fifth past LATE_SHARE. Summed up for good, it would drift apart among many proxies: each one's chance late
# attempts stay in it, and its own refusals are too small a part of the whole to bring it back.
SHED_FADE_S = 5.0
# Levels between refusing a class whole and beginning with the next: while some proxies stand above the common
# level and some below, the first would refuse what earns most while the others take what earns least.
SHED_GAP = 1.0
BORN_S = 0.1  # of a proxy's life, before which its rate says little
RETURN_FROM = 0.5  # of the longest time to return that may be said
SHED_MOST = 0.95  # a class is never refused whole: without its traffic nothing would tell of room


class Refusing(Limiting):
    """The level of refusing, and the tenants' shares."""

    def _sheds(self, event: Request, cls: RequestClass, late: bool) -> bool:
        """Refuse what earns least for its work first, and more the more attempts take too long.

        What can only be late earns nothing, so it goes before all classes."""
        over = bool(self.settings.tenants) and self._over_share(event.tenant)
        if self.in_flight >= LIMIT_LEAST and self._is_full(event.class_index, late or over):
            return True
        if self.shed_level > 0:
            values = self._values()
            mine = values[event.class_index] * (self.settings.over_quota_weight if over else 1.0)
            rank = -1 if late else sum(value < mine for value in values)
            if self.random.random() < min(SHED_MOST, self.shed_level - (1 + SHED_GAP) * (rank - over)):
                return True
        if self.settings.tenants:
            self.tenant_room[event.tenant] = max(0.0, self.tenant_room[event.tenant] - 1.0)
        return False

    def _return_after(self) -> float:
        """Seconds after which a refused client may come back, where settings allow it; 0 says nothing.

        Protects against clients that come back at once, each a further refusal and, where its time left is
        short, work that can only be late. Spread over half of what may be said, so that those told together
        do not come together. Said only while attempts take too long: what is refused for want of a server
        or of time now may find one at once. Harm: a client that returns later than there is room."""
        if not self.limits.retry_after or self.shed_level <= 0:
            return 0.0
        return self.limits.max_retry_after * self.spread.uniform(RETURN_FROM, 1.0)

    def _over_share(self, tenant: int) -> bool:
        """This proxy's part of the tenant's quota, as a bucket that holds a second of it.

        Only admitted requests are taken from it: the tries that clients repeat after a refusal must not
        push a tenant over its share."""
        rate = self.settings.tenants[tenant].quota_per_s / self.settings.instance_count
        room = self.tenant_room[tenant] + rate * (self.now - self.tenant_at[tenant])
        self.tenant_at[tenant] = self.now
        self.tenant_room[tenant] = min(room, rate + 1.0)
        return self.tenant_room[tenant] < 1.0

    def _note_load(self, pending: PendingRequest, event: Outcome) -> None:
        """What speaks for overload is that even the typical attempt takes long, not that some fail.

        Protects against refusing, and so calling up clients' retries, where only some servers are sick.
        Additive steps that fade: none where LATE_SHARE of the attempts take long."""
        if event.result in (
            AttemptResult.CANCELLED,
            AttemptResult.NOT_SENT,
            AttemptResult.NO_CONNECTION,
            AttemptResult.UNUSABLE,
        ):
            return
        took = (
            event.elapsed if event.time_to_first_byte is None else event.time_to_first_byte
        )  # the rest is up to the peers, not the load
        late = event.result == AttemptResult.FULL or took > LATE_FROM * pending.cls.latency_objective
        # Over its true life: the low figure of a first second would make each step too long, and a start at
        # which all connections are new would count as overload for seconds.
        rate = max(1.0, self._rate(BORN_S))
        step = (1 - LATE_SHARE if late else -LATE_SHARE) / (rate * SHED_S)
        step -= self.shed_level / (rate * SHED_FADE_S)
        top = len(self.settings.classes) * (1 + SHED_GAP)
        self.shed_level = min(top, max(0.0, self.shed_level + step))
        if self.shed_level > 0.5 and self.now > self.shed_logged + 10:
            self.shed_logged = self.now
            self.actions.append(LogMessage(f"shedding: attempts take too long, level {self.shed_level:.1f}"))
