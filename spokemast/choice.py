"""All decisions of spokemast: where a request goes, when it goes again, when it is refused.

The types (settings, events, actions) are in interface.py. The design is in docs/design.md: for
each request two servers are drawn at random from those that pass the filters, and the better by
own in-flight count, reported utilization and error share gets it. What goes beyond that is marked
"Exception" where it stands. The four rules are in the section "Rules"; nothing is sent or
refused except through `_send` and `_refuse`, which ask them.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from itertools import accumulate
from typing import Callable, Mapping, Sequence

from spokemast.interface import (
    NEVER_RAN, Action, Body, Cancel, CloseIdle, Cordon, Effect, Event, Fail, FirstByte, Log, Outcome,
    PeerMessage, ProbeResult, Refuse, Request, RequestClass, Result, Scope, Send, ServerEntry, ServerList,
    ServerState, SetTimer, Settings, TimerFired, Watch, Withdrawn,
)  # fmt: skip

# The draw and the score.
DRAW_TRIES = 3  # for each candidate; with more, all crowd the few that pass where most do not
UTIL_LIMIT = 0.95  # conservative: only servers with no room left are passed over
UTIL_OVER = 0.25  # and only where they stand out from the fleet by this
ERROR_LIMIT = 0.5  # more failures than answers lately
ERROR_OVER = 0.3  # and only where they stand out from the fleet by this
UTIL_WEIGHT = 0.8  # a fully busy server counts a little less than one own request more
ERROR_WEIGHT = 2.0  # a failing server must not win by being quick
ERROR_MOST = 0.4  # of the share counted by attempts, where most servers fail less
HOPELESS = 0.9  # this share of failures, and a server has served next to nothing lately
FAILED = 2  # failures in a row, slow answers are none, and a server is left out of the draw for a while
AGAIN_S = 1.0  # that while at first; each failure more doubles it
ERROR_LEAST = 0.01  # less is none: a trace of one slow answer would decide every tie for as long as it fades
ERROR_STEP = 0.3  # two failures in a row pass the limit, one does not
OTHER_CLASS = 0.5  # of a server's error share, for a class that has one of its own there
SLOW_FROM, SLOW_FULL = 2.5, 8.0  # an answer that took this multiple of the usual starts to count, counts full
SILENT = 6.0  # silence of this multiple of the usual keeps a server out of the draw
USUAL_STEP = 0.05  # the usual time of a class follows the median of its answers by such steps
MEDIAN_S = 0.1  # for so long the error share of the median server stands
SPEED_STEP = 0.02  # some dozens of reports move the speed of a kind
SPEED_MOST = 4.0  # machines of one fleet differ by less, either way
PACE_STEP = 0.1  # some dozen answers, a fraction of a second under load
PACE_S = 1.0  # after so long without an answer a server is tried whatever its pace was
CROWDED_S = 1.0  # want of room counts for so long
PLACE_TRIES = 3  # choices in a row that can't answer in time, after which a request is given up
# Requests a second to each server, for each proxy of the fleet, below which no idle connection is kept. All
# proxies together would keep one each, and a server holds some twenty; a full table takes much of a core.
SPARSE = 0.1
DECAY_S = 30.0  # the design's: error share and utilization fade to zero over this
RAMP_S = 90.0  # the design's: traffic to a new server grows over this
RAMP_FROM = 0.1  # so that a server just listed is tried at all
YOUNG_MOST = 0.1  # share of the fleet that the ramp may hold back; the rest could not carry more

# Cold servers.
# Of its part by size and age. A part is what a warm server is sent, some 0.7 of what it can do where aims are
# met, and refusing lowers it just when cold servers are needed. Times the most that a report may lift it that
# is 2.2, under the 2.5 of present capacity that is usual as the rules' multiple.
COLD_MARGIN = 1.4
COLD_UTIL, COLD_MOST = 0.9, 1.6  # utilization that a cold server's pace aims at, and how far that may lift it
RATE_S = 5.0  # memory of the own sending rate

# Going again.
RETRY_RATIO = 0.1  # second attempts for each first one, in the long run
RETRY_BURST = 10.0  # and what may be saved up
SECOND_LOOK = 0.5  # share of the useful time after which silence earns a second attempt

# Refusing.
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
PATIENCE_NEAR = 0.03  # times left that differ by less than this share are of the same kind of try
PATIENCE_KINDS = 8  # first tries, second ones after a refusal, after a time-out, the last
PATIENCE_KEEP = 0.995  # some two hundred requests tell which kind is the most common
LATER_AGAIN = 0.5  # of those who tried in vain before, so many try once more
PATIENCE_LEAST = 20.0  # requests before anything is said
SHED_MOST = 0.95  # a class is never refused whole: without its traffic nothing would tell of room

# Following the list.
ASK_SPREAD_S = 0.5  # a first call comes at a random moment within this
ASK_AGAIN_S = (0.5, 8.0)  # wait after a failed call, doubling from the first to the last
ASK_AGAIN_EACH_S = (
    0.25  # the last is this for each proxy at most: a few may ask often, many would ask in vain
)
RETURN_S = 1.0  # a server that was taken out and put back gets a request this often until it answers
LIST_TOKEN = 0  # timers: 0 asks for the list, a request's id + 1 looks at that request


class Server:
    """What this proxy knows of one server."""

    __slots__ = ("id", "zone", "cell", "weight", "size", "kind", "state", "started", "out", "giving",
                 "util", "util_at", "errors", "errors_at", "by_class", "answered", "cold_next", "rank",
                 "used", "woken", "failed", "barred", "pace", "pace_at")  # fmt: skip

    def __init__(self, entry: ServerEntry, barred: bool = False) -> None:
        self.id = entry.server
        self.barred = barred  # taken out by an operator
        self.out: dict[tuple[int, int], float] = {}  # attempts in flight, oldest first: time sent
        self.giving: set[tuple[int, int]] = set()  # attempts whose answers have begun
        self.size = 1.0  # weight relative to the mean
        self.started = self.used = self.woken = -math.inf  # woken: when a set that had not served began to
        self.listed(entry)

    def listed(self, entry: ServerEntry) -> None:
        if entry.started != self.started:  # another process: what is known is of the old one
            self.util = self.util_at = self.errors = self.errors_at = 0.0
            self.by_class: dict[int, tuple[float, float]] = {}  # its error share of each class, and when
            self.answered = False
            self.failed = 0  # attempts in a row that were not served
            self.pace, self.pace_at = 0.0, -math.inf  # time an answer takes for each of our own ahead of it
            self.cold_next = -math.inf
        self.zone, self.cell, self.started, self.state = entry.zone, entry.cell, entry.started, entry.state
        self.kind, self.rank = entry.kind, entry.rank
        self.weight = entry.weight if 0 < entry.weight < math.inf else 1.0

    def note_row(self, result: Result, slowness: float) -> None:
        """Counts failures in a row; one that turns away is up."""
        if result == Result.SERVED:
            self.failed = 0
        elif result == Result.NO_CONNECTION:  # nothing there: the next request need not find it out again
            self.failed = max(self.failed + 1, FAILED)
        elif result != Result.FULL:
            self.failed += slowness >= 1.0 or result != Result.TIMEOUT


class Pool:
    """Servers to draw from, by kind, each with the chance that its listed size and its kind's speed give.

    Exception to the even draw: where a proxy has next to nothing in flight at a server, only the draw
    decides, and an even one loads a slow server like a fast one. With one kind and size it is even."""

    __slots__ = ("servers", "kinds", "sets")

    def __init__(self, servers: list[Server]) -> None:
        self.servers = servers
        ranks = sorted({s.rank for s in servers})
        # Where there are several sets, a pool of each, the one that serves first in front.
        self.sets: list[Pool] = []
        if len(ranks) > 1:
            self.sets = [Pool([s for s in servers if s.rank == rank]) for rank in ranks]
        by_kind: dict[int, list[Server]] = {}
        for server in servers:
            by_kind.setdefault(server.kind, []).append(server)
        self.kinds = [(kind, those, list(accumulate(s.size for s in those)))
                      for kind, those in by_kind.items()]  # fmt: skip

    def draw(self, chance: float, speed: dict[int, float]) -> Server:
        left = chance * sum(sums[-1] * speed[kind] for kind, _, sums in self.kinds)
        for kind, those, sums in self.kinds:  # noqa: B007
            part = sums[-1] * speed[kind]
            if left < part:
                break
            left -= part
        return those[min(bisect(sums, max(0.0, left) / speed[kind]), len(those) - 1)]


class Attempt:
    __slots__ = ("server", "sent", "queue", "open", "may_have_run")

    def __init__(self, server: Server, sent: float, queue: int) -> None:
        self.server, self.sent, self.open, self.may_have_run = server, sent, True, True
        self.queue = queue  # own attempts at the server when it was sent, itself among them


class Patience:
    """The times left that requests of a class come with, in kinds; the most common are first tries.

    Every later try follows an earlier one, so none of its kinds is as common. The longest will not do: where
    clients end their tries early, the last one may come with more time left than the first."""

    __slots__ = ("kinds", "unanswered", "at")

    def __init__(self) -> None:
        self.kinds: list[list[float]] = []  # time left, and how often of late
        self.unanswered = self.at = 0.0  # fading count of tries left unserved, which clients may repeat

    def left_unserved(self, late: bool) -> None:
        self.unanswered += LATER_AGAIN if late else 1.0

    def is_usual(self, left: float, now: float) -> bool:
        """Take note of a request; whether it looks like a first try, or nothing can be said yet."""
        self.unanswered *= math.exp((self.at - now) / RATE_S)
        self.at = now
        mine = None
        for kind in self.kinds:
            kind[1] *= PATIENCE_KEEP
            if mine is None and abs(kind[0] - left) <= PATIENCE_NEAR * kind[0]:
                mine = kind
        if mine is None:
            mine = [left, 0.0]
            if len(self.kinds) >= PATIENCE_KINDS:
                self.kinds.remove(min(self.kinds, key=lambda kind: kind[1]))
            self.kinds.append(mine)
        mine[0] += (left - mine[0]) / 16
        mine[1] += 1.0
        most = max(self.kinds, key=lambda kind: kind[1])
        return mine is most or most[1] < PATIENCE_LEAST


class Pending:
    """A request that is owed its final answer."""

    __slots__ = ("id", "cls", "number", "deadline", "useful", "began", "aim", "late", "attempts",
                 "streaming", "member", "coming", "held")  # fmt: skip

    def __init__(self, event: Request, cls: RequestClass, now: float, waited: float, usual: float,
                 slack: float, loaded: bool) -> None:  # fmt: skip
        self.id, self.cls, self.number, self.began = event.request, cls, event.cls, now
        self.deadline = now + max(0.0, event.left)
        aim = cls.aim + cls.aim_stretch * (event.hint or 0.0)
        self.aim = min(now + aim, self.deadline)
        # Its aim passes, or has passed, before an answer comes, and then it earns nothing.
        self.late = waited > 0 and waited + usual > aim and cls.late_share == 0
        # An answer that earns nothing past its aim is not waited for; ended before it, it is no late failure.
        # Nor is one that earns little while work waits: queues of late answers would make all others late.
        late_pays = cls.late_share > 0 and not loaded
        self.useful = self.deadline if late_pays else max(now, self.aim - slack)
        self.attempts: list[Attempt] = []
        self.streaming = False
        self.member = event.member
        self.coming, self.held = event.coming, True  # its body still comes; could be sent again

    def whole(self, now: float) -> None:
        """The last byte of its body has come: its times count from here."""
        wait = now - self.began
        self.coming, self.began = False, now
        self.deadline += wait
        self.aim += wait
        self.useful += wait


class Balancer:
    """The decisions of one proxy. `handle` takes what happened and returns what to do, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rules, self.limits = settings, settings.rules, settings.limits
        self.random = random.Random(seed)
        self.now = self.born = -math.inf
        self.actions: list[Action] = []
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []
        self.pool = Pool([])
        self.groups: dict[tuple[Scope, int], Pool] = {}
        self.speed: dict[int, float] = {}  # of a kind, relative to the others, as its utilization tells
        self.util_usual = self.errors_usual = self.errors_median = 0.0  # by reports, attempts, servers
        self.median_due = -math.inf  # when it is worked out anew
        self.total_size = 0.0
        self.ramp = RAMP_S
        self.requests: dict[int, Pending] = {}
        self.retry_tokens = RETRY_BURST
        self.flow, self.flow_at = 0.0, 0.0  # fading count of sends
        self.shed_level = 0.0
        self.shed_logged = -math.inf
        self.crowded_at = -math.inf  # when a request was last given up for want of room
        self.usual = [0.0] * len(settings.classes)  # time an answer takes, the median of late
        self.patience = [Patience() for _ in settings.classes]
        self.silence = math.inf
        self.tenant_room = [0.0] * len(settings.tenants)
        self.tenant_at = [0.0] * len(settings.tenants)
        self.failed_calls = 0
        self.cordoned: dict[str, float] = {}  # servers taken out by hand, and since when
        self.returned: dict[str, float] = {}  # put back, unanswered so far, and when each is due a request
        self.react: dict[type, Callable[..., None]] = {
            Cordon: self._on_cordon, Body: self._on_body,
            Outcome: self._on_outcome, Request: self._on_request, TimerFired: self._on_timer,
            Withdrawn: self._on_withdrawn, ServerList: self._on_list, FirstByte: self._on_first_byte,
            ProbeResult: self._on_probe, PeerMessage: lambda event: None,
        }  # fmt: skip

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        if self.born < 0:
            self.born = self.flow_at = now
        self.now = now
        self.actions = []
        for event in events:
            self.react[type(event)](event)
        return self.actions

    # Requests.

    def _on_request(self, event: Request) -> None:
        cls = self.settings.classes[event.cls]
        waited, loaded = self._waited(event, cls), self.shed_level > 0
        usual = self.usual[event.cls]
        pending = Pending(event, cls, self.now, waited, usual, self.rules.answer_slack, loaded)
        self.requests[event.request] = pending
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_RATIO)
        if self._sheds(event, cls, pending.late) or not self._try(pending):
            self._give_up(pending)
        elif not pending.coming:
            self._look_again(pending)

    def _look_again(self, pending: Pending) -> None:
        if pending.cls.effect != Effect.UNSAFE and self.limits.max_attempts > 1:
            self.actions.append(SetTimer(pending.id + 1, SECOND_LOOK * (pending.useful - self.now)))

    def _on_body(self, event: Body) -> None:
        """Until its last byte a request costs its server nothing but a connection, and can't have run: it
        counts as none in flight, and its silence is none. From then on it is like any other just sent."""
        pending = self.requests.get(event.request)
        if pending is None:
            return
        pending.held = event.held
        if not event.whole or not pending.coming:
            return
        pending.whole(self.now)
        for number, attempt in enumerate(pending.attempts):
            if attempt.open:
                out = attempt.server.out
                attempt.server.giving.discard((pending.id, number))
                out[(pending.id, number)] = attempt.sent = self.now
                attempt.queue = len(out)
        self._look_again(pending)

    def _waited(self, event: Request, cls: RequestClass) -> float:
        """How long the client has waited through earlier tries, as far as its time left tells.

        Protects against work for answers that come too late to be of worth: a client that was refused asks
        again after its aim, and where many do, serving those makes the others late as well. It should also
        catch clients that queue before they ask. Harm: a client with less patience than the others of its
        class looks as if it had waited; while there is too much work, it is refused first. Therefore no more
        are taken for later tries than have lately been left unserved."""
        left = min(max(0.0, event.left), cls.give_up)
        patience = self.patience[event.cls]
        if patience.is_usual(left, self.now) or patience.unanswered < 1:
            return 0.0
        patience.unanswered -= 1
        return cls.give_up - left

    def _on_timer(self, event: TimerFired) -> None:
        if event.token == LIST_TOKEN:
            self.actions.append(Watch(True))
            return
        pending = self.requests.get(event.token - 1)
        if pending is None or pending.streaming or len(pending.attempts) != 1 or not pending.held:
            return
        # A second copy is for a lone silent server; where the typical attempt is slow it adds to the cause.
        if self.retry_tokens < 1 or self.shed_level > 0:
            return
        if self.limits.second_copies:
            self._retry(pending)
        elif self.limits.cancelling and self._repeat_pool(pending, freed=True):
            self.actions.append(Cancel(pending.id, 0))  # its outcome starts the second attempt

    def _on_withdrawn(self, event: Withdrawn) -> None:
        pending = self.requests.get(event.request)
        if pending is not None:
            self._end(pending)

    def _on_first_byte(self, event: FirstByte) -> None:
        server = self.servers[event.server]
        server.answered = True
        # Exception: once its answer has begun the work is done, and how long the client takes over the rest
        # says nothing of the server; counted on, slow readers would decide where requests go.
        server.giving.add((event.request, event.attempt))
        server.out.pop((event.request, event.attempt), None)
        pending = self.requests.get(event.request)
        if pending is not None:
            pending.streaming = True
            self._cancel_open(pending, but=event.attempt)

    def _on_outcome(self, event: Outcome) -> None:
        server = self.servers[event.server]
        key = (event.request, event.attempt)
        if server.out.pop(key, None) is None and key not in server.giving:
            raise LookupError(f"outcome of attempt {event.attempt} of request {event.request}, never sent")
        server.giving.discard(key)
        if not server.out and self._is_sparse():
            self.actions.append(CloseIdle(server.id))
        pending = self.requests.get(event.request)
        number = pending.number if pending else None
        self._learn(server, event.result, event.report, self._slowness(pending, event), number)
        if pending is None:
            return
        attempt = pending.attempts[event.attempt]
        if not pending.coming:
            self._note_load(pending, event)
            self._note_pace(attempt, event)
        attempt.open = False
        attempt.may_have_run = event.result not in NEVER_RAN
        if event.ended:
            self._end(pending)
        elif event.result == Result.UNUSABLE:
            # Guards against bad clients: what one server can't use no other can, so sending it on would cost
            # attempts, and a refusal would ask for it again. Harm: one wrong verdict fails a good request.
            self._fail(pending)
        elif not any(a.open for a in pending.attempts):
            # What reached nobody costs no server anything: its repeat adds no load, so no budget limits it.
            free = event.result == Result.NO_CONNECTION
            if not self._retry(pending, free):
                self._give_up(pending)

    def _retry(self, pending: Pending, free: bool = False) -> bool:
        """One more attempt, where the class, the limits, the time and the budget allow it."""
        if pending.useful - self.now <= 0 and not pending.coming:
            return False
        if not free and self.retry_tokens < 1 or not self._try(pending):
            return False
        self.retry_tokens -= not free
        return True

    def _try(self, pending: Pending) -> bool:
        pool = self._repeat_pool(pending)
        if pool is None:
            return False
        server = self._sticky(pending) or (self._place(pool, pending) if pool.servers else None)
        if server is None:
            return False
        self._send(pending, server)
        return True

    def _give_up(self, pending: Pending) -> None:
        """The final answer where there is none to be had: a refusal if it is known to be harmless."""
        self.patience[pending.number].left_unserved(pending.late)
        if self._may_refuse(pending):
            self.actions.append(Refuse(pending.id))
            self._end(pending)
        else:
            self._fail(pending)

    def _fail(self, pending: Pending) -> None:
        self.actions.append(Fail(pending.id))
        self._end(pending)

    def _end(self, pending: Pending) -> None:
        del self.requests[pending.id]
        self._cancel_open(pending)

    def _cancel_open(self, pending: Pending, but: int = -1) -> None:
        if self.limits.cancelling:
            for number, attempt in enumerate(pending.attempts):
                if attempt.open and number != but:
                    self.actions.append(Cancel(pending.id, number))

    # Rules. Each is kept by this proxy alone.

    def _repeat_pool(self, pending: Pending, freed: bool = False) -> Pool | None:
        """No effect twice: the servers to which the request may go (again); None if to none.

        `freed`: as it will be when the attempts in flight have ended."""
        if pending.streaming or len(pending.attempts) >= self.limits.max_attempts:
            return None
        if not (self.limits.second_copies and not pending.coming or freed) and any(
            a.open for a in pending.attempts
        ):
            return None
        if pending.attempts and not pending.held:  # what is not whole any more is never sent in part
            return None
        first = next((a for a in pending.attempts if a.may_have_run), None)
        cls = pending.cls
        if first is None or cls.effect == Effect.SAFE:
            return self.pool
        if cls.effect == Effect.UNSAFE or self.now >= first.sent + cls.dedup_window:
            return None
        if cls.dedup_scope == Scope.ALL:
            return self.pool
        place = first.server.zone if cls.dedup_scope == Scope.ZONE else first.server.cell
        return self.groups.get((cls.dedup_scope, place))

    def _may_refuse(self, pending: Pending) -> bool:
        """No effect twice: a refusal says that trying again is harmless."""
        cls = pending.cls
        if cls.effect == Effect.SAFE or cls.effect == Effect.KEYED and cls.dedup_scope == Scope.ALL:
            return True
        return not any(a.may_have_run for a in pending.attempts)

    def _may_take(self, server: Server) -> bool:
        """Drains kept, and no cold server pushed over."""
        return (
            server.state == ServerState.READY
            and not server.barred
            and (self.now >= server.cold_next or self.now >= self._began(server) + self.rules.cold_time)
        )

    def _began(self, server: Server) -> float:
        """When it started, or was woken: the later counts for how much it can do."""
        return max(server.started, server.woken)

    def _pace_cold(self, server: Server) -> None:
        """A cold server gets from each proxy less than its share of what the settings say it can do.

        All proxies pace alike, so together they stay under it, without talking; random gaps keep them
        from coming together. Work goes by time, not by chance: a draw may find it twice in a row."""
        rules = self.rules
        age = max(0.0, self.now - self._began(server))
        if age < rules.cold_time:
            share = rules.cold_from + (1 - rules.cold_from) * age / rules.cold_time
            usual = max(self._rate(), 1 / RATE_S) * server.size / max(self.total_size, server.size)
            pace = usual * share * COLD_MARGIN * self._cold_room(server)
            server.cold_next = self.now + (0.5 + self.random.random()) / pace

    def _cold_room(self, server: Server) -> float:
        """What a cold server reports of itself since it began corrects what the settings say at the least.

        All proxies see the same report, and aim at the same utilization. Harm: a report that is late lets the
        pace run ahead by what it may lift it, which the settings' multiple has room for."""
        if server.util_at <= self._began(server) or not server.util:
            return 1.0
        return min(COLD_MOST, COLD_UTIL / server.util)

    def _send(self, pending: Pending, server: Server) -> None:
        """The one place that sends; an attempt never outlives the use of its answer."""
        key = (pending.id, len(pending.attempts))
        if pending.coming:
            server.giving.add(key)
        else:
            server.out[key] = self.now
        pending.attempts.append(Attempt(server, self.now, len(server.out)))
        self.flow = self._flow() + 1
        self.flow_at = self.now
        if server.rank and self.settings.cold_standby and self.now - server.used > self.rules.cold_time:
            server.woken = self.now
        server.used = self.now
        self._pace_cold(server)
        since = pending.began if pending.coming else self.now
        self.actions.append(Send(pending.id, server.id, max(0.001, pending.useful - since)))

    # The draw.

    def _sticky(self, pending: Pending) -> Server | None:
        """Exception: the first attempt of a sticky session goes where that is kept, while it is usable.

        What a client says of its session is a wish: a server that is unknown, gone, failing or silent is
        passed over, one that drains too unless the settings let it keep its sessions. Harm: sessions crowd
        a server that the draw would spare."""
        server = self.servers.get(pending.member) if pending.member is not None else None
        if server is None or pending.attempts or server.barred:
            return None
        if server.state == ServerState.DRAINING:
            return server if self.settings.sticky_drains and self._responds(server) else None
        return server if self._usable(server) else None

    def _place(self, pool: Pool, pending: Pending) -> Server | None:
        """A choice that can answer while that is of use; None where some choices in a row can't."""
        for _ in range(PLACE_TRIES):
            server = self._choose(pool, pending)
            if server is None or self._in_time(server, pending):
                return server
        if not any(s.out for s in pool.servers):
            return server  # without a queue of ours there is nothing that refusing would shorten
        self.crowded_at = self.now
        return None

    def _in_time(self, server: Server, pending: Pending) -> bool:
        """Exception: whether what the proxy itself has in flight there leaves time for one more answer.

        Protects against queues in which everything comes late: the share of late attempts tells of a queue
        once it has done its harm, and of its end long after; the attempts in flight tell at once. Classes
        with less time give way first, and room is used as soon as it is there. It should also catch members
        that lose a part of their speed. Harm: where the others' share of a queue grows, it is seen only by
        the answers. A server that has not answered for a while is tried again: else nothing would tell."""
        if self.now > server.pace_at + PACE_S or pending.coming:
            return True
        return server.pace * (len(server.out) + 1) <= pending.useful - self.now

    def _choose(self, pool: Pool, pending: Pending) -> Server | None:
        """A server of the first set that has a usable one; where none has, whichever the rules permit."""
        if self.returned and not pending.attempts and (back := self._returning()) is not None:
            return back
        tried, number = [a.server for a in pending.attempts], pending.number
        for those in pool.sets:
            if any(self._usable(s) and s not in tried for s in those.servers):
                return self._two(those, tried, number) or self._of_few(those, tried, number)
        return self._two(pool, tried, number) or self._unfiltered(pool, tried, number)

    def _returning(self) -> Server | None:
        """Exception: a server that operators have put back gets a first attempt of its own once a second
        until it answers; the ramp and the pace of a cold start together could leave it without any for long.

        Harm: where it does not run, that request finds out, and goes again."""
        for name, due in self.returned.items():
            server = self.servers.get(name)
            if server is not None and self.now >= due and self._may_take(server):
                self.returned[name] = self.now + RETURN_S
                return server
        return None

    def _usable(self, server: Server) -> bool:
        """Whether a set has to be passed over for want of this one; load does not count."""
        return self._may_take(server) and self._responds(server)

    def _responds(self, server: Server) -> bool:
        """Neither silent nor down: after some failures in a row it gets one request at a time, each later.

        Protects against a zone that is lost, half of the fleet: no share tells its servers from the usual
        then, and where a proxy has few answers from each, a failure fades before the next. It should also
        catch a server that answers errors at once. Harm: one back under the same start is tried late."""
        if server.out and self.now - next(iter(server.out.values())) > self.silence:
            return False
        if server.failed < FAILED:
            return True
        wait = AGAIN_S
        if self.settings.n_instances > 1:
            # Not before the draw would come by anyway: where many send little each a second excludes nothing.
            wait = max(wait, min(len(self.ready) / max(self._rate(), 1 / RATE_S), DECAY_S / 4))
        wait = min(DECAY_S, wait * 2.0 ** min(server.failed - FAILED, 8))
        return not server.out and self.now >= server.errors_at + wait

    def _of_few(self, pool: Pool, tried: list[Server], number: int) -> Server:
        """Where draws find none in a set that has some: two of the usable ones, whatever their load."""
        usable = [s for s in pool.servers if self._usable(s) and s not in tried]
        return min(self.random.sample(usable, min(2, len(usable))), key=lambda s: self._score(s, number))

    def _two(self, pool: Pool, tried: list[Server], number: int) -> Server | None:
        first = self._candidate(pool, tried, number)
        if first is None:
            return None
        second = self._candidate(pool, tried, number)
        if second is None or second is first or self._score(first, number) <= self._score(second, number):
            return first
        return second

    def _candidate(self, pool: Pool, tried: list[Server], number: int) -> Server | None:
        """A random server that passes the filters, within a few tries."""
        for _ in range(DRAW_TRIES):
            server = pool.draw(self.random.random(), self.speed)
            if self._may_take(server) and server not in tried and self._healthy(server, number):
                return server
        return None

    def _unfiltered(self, pool: Pool, tried: list[Server], number: int) -> Server | None:
        """The fallback: load does not matter, the rules do, and one that serves next to nothing comes last.

        Protects against fast-failing servers while the others are too busy to pass the filters: with next to
        nothing in flight they would score best, and take most of the load just then."""
        first: Server | None = None
        failing: Server | None = None
        for _ in range(2 * DRAW_TRIES):
            server = pool.draw(self.random.random(), self.speed)
            if not self._may_take(server) or server in tried or server is first:
                continue
            if self._failing(server, number) > HOPELESS or not self._responds(server):
                failing = server
            elif first is not None:
                return min(first, server, key=lambda s: self._score(s, number))
            else:
                first = server
        return first or failing

    def _healthy(self, server: Server, number: int = -1) -> bool:
        if not server.answered and server.out:  # probation: one request until the first answer
            return False
        age = self.now - server.started
        # Exception: while requests are given up for want of room, the ramp, too, ends when a server is warm.
        crowded = self.now < self.crowded_at + CROWDED_S
        ramp = min(self.ramp, max(self.rules.cold_time, 1e-3)) if crowded else self.ramp
        if server.started and age < ramp and self.random.random() > max(RAMP_FROM, age / ramp):
            return False
        # Protects against hung servers, too: they answer nothing, so no figure of theirs gets worse.
        if not self._responds(server):
            return False
        # Where all are busy the cause is shared, and passing most over would crowd the few that are left.
        util_limit = max(UTIL_LIMIT, self.util_usual + UTIL_OVER)
        return (self._faded(server.util, server.util_at) <= util_limit
                and self._failing(server, number) <= self._error_limit())  # fmt: skip

    def _error_limit(self) -> float:
        """Protects against a filter that a failing server turns off: the usual share counted by attempts
        follows whoever fails fastest, and gets most of them for it; that of the median server does not. Nor
        does the first where most servers are down and the few others serve."""
        if self.now >= self.median_due:
            self.median_due = self.now + MEDIAN_S
            shares = sorted(self._faded(s.errors, s.errors_at) for s in self.ready)
            self.errors_median = shares[len(shares) // 2] if shares else 0.0
        return max(ERROR_LIMIT, min(self.errors_usual, max(self.errors_median, ERROR_MOST)) + ERROR_OVER)

    def _failing(self, server: Server, number: int) -> float:
        """The error share that counts for a class: its own there, or what the others leave of the server's.

        Protects against servers that serve one class badly and the others well: counted together, the good
        answers hide the bad ones, whose attempts then fill the server until it turns all classes away.
        Harm: where a server fails altogether, each class finds out by attempts of its own."""
        overall = self._faded(server.errors, server.errors_at)
        if number not in server.by_class:
            return overall
        return max(OTHER_CLASS * overall, self._faded(*server.by_class[number]))

    def _score(self, server: Server, number: int = -1) -> float:
        """Less is better: own in-flight for its size, then reported utilization, then error share."""
        return (len(server.out) / (server.size * self.speed[server.kind])
                + UTIL_WEIGHT * self._faded(server.util, server.util_at)
                + ERROR_WEIGHT * self._failing(server, number))  # fmt: skip

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
        least = SPARSE * self.settings.n_instances * len(self.ready)
        return self.settings.n_instances > 1 and self._rate() < least

    # What is learnt.

    def _learn(self, server: Server, result: Result, report: Mapping[str, float] | None,
               slowness: float = 0.0, number: int | None = None) -> None:  # fmt: skip
        """A cancelled or unsent attempt says nothing of its server; all other ends do."""
        if report:
            util = report.get("utilization")
            if isinstance(util, (int, float)) and 0 <= util < math.inf:  # nan, too, fails this
                server.util, server.util_at = min(1.0, util), self.now
                self._note_speed(server)
        if result in (Result.CANCELLED, Result.NOT_SENT):
            return
        if result in (Result.SERVED, Result.ERROR, Result.FULL, Result.UNUSABLE):
            server.answered = True
        if (
            result == Result.UNUSABLE
        ):  # it speaks of the client; counted, bad clients would blacken all servers
            return
        share = self._faded(server.errors, server.errors_at)
        server.note_row(result, slowness)
        if result == Result.SERVED and self.returned:
            self.returned.pop(server.id, None)
        failure = slowness if result in (Result.SERVED, Result.TIMEOUT) else 1.0
        self.errors_usual += SPEED_STEP * (failure - self.errors_usual)
        share += ERROR_STEP * (failure - share)
        server.errors = share if share > ERROR_LEAST else 0.0
        server.errors_at = self.now
        if number is not None:
            own = self._faded(*server.by_class.get(number, (0.0, 0.0)))
            own += ERROR_STEP * (failure - own)
            server.by_class[number] = own if own > ERROR_LEAST else 0.0, self.now

    def _note_pace(self, attempt: Attempt, event: Outcome) -> None:
        """How long answers of a server take, for each attempt of ours that was there; an attempt that ran
        out of time took that at the least."""
        if event.result not in (Result.SERVED, Result.TIMEOUT):
            return
        server = attempt.server
        pace = (event.took if event.first is None else event.first) / attempt.queue
        server.pace += PACE_STEP * (pace - server.pace) if server.pace else pace
        server.pace_at = self.now

    def _note_speed(self, server: Server) -> None:
        """Kinds that report more than the usual utilization are drawn less, until all report alike."""
        self.util_usual += SPEED_STEP * (server.util - self.util_usual)
        speed = self.speed[server.kind] * math.exp(SPEED_STEP * (self.util_usual - server.util))
        self.speed[server.kind] = min(SPEED_MOST, max(1 / SPEED_MOST, speed))

    def _on_probe(self, event: ProbeResult) -> None:
        self._learn(self.servers[event.server], event.result, event.report)

    def _slowness(self, pending: Pending | None, event: Outcome) -> float:
        """From 0, as usual, to 1, failure-like.

        Protects against slow servers: near full load all report high utilization, and only their
        answers tell them apart. The usual is that of the whole fleet, so a shared cause blackens none."""
        if pending is None or pending.coming:
            return float(event.result == Result.TIMEOUT)
        number, took = pending.number, event.took if event.first is None else event.first
        usual = self.usual[number] or took
        if event.result == Result.TIMEOUT:
            # An answer that has not come by now takes about as long again, as tails go. Protects against
            # servers that an attempt blackens which had less time than answers take: a class whose aim is
            # near its usual time, a repeat after a failure elsewhere.
            return self._slow(2 * took, usual) if self.usual[number] else 1.0
        if event.result != Result.SERVED:
            return 0.0
        self.usual[number] = usual * (1 + USUAL_STEP if took > usual else 1 - USUAL_STEP)
        self.silence = SILENT * max(self.usual)
        return self._slow(took, usual)

    @staticmethod
    def _slow(took: float, usual: float) -> float:
        return min(1.0, max(0.0, (took / usual - SLOW_FROM) / (SLOW_FULL - SLOW_FROM))) if usual else 0.0

    # Refusing.

    def _sheds(self, event: Request, cls: RequestClass, late: bool) -> bool:
        """Refuse what earns least for its work first, and more the more attempts take too long.

        What can only be late earns nothing, so it goes before all classes."""
        over = bool(self.settings.tenants) and self._over_share(event.tenant)
        if self.shed_level > 0:
            values = self._values()
            mine = values[event.cls] * (self.settings.over_share_worth if over else 1.0)
            rank = -1 if late else sum(value < mine for value in values)
            if self.random.random() < min(SHED_MOST, self.shed_level - (1 + SHED_GAP) * (rank - over)):
                return True
        if self.settings.tenants:
            self.tenant_room[event.tenant] = max(0.0, self.tenant_room[event.tenant] - 1.0)
        return False

    def _values(self) -> list[float]:
        """Worth of a class for the work it takes; where worth goes by work, it is that already."""
        if self.settings.worth_by_work:
            return [c.worth for c in self.settings.classes]
        pairs = zip(self.settings.classes, self.usual, strict=True)
        return [c.worth / (work or 1.0) for c, work in pairs]

    def _over_share(self, tenant: int) -> bool:
        """This proxy's part of the tenant's quota, as a bucket that holds a second of it.

        Only admitted requests are taken from it: the tries that clients repeat after a refusal must not
        push a tenant over its share."""
        rate = self.settings.tenants[tenant].quota_per_s / self.settings.n_instances
        room = self.tenant_room[tenant] + rate * (self.now - self.tenant_at[tenant])
        self.tenant_at[tenant] = self.now
        self.tenant_room[tenant] = min(room, rate + 1.0)
        return self.tenant_room[tenant] < 1.0

    def _note_load(self, pending: Pending, event: Outcome) -> None:
        """What speaks for overload is that even the typical attempt takes long, not that some fail.

        Protects against refusing, and so calling up clients' retries, where only some servers are sick.
        Additive steps that fade: none where LATE_SHARE of the attempts take long."""
        if event.result in (Result.CANCELLED, Result.NOT_SENT, Result.NO_CONNECTION, Result.UNUSABLE):
            return
        took = event.took if event.first is None else event.first  # the rest is up to the peers, not the load
        late = event.result == Result.FULL or took > LATE_FROM * pending.cls.aim
        # Over its true life: the low figure of a first second would make each step too long, and a start at
        # which all connections are new would count as overload for seconds.
        rate = max(1.0, self._rate(BORN_S))
        step = (1 - LATE_SHARE if late else -LATE_SHARE) / (rate * SHED_S)
        step -= self.shed_level / (rate * SHED_FADE_S)
        top = len(self.settings.classes) * (1 + SHED_GAP)
        self.shed_level = min(top, max(0.0, self.shed_level + step))
        if self.shed_level > 0.5 and self.now > self.shed_logged + 10:
            self.shed_logged = self.now
            self.actions.append(Log(f"shedding: attempts take too long, level {self.shed_level:.1f}"))

    # Following the list.

    def _on_list(self, event: ServerList) -> None:
        if event.failed:  # back off, each proxy at its own moment
            first, last = ASK_AGAIN_S
            last = min(last, max(first, ASK_AGAIN_EACH_S * self.settings.n_instances))
            wait = min(last, first * 2.0 ** min(self.failed_calls, 8))
            self.failed_calls += 1
            self.actions.append(SetTimer(LIST_TOKEN, wait * (0.5 + self.random.random())))
            return
        if event.whole:
            named = {entry.server for entry in event.entries}
            for server in self.servers.values():
                if server.id not in named:
                    server.state = ServerState.GONE
        for entry in event.entries:
            self._list_entry(entry)
        self._lay_out()
        if event.stale and self.settings.list_on_request:
            self.actions.append(SetTimer(LIST_TOKEN, ASK_SPREAD_S * self.random.random()))
        elif not event.stale:
            self.failed_calls = 0

    def _list_entry(self, entry: ServerEntry) -> None:
        server = self.servers.get(entry.server)
        if server is None:
            server = self.servers[entry.server] = Server(entry, entry.server in self.cordoned)
        else:
            server.listed(entry)

    def _on_cordon(self, event: Cordon) -> None:
        """Drains kept: what operators take out gets nothing until they put it back, whatever lists say.

        One that is put back counts as cold: it may have been restarted meanwhile, and the list be late to
        say so. Where the list has said so already, that start counts."""
        name = event.server
        server = self.servers.get(name)
        if event.out:
            self.cordoned.setdefault(name, self.now)
            self.returned.pop(name, None)
            self.actions.append(CloseIdle(name))
        elif name in self.cordoned:
            since = self.cordoned.pop(name)
            if server is not None:
                self.returned[name] = self.now
                server.cold_next = -math.inf
                if server.started < since:
                    server.woken = self.now
        if server is not None:
            server.barred = event.out
            self._lay_out()

    def avoids(self, name: str) -> bool:
        """Whether a server would be passed over now: by hand, by state, silent, or failing past the filter.

        Load, a cold start's pace and the ramp do not count: they put off a request, not the server."""
        server = self.servers.get(name)
        if server is None or server.barred or server.state != ServerState.READY:
            return True
        if not self._responds(server):
            return True
        return self._faded(server.errors, server.errors_at) > self._error_limit()

    def _lay_out(self) -> None:
        """The pools that draws are made from; only lists and operators change them."""
        for name in [
            s.id for s in self.servers.values() if s.state == ServerState.GONE and not (s.out or s.giving)
        ]:
            del self.servers[name]
            self.returned.pop(name, None)
        self.ready = [s for s in self.servers.values() if s.state == ServerState.READY and not s.barred]
        mean = sum(s.weight for s in self.ready) / max(1, len(self.ready))
        self.total_size = float(len(self.ready))
        # Exception: after a deploy or the return of a lost zone most of the fleet is young. Held back for
        # the whole ramp, it would leave all load to the few old servers; so then the ramp ends when the
        # rules say that a server is warm.
        young = sum(s.started > 0 and self.now - s.started < RAMP_S for s in self.ready)
        many = young > YOUNG_MOST * len(self.ready)
        self.ramp = min(RAMP_S, max(self.rules.cold_time, 1e-3)) if many else RAMP_S
        groups: dict[tuple[Scope, int], list[Server]] = {}
        for server in self.ready:
            server.size = server.weight / mean
            self.speed.setdefault(server.kind, 1.0)
            groups.setdefault((Scope.ZONE, server.zone), []).append(server)
            groups.setdefault((Scope.CELL, server.cell), []).append(server)
        self.pool = Pool(self.ready)
        self.groups = {place: Pool(servers) for place, servers in groups.items()}
