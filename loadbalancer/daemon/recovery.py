"""How one daemon of a fleet comes back.

Carries out what `fleet.orchestration.recovery` decides, with the pools, the link and the log.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, Callable, Iterator

from loadbalancer.admin.snapshot import (
    PoolSnapshot,
    Snapshot,
    SnapshotError,
    decode,
    encode,
    restore_pool,
    snapshot_pool,
)
from loadbalancer.admin.snapshot_merge import merge_snapshots
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.fleet.membership.member_table import NOT_HEARD
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.orchestration.recovery import (
    ConnectionPace,
    LearnFromPeers,
    PhaseChanged,
    RecoveryCoordinator,
    RecoveryObservation,
    RecoveryPhase,
    is_full,
    return_after,
    turn,
)  # fmt: skip
from loadbalancer.fleet.replication import messages as form
from loadbalancer.fleet.transport import FleetTransport
from loadbalancer.fleet.wire import Message
from loadbalancer.policy.idle_connections import MIN_RATE_PER_CONNECTION
from loadbalancer.upstreams.pacing import Pacer

#: Seconds between two looks until the instance is full, and that a survivor has to tell.
LOOK_S, TELL_S = 0.05, 1.5
#: Bytes of what was learnt in one message, and of all of one answer.
PART, LEARNT_MOST = 12 << 10, 8 << 20
#: Between two questions for a list at the first of those that come back.
FIRST_S = 0.1
#: Requests after which the rate of an instance is known well enough.
SEEN_LEAST = 20
#: Between the calls of two that come back together to a source of lists, and over which all are spread.
SOURCE_S, SOURCES_S = 0.25, 5.0


class RecoveryService:
    """One daemon's. It owns a timer until the instance is full, and the task that asks survivors."""

    def __init__(
        self,
        daemon: DaemonContext,
        name: str,
        link: FleetTransport,
        view: MembershipView,
        kept: bool,
        may_act: Callable[[], bool],
    ) -> None:
        self.daemon, self.link, self.view, self._kept, self._may_act = daemon, link, view, kept, may_act
        self.comeback = RecoveryCoordinator(name, time.monotonic())
        self.view.phase = RecoveryPhase.FINDING
        self._random = random.Random()
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._asking: asyncio.Task[None] | None = None
        self._lessons: Snapshot | None = None  # for pools whose members are not listed yet
        self._per_member = 0.0  # openings a second, while there is a pace
        self.asked: dict[str, str] = {}  # survivors, and what became of it
        self._ended = False

    def start(self, upgraded: bool) -> None:
        """`upgraded`: in the place of a process that has passed on all that it knew."""
        if upgraded:
            self.comeback.phase = RecoveryPhase.FULL
            self.view.phase = RecoveryPhase.FULL
        else:
            self._tick()

    def end(self) -> None:
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        if self._asking is not None:
            self._asking.cancel()

    def _tick(self) -> None:
        if self._ended:
            return
        self.look()
        if self.comeback.phase != RecoveryPhase.FULL:
            self._timer = self._loop.call_later(LOOK_S, self._tick)

    def look(self) -> None:
        """Also a few times a second once it is full: who is told to return hears how many come back."""
        now, seen = time.monotonic(), self._seen()
        for wish in self.comeback.step(now, seen):
            if isinstance(wish, PhaseChanged):
                self.view.phase = wish.phase
                if wish.phase == RecoveryPhase.WARMING:
                    self._release(seen)
                text = f"{wish.phase.name.lower()} after {wish.elapsed:.2f} s: {wish.reason}"
                self.daemon.logger(f"fleet: coming back: {wish.phase.name.lower()}", text)
            elif isinstance(wish, LearnFromPeers):
                self._asking = self._loop.create_task(self._learn(wish.names))
            elif isinstance(wish, ConnectionPace):
                self._pace(wish)
        for pool in self.daemon.pools.values():
            pool.proxy.return_s = return_after(self._random.random(), len(seen.recovering))
        self._keep_pace()
        self._use()

    def _release(self, seen: RecoveryObservation) -> None:
        """Sources of lists are called at once, or each at its turn by those that come back and have a list already.
        Where nobody has one, the first by name calls, and the others ask it until their turn.
        """
        after = turn(self.comeback.name, seen.recovering, SOURCE_S, SOURCES_S)
        lacking = [pool for pool in self.daemon.pools.values() if not pool.proxy.listed]
        for pool in self.daemon.pools.values():
            pool.release(after if pool not in lacking or self.comeback.kind == "mass" else 0.0)
        first = min((*seen.recovering, self.comeback.name))
        if lacking and self.comeback.kind == "mass" and first != self.comeback.name:
            self._asking = self._loop.create_task(self._ask_first(first, time.monotonic() + after))

    async def _ask_first(self, name: str, until: float) -> None:
        while time.monotonic() < until and any(not pool.proxy.listed for pool in self.daemon.pools.values()):
            await self._take_lists(name)
            await asyncio.sleep(FIRST_S)

    def _seen(self) -> RecoveryObservation:
        living = [peer for peer in self.view.table.living]
        heard = [peer for peer in living if peer.phase != NOT_HEARD]
        full = tuple(peer.state.name for peer in heard if is_full(peer.phase))
        coming = tuple(peer.state.name for peer in heard if not is_full(peer.phase))
        served = ended = 0
        for pool in self.daemon.pools.values():
            for counts in pool.proxy.figures.ended:
                served, ended = served + counts[0], ended + sum(counts)
        return RecoveryObservation(
            self.view.joined,
            self._may_act(),
            self._kept,
            full,
            coming,
            len(living) - len(heard),
            served,
            ended,
        )

    def _pace(self, wish: ConnectionPace) -> None:
        for pool in self.daemon.pools.values():
            per_s = wish.per_member_s
            pool.proxy.backends.set_pace(None if per_s is None else Pacer(per_s, time.monotonic()))
        self._per_member = wish.per_member_s or 0.0

    def _keep_pace(self) -> None:
        """By the members that are listed by now. None where connections are not kept anyway, as each of many proxies
        sends a member little: there each request opens one in usual times too, and would only wait; it shows after the
        first requests.
        """
        for pool in self.daemon.pools.values():
            pacer, members = pool.proxy.backends.pacer, len(pool.proxy.listed)
            if pacer is None:
                continue
            pacer.per_s = self._per_member * max(1, members)
            seen = sum(map(sum, pool.proxy.figures.ended)) + len(pool.proxy.open)
            rate = seen / max(0.1, time.monotonic() - self.comeback.since)
            instances = pool.proxy.balancer.settings.instance_count
            if seen >= SEEN_LEAST and rate < MIN_RATE_PER_CONNECTION * instances * members:
                pool.proxy.backends.set_pace(None)

    # What survivors have learnt.

    async def _learn(self, names: tuple[str, ...]) -> None:
        lists = self._take_lists(names[0])
        found, _ = await asyncio.gather(asyncio.gather(*(self._ask(name) for name in names)), lists)
        known = [one for one in found if one is not None]
        self._lessons = merge_snapshots(known, time.time())
        self._use()
        self.comeback.learnt()

    async def _whole(self, name: str, what: str) -> bytes:
        """All that another one answers; ConnectionError where it is not known."""
        peer = self.view.table.get(name)
        if peer is None:
            raise ConnectionError("not known any more")
        data = b""
        async with asyncio.timeout(TELL_S):
            async for message in self.link.ask(peer.state.address, peer.state.boot, form.QueryRequest(what)):
                if not isinstance(message, form.QueryResponse) or not message.body:
                    break
                data += message.body
                if len(data) > LEARNT_MOST:
                    raise ValueError(f"over {LEARNT_MOST} bytes")
        return data

    async def _take_lists(self, name: str) -> None:
        """Lists of members that another one has heard of late, for pools whose source is to be called."""
        for pool_name, pool in list(self.daemon.pools.items()):
            if pool.plan.table.discovery is None or pool.proxy.listed:
                continue
            try:
                count = pool.take_over(await self._whole(name, f"list/{pool_name}"))
                self.daemon.logger(
                    "fleet: a list was handed on", f"{count} members of {pool_name}, by {name}"
                )
            except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError) as problem:
                self.daemon.logger("fleet: no list was handed on", f"{pool_name}, by {name}: {problem}")

    async def _ask(self, name: str) -> Snapshot | None:
        try:
            found = decode(await self._whole(name, "learnt"))
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError, SnapshotError) as problem:
            self.asked[name] = f"nothing: {problem}"
            return None
        # Ages are on clocks that may differ: what was told now counts as of now.
        found.at = time.time()
        self.asked[name] = f"{sum(len(pool.endpoints) for pool in found.pools)} members"
        return found

    def _use(self) -> None:
        """What was learnt, once a pool's members are listed."""
        if self._lessons is None:
            return
        passed = max(0.0, time.time() - self._lessons.at)
        waiting: list[PoolSnapshot] = []
        for note in self._lessons.pools:
            pool = self.daemon.pools.get(note.name)
            if pool is not None and not pool.proxy.listed:
                waiting.append(note)
            elif pool is not None:
                restore_pool(note, pool.proxy.balancer, pool.proxy.now(), passed)
        self._lessons = Snapshot(self._lessons.at, waiting) if waiting and passed < TELL_S * 4 else None

    def answer(self, message: Message) -> Iterator[tuple[Message, float]] | None:
        """What one that comes back hears of this one; nothing of one that has just begun itself."""
        if not isinstance(message, form.QueryRequest):
            return None
        data = b""
        if message.path.startswith("list/"):
            pool = self.daemon.pools.get(message.path.removeprefix("list/"))
            data = pool.hand_on() if pool is not None else b""
        elif message.path != "learnt":
            return None
        elif self.comeback.phase == RecoveryPhase.FULL:
            pools = [
                snapshot_pool(name, pool.proxy.balancer, pool.proxy.now(), {}, None)
                for name, pool in self.daemon.pools.items()
            ]
            data = encode(Snapshot(time.time(), pools))
        parts = [data[at : at + PART] for at in range(0, len(data), PART)]
        return iter([(form.QueryResponse(part), 0.0) for part in (*parts, b"")])

    def report(self) -> dict[str, Any]:
        """This instance's, and the fleet's: full once all that live are."""
        seen = self._seen()
        found = self.comeback.report(time.monotonic())
        fleet_full = not seen.recovering and self.comeback.phase == RecoveryPhase.FULL
        return found | {
            "survivors": self.asked,
            "coming_back": list(seen.recovering),
            "fleet_full": fleet_full,
        }
