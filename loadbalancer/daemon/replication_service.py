"""What a fleet has agreed on, at one of its daemons: the pure parts (versions, fence, catching up) between the link,
the store and what operators say here.

A change is in force at an instance before it says so to anybody; a vote is on disk before it is told.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING, Any, Callable, cast

import msgspec
from blake3 import blake3

from loadbalancer.config.types import FleetTable
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.lease_monitor import LeaseMonitor
from loadbalancer.daemon.persisted_state import (
    STORE,
    StoredIdentity,
    all_items,
    keep_items,
    keep_vote,
    load,
    open_identity,
    snapshot,
)
from loadbalancer.daemon.replicated_commands import ReplicatedCommands
from loadbalancer.daemon.rollout import RolloutService
from loadbalancer.fleet.membership.member_state import MemberStatus
from loadbalancer.fleet.membership.view import MembershipView as FleetView
from loadbalancer.fleet.orchestration.rollout import OPEN, StageReport, next_stage
from loadbalancer.fleet.replication import messages as form
from loadbalancer.fleet.replication.epochs import AS_KEPT, WHOLE, Epoch, describe
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.replica import (
    Action,
    CommandApplied,
    CommandCompleted,
    Event,
    MessageReceived,
    PaxosReplica,
    Persist,
    Propose,
    RequestStateTransfer,
    SendMessage,
    SnapshotInstalled,
    TimerExpired,
)  # fmt: skip
from loadbalancer.fleet.replication.replicated_state import (
    Command,
    MarkBody,
    MoveBody,
    ReplicatedState,
    write_body,
)  # fmt: skip
from loadbalancer.fleet.transport import FleetTransport
from loadbalancer.fleet.wire import Message
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.store.errors import StoreError
from loadbalancer.store.keeper import Store, StoreView

if TYPE_CHECKING:
    from loadbalancer.daemon.components import ReplicatedOverrideOwner, ReplicatedOverrideTarget

#: What instances tell one another of the program that they run.
BUILD = "0.1.0"
#: Seconds that a change has to be accepted, beside what its operator waits for those who confirm.
ACCEPT_S = 3.0
#: Seconds between two looks at those who have not confirmed, and at what ends by its time.
CONFIRM_S, ENDS_S = 0.02, 0.5
#: Versions of which it is kept when they were taken up here.
HISTORY_MOST = 64


def clock() -> float:
    """Seconds that also pass while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ReplicationService(ReplicatedCommands, LeaseMonitor):
    """One daemon's. The daemon's fleet owns it; `end` stops its timer."""

    def __init__(
        self,
        daemon: DaemonContext,
        table: FleetTable,
        link: FleetTransport,
        view: FleetView,
        store: Store | None,
        path: Path,
    ) -> None:
        """`path`: of the configuration."""
        self.daemon, self.table, self.link, self.view, self.store = daemon, table, link, view, store
        self.logger = daemon.logger
        self.name = table.name
        self.fence = Lease(float(table.stale_most), table.cut_off == "serve")
        self.said = ReplicatedState(dict.fromkeys(table.voters, ""))
        source = random.SystemRandom()
        identity = StoredIdentity("", 0)
        vote: form.AcceptorState | None = None
        met: dict[str, form.ObservedStore] = {}
        log: dict[int, Command] = {}
        if store is not None:
            kept = StoreView(store.engine)  # before the store's thread has anything to do
            identity = open_identity(kept, source)
            vote, met, log = load(kept, self.said)
        self.versions = PaxosReplica(
            table.name,
            "",
            identity.opened,
            self.said,
            random.Random(source.getrandbits(60)),
            self.fence.active_leaseholders,
        )
        self.versions.restore(vote, met, log)
        self._identity, self._store_name = identity, identity.store
        self._config = ""  # digest of the file that runs
        ReplicatedCommands.__init__(self, clock)
        LeaseMonitor.__init__(self, self.versions)
        first = Epoch(self.said.version, AS_KEPT, "", time.time())
        self.history: deque[Epoch] = deque([first], maxlen=HISTORY_MOST)
        self._ends: dict[tuple[str, ...], tuple[int, float]] = {}  # what ends by its time: version and when
        self._ends_at = 0.0
        self._ids = 0
        self._tag = f"{table.name}-{source.getrandbits(48):x}"
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._ended = False
        self._drive_at = 0.0
        self._stage_began = (0, 0.0)
        self.rolling = RolloutService(daemon, table.name, path, self.ask_named, self._requests, self._changed)
        link.replication_handler = self._hear

    @property
    def control(self) -> ReplicatedOverrideTarget:
        return cast("ReplicatedOverrideOwner", self.daemon.components["control"]).replicated

    def _clock(self) -> float:
        return clock()

    # Life.

    def start(self) -> None:
        """Vote once it is on disk that this store was opened again."""
        self._restore()
        self.versions.metadata = self._card()
        if self.store is not None:

            def job(view: StoreView) -> None:
                view.put(STORE, msgspec.msgpack.encode(self._identity))

            def opened(_: None, problem: StoreError | None) -> None:
                if problem is None:
                    self.versions.store_id = self._store_name
                else:
                    self.logger("fleet: this instance does not vote", problem)

            self.store.submit(job, opened)
        self._tick()

    def end(self) -> None:
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        if self._catching is not None:
            self._catching.cancel()
        self.rolling.close()
        self._end_orders()

    def _restore(self) -> None:
        """What was kept is in force from the start."""
        for pool, marks in self.said.overrides.items():
            for member in marks:
                self._in_force(("mark", pool, member))
        for pool in self.said.migrations:
            self._in_force(("move", pool))
        for pool in self.said.frozen:
            self._in_force(("freeze", pool))

    def configured(self, path: Path) -> None:
        """Another configuration is in force; its digest is taken once, as it stands then."""
        try:
            self._config = blake3(path.read_bytes()).hexdigest(4)
        except OSError as problem:
            self._config = f"not read: {problem.strerror}"[:64]

    def _card(self) -> dict[str, str]:
        """What else this instance runs under, for people."""
        found = {"build": BUILD, "store": self._store_name, "config": self._config}
        if report := self.rolling.report(self.said.rollout_plan):
            found["plan"] = report
        for name, pool in sorted(self.daemon.pools.items())[:4]:
            listed = ",".join(sorted(pool.overlay.listed()))
            found[f"list {name}"[:64]] = blake3(listed.encode()).hexdigest(4)
        return found

    # Time.

    def _tick(self) -> None:
        """Guards the lease against a defect in any step: the loop logs it, and the next step comes all the same."""
        if self._ended:
            return
        try:
            self._step(clock())
        finally:
            self._schedule()

    def _step(self, now: float) -> None:
        living = tuple(
            peer.state.name for peer in self.view.table.living if peer.state.status == MemberStatus.ALIVE
        )
        self._hand(TimerExpired(living))
        if now >= self.fence.next_timer:
            number = self.fence.request(now)
            for name in self.said.voters:
                self._send(name, form.LeaseRequest(number, self.said.version))
        if now >= self._ends_at:
            self._ends_at = now + ENDS_S
            self._end_by_time(now)
            self._roll(now)
            self.versions.metadata = self._card()
        self._look_at_confirming(now)

    def _schedule(self) -> None:
        if self._ended:
            return
        if self._timer is not None:
            self._timer.cancel()
        due = min(self.versions.next_timer, self.fence.next_timer, self._ends_at)
        wait = min(max(0.002, due - clock()), CONFIRM_S if self._confirming else ENDS_S)
        self._timer = self._loop.call_later(wait, self._tick)

    def _end_by_time(self, now: float) -> None:
        """Whoever sees the end of a mark first says so to all; a word that was said since is not touched."""
        for key, (version, at) in list(self._ends.items()):
            if now < at:
                continue
            self._ends[key] = version, now + 10.0  # if that comes to nothing
            if key[0] == "mark":
                body: Any = MarkBody(key[1], {key[2]: None}, 0.0, version)
            else:
                body = MoveBody(key[1], None, 0.0, version)
            self._propose(
                Command(self._id(), key[0], write_body(body), self.name, "its time is over", time.time())
            )

    # A roll-out.

    def _requests(self) -> tuple[int, int]:
        """All that have ended so far, and those refused or failed."""
        ended = [pool.proxy.figures.ended for pool in self.daemon.pools.values()]
        served = sum(one[0] for counts in ended for one in counts)
        bad = sum(one[1] + one[2] for counts in ended for one in counts)
        return served + bad, bad

    def _changed(self) -> None:
        self.versions.metadata = self._card()
        self._do(self.versions.announce_to_all())

    def _roll(self, now: float) -> None:
        """Do this instance's part; the first of the living voters also says what follows."""
        plan = self.said.rollout_plan
        names = sorted(
            {
                self.name,
                *(peer.state.name for peer in self.view.table if peer.state.status != MemberStatus.LEFT),
            }
        )
        self.rolling.look(plan, names)
        if plan is None or plan.stage not in OPEN:
            return
        self._do(self.versions.announce_to_voters())
        if self._stage_began[0] != plan.version:
            self._stage_began = plan.version, now
        living = [self.name, *(peer.state.name for peer in self.view.table.living)]
        voters = sorted(name for name in living if name in self.said.voters)
        if not voters or voters[0] != self.name or now < self._drive_at + 1.0:
            return
        self._drive_at = now
        cards = {**self.versions.peer_metadata, self.name: self._card()}
        reports = {
            name: found
            for name, card in cards.items()
            if (found := StageReport.read(card.get("plan", ""), plan.id)) is not None
        }
        dead = [name for name in names if name not in living]
        body = next_stage(plan, reports, living, dead, now - self._stage_began[1])
        if body is not None:
            self._propose(Command(self._id(), "stage", write_body(body), self.name, body.why, time.time()))

    def _id(self) -> str:
        self._ids += 1
        return f"{self._tag}-{self._ids}"

    def _propose(self, change: Command, if_version: int = -1) -> None:
        self._hand(Propose(change, clock() + ACCEPT_S, if_version))
        self._schedule()

    # Messages.

    def _send(self, to: str, message: Message) -> None:
        if to == self.name:
            self._loop.call_soon(self._hear, to, message)
            return
        peer = self.view.table.get(to)
        if peer is not None:
            self.link.send_datagram(peer.state.address, peer.state.boot, message)

    def _hear(self, sender: str, message: Message) -> None:
        if self._ended:
            return
        now = clock()
        if isinstance(message, form.LeaseRequest):
            self.versions.announced_versions[sender] = max(
                message.version, self.versions.announced_versions.get(sender, 0)
            )
            if self.versions.can_vote:
                self.fence.grant(now, sender)
                self._send(
                    sender, form.LeaseGrant(message.number, self.versions.highest_accepted_version, now)
                )
        elif isinstance(message, form.LeaseGrant):
            self.fence.granted(
                now,
                message.number,
                sender,
                message.highest_known_version,
                message.clock,
                self.said.majority,
                self.said.version,
            )
        else:
            self._hand(MessageReceived(sender, message))  # type: ignore[arg-type]
            self._look_at_confirming(now)
            self._schedule()

    def _hand(self, event: Event) -> None:
        self._do(self.versions.handle(clock(), event))

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(action.to, action.message)
            elif isinstance(action, Persist):
                self._keep(action)
            elif isinstance(action, CommandApplied):
                self._took(action)
            elif isinstance(action, SnapshotInstalled):
                self._took_whole()
            elif isinstance(action, RequestStateTransfer):
                self._catch(action.source)
            elif isinstance(action, CommandCompleted):
                self._ended_order(action)

    def _keep(self, action: Persist) -> None:
        """A vote that can't be kept is not told; the proposer asks again, or goes on without this voter."""
        if self.store is None:
            return

        def done(_: None, problem: StoreError | None) -> None:
            if problem is not None:
                self.logger("fleet: a vote could not be kept", problem)
                return
            for say in action.then_send:
                self._send(say.to, say.message)

        self.store.submit(lambda view: keep_vote(view, action.acceptor_state, action.observed_store), done)

    # What is in force.

    def _took(self, action: CommandApplied) -> None:
        change = action.command
        self.history.append(Epoch(action.version, describe(change), change.by, time.time()))
        for touched in action.touched:
            self._in_force(touched)
        self.fence.extend(self.said.majority, self.said.version)
        if self.store is not None:
            items = snapshot(self.said, action.touched)
            self.store.submit(lambda view: keep_items(view, items, action.version, change), self._kept)

    def _took_whole(self) -> None:
        self.history.append(Epoch(self.said.version, WHOLE, "", time.time()))
        control = self.control
        for pool, marks in list(control.overrides.items()):
            for member in list(marks):
                if member not in self.said.overrides.get(pool, {}):
                    control.set_override(pool, member, None)
        for pool in list(control.migrations):
            if pool not in self.said.migrations:
                control.set_migration(pool, None)
        self._restore()
        self.fence.extend(self.said.majority, self.said.version)
        if self.store is not None:
            items, version = all_items(self.said), self.said.version
            self.store.submit(lambda view: keep_items(view, items, version, None), self._kept)

    def _kept(self, _: None, problem: StoreError | None) -> None:
        if problem is not None:
            self.logger("fleet: a change is in force and could not be kept", problem)

    def _in_force(self, touched: tuple[str, ...]) -> None:
        kind, *names = touched
        stands: Any = None
        if kind == "mark":
            stands = self.said.overrides.get(names[0], {}).get(names[1])
            self.control.set_override(names[0], names[1], stands[0] if stands is not None else None)
        elif kind == "move":
            stands = self.said.migrations.get(names[0])
            self.control.set_migration(names[0], stands[0] if stands is not None else None)
        elif kind == "freeze":
            self.control.set_frozen(names[0], names[0] in self.said.frozen)
        if stands is not None and stands[1]:
            self._ends[touched] = stands[2], clock() + stands[1]
        else:
            self._ends.pop(touched, None)

    # At each send.

    def bars(self, pool: str, stays: bool) -> Callable[[str], AttemptResult | None]:
        """What a pool asks ahead of each send to a member. `stays`: sessions go on at a draining member."""
        fence, marks = self.fence, self.control.overrides

        def ask(member: str) -> AttemptResult | None:
            now = clock()
            if not fence.may_act(now):
                return AttemptResult.NOT_SENT
            mark = marks.get(pool, {}).get(member)
            if mark is not None and (mark.word == "cordon" or (mark.word == "drain" and not stays)):
                return (
                    AttemptResult.NO_CONNECTION
                )  # said while this waited for its connection; others may take it
            epoch = self.history[-1]
            epoch.sends += 1
            epoch.last = now
            return None

        return ask

    def lease(self) -> float:
        """Until when this instance may act, on `clock`; 0 where it may not."""
        return self.fence.expires_at if self.fence.is_open(clock()) else 0.0

    def take_lease(self, version: int, until: float) -> None:
        """Of the process before, whose place this one has taken: it is the name's, and the clock is the machine's.
        Guards an upgrade against a moment in which nobody of the name may act. Only where the store had all that the
        lease was given on.
        """
        if self.said.version >= version and until <= clock() + self.fence.duration:
            self.fence.expires_at = until

    def may_act(self) -> bool:
        return self.fence.may_act(clock())
