"""The daemon as operators see and change it: marks over sources, kept by the store where there is one, and an audit."""

from __future__ import annotations

import asyncio
import socket
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any, Callable, Mapping, cast

import msgspec

from loadbalancer.admin.calls import AdminSession, CallError, Change
from loadbalancer.admin.snapshot import Snapshot, encode, note_pool
from loadbalancer.admin.tokens import TokenError
from loadbalancer.config.plan import Plan
from loadbalancer.config.reader import ConfigError, Problem, read_address
from loadbalancer.config.types import ManagementTable
from loadbalancer.daemon.admin_notifications import AdminNotifications
from loadbalancer.daemon.admin_queries import AdminQueries
from loadbalancer.daemon.audit_log import AuditLog
from loadbalancer.daemon.components import Component, DaemonContext
from loadbalancer.daemon.hot_restart import HotRestartOffer, offer_path, place, remove_own
from loadbalancer.daemon.persisted_overrides import MOVES, delete, forget, mark_key, store_move
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.daemon.token_authentication import TokenAuthenticator
from loadbalancer.discovery.overrides import AdminOverride, merge_override
from loadbalancer.frontends.sockets import bind
from loadbalancer.management.server import ManagementServer
from loadbalancer.policy.events import (
    EndpointState,
)
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.traffic_migration import Migration, Migrations
from loadbalancer.store.errors import StoreError
from loadbalancer.store.keeper import StoreView

if TYPE_CHECKING:
    from loadbalancer.daemon.fleet import FleetComponent
    from loadbalancer.daemon.storage import Storage

WORDS = {"drain": "drain", "cordon": "cordon"}


class AdminServer(Component, AdminQueries, AdminNotifications):
    """One for a daemon with `[management]`. It owns its sockets; `close` gives them back."""

    def __init__(
        self, daemon: DaemonContext, table: ManagementTable, base: Path, logger: RateLimitedLogger
    ) -> None:
        self.daemon, self.table, self.logger = daemon, table, logger
        self.audit = AuditLog(base / table.audit if table.audit else None, logger)
        self.marks: dict[str, dict[str, AdminOverride]] = {}  # by pool, also of pools that are not configured
        self.moves: dict[str, Migrations] = {}  # by pool, of those of which a part was ever moved
        self._window = 0.0  # seconds, the longest for which members of any pool drop repeats of a key
        self._door: ManagementServer | None = None  # by TCP
        self._before: socket.socket | None = (
            None  # the daemon that this one has taken over from, until it ends
        )
        self.started = time.time()
        self._servers: list[ManagementServer] = []
        self._paths: list[tuple[Path, int]] = []  # with the inodes by which they are known as ours
        self._base = base
        self.offer: HotRestartOffer | None = None
        self.taken = asyncio.Event()  # another daemon serves in this one's place

    def begin(self) -> None:
        """Open the sockets; OSError where one can't be had."""
        for path, reads_only, mode in (
            (self.table.socket, False, 0o600),
            (self.table.read_socket, True, 0o660),
        ):
            if path is not None:
                server = ManagementServer(AdminSession(self, reads_only), self.logger)
                inode = place(self._base / path, server.listen, mode, self.daemon.taken is not None)
                self._servers.append(server)
                self._paths.append((self._base / path, inode))
        if self.table.address is not None and self.table.tokens is not None:
            self._open_door(read_address(self.table.address), self._base / self.table.tokens)

    def _open_door(self, address: tuple[str, int], tokens: Path) -> None:
        try:
            door = TokenAuthenticator(tokens, self, self.logger)
        except (OSError, TokenError) as problem:
            raise ConfigError([Problem(str(tokens), "management.tokens", str(problem))]) from None
        there = self.daemon.taken.claim(address) if self.daemon.taken is not None else None
        self._door = ManagementServer(AdminSession(self, True), self.logger, door.desk)
        self._door.start(there or bind(address))
        self._servers.append(self._door)

    def sockets(self) -> list[socket.socket]:
        """Those by TCP, which pass to a successor; Unix ones are put in place anew."""
        return [self._door.listening] if self._door is not None and self._door.listening is not None else []

    def serve(self) -> None:
        """From now on a new daemon may take over."""
        if self.table.socket is None:
            return
        path = offer_path(self._base / self.table.socket)
        self.offer = HotRestartOffer(
            path,
            self.daemon.sockets,
            self._given,
            self.logger,
            self.learnt,
            cast("Storage | None", self.daemon.parts.get("store")),
            self._told,
        )
        self.offer.open()

    def follow(self, way: socket.socket) -> None:
        """The daemon before answers what it holds yet: it is told what operators change."""
        self._before = way

    def _tell_before(self, pool: str, member: str, mark: AdminOverride | None) -> None:
        if self._before is None:
            return
        line = msgspec.json.encode([pool, member, mark]) + b"\n"
        try:
            sent = self._before.send(line)
        except OSError:  # it has ended
            sent = 0
        if sent < len(line):
            self._before.close()
            self._before = None

    def _told(self, line: bytes) -> None:
        """The successor says what operators have changed: here it holds for what is still answered."""
        try:
            name, member, mark = msgspec.json.decode(line, type=tuple[str, str, AdminOverride | None])
        except msgspec.MsgspecError as problem:
            self.logger("the successor's words can't be read", problem)
            return
        pool = self.daemon.pools.get(name)
        if pool is not None:
            pool.overlay.mark(member, mark or AdminOverride())

    def learnt(self) -> bytes:
        """What a successor may know, as bytes."""
        pools = [
            note_pool(name, pool.proxy.balancer, pool.proxy.now(), self.marks.get(name, {}), self._move(name))
            for name, pool in self.daemon.pools.items()
        ]
        fleet = cast("FleetComponent | None", self.daemon.parts.get("fleet"))
        return encode(Snapshot(time.time(), pools, fleet.note() if fleet is not None else None))

    def _given(self) -> None:
        for listener in self.daemon.listeners.values():
            listener.shared = True
        for part in self.daemon.parts.values():
            part.retire()
        self.logger("upgrade", "another daemon serves; this one ends once it has answered what it holds")
        self.taken.set()

    def retire(self) -> None:
        """Operators call the successor; those that have come here are answered."""
        if self._door is not None:
            self._door.deafen()

    def end(self) -> None:
        if self.offer is not None:
            self.offer.close()
            self.offer = None
        if self._before is not None:
            self._before.close()
            self._before = None
        for server in self._servers:
            server.close()
        for path, inode in self._paths:
            remove_own(path, inode)
        self._servers.clear()
        self._paths.clear()

    def restore(
        self, marks: Mapping[str, Mapping[str, AdminOverride]], moves: Mapping[str, Migration]
    ) -> None:
        """What the store, or the daemon before, has kept; before pools are made."""
        self.marks = {pool: dict(those) for pool, those in marks.items()}
        for pool, move in moves.items():
            self.moves[pool] = Migrations(self._window)
            self.moves[pool].resume(move)

    def reload(self, plan: Plan) -> None:
        """Before routes are made."""
        self._window = max(cls.deduplication_window for cls in plan.classes)
        for name, moves in self.moves.items():
            moves.window = max(moves.window, self._window)
            if name in plan.pools and moves.move is not None and moves.move.other not in plan.pools:
                self.logger("a move waits", f"pool {moves.move.other!r} is gone; all of {name} stays with it")
        if self.table.why:
            from loadbalancer.proxy.decision_trace import DecisionTrace

            for pool in self.daemon.pools.values():
                pool.proxy.trace = pool.proxy.trace or DecisionTrace(self.table.why)

    def look(self) -> None:
        """Marks and moves whose time is over."""
        for name, pool in self.daemon.pools.items():
            for member in pool.overlay.expire():
                self.marks.get(name, {}).pop(member, None)
                self.logger("a mark has ended", f"{member} of pool {name}")
                if self._store is not None:
                    self._store.submit(partial(delete, mark_key(name, member)), forget)
        now = time.time()
        for name, moves in self.moves.items():
            if moves.move is not None and moves.move.is_over(now):
                self._say_move(name, None)
                self.logger("a move has ended", f"all of {name} stays with it")
                if self._store is not None:
                    self._store.submit(partial(delete, MOVES + name.encode()), forget)

    # Changing.

    def change(self, change: Change, done: Callable[[Any], None]) -> None:
        """Checked whole, in force at once, told once it is kept; where it can't be kept it is taken back."""
        try:
            self._check(change)
        except CallError as problem:
            self.audit.note(change, f"refused: {problem}")
            raise
        verb, order = change.verb, change.order
        for part in self.daemon.parts.values():
            if part is not self and part.take_change(change, partial(self._noted, change, done)):
                return
        if verb == "reload":
            self.daemon.reload()
            self._done(change, {"reload": "asked for; the log says what became of it"}, done)
        elif verb == "log":
            self._done(change, {"level": self._set_level(order.level or "info")}, done)
        elif verb == "move":
            self._change_move(change, done)
        elif verb in ("freeze", "thaw"):
            assert order.pool is not None
            self.daemon.pools[order.pool].overlay.freeze(verb == "freeze")
            self._done(change, self._pool(order.pool, self.daemon.pools[order.pool]), done)
        else:
            self._mark(change, done)

    def _say_move(self, pool: str, move: Migration | None) -> None:
        self.moves.setdefault(pool, Migrations(self._window)).say(move, time.time())
        self.daemon.retarget()

    def _change_move(self, change: Change, done: Callable[[Any], None]) -> None:
        order, now = change.order, time.time()
        assert order.pool is not None and order.other is not None and order.share is not None
        name, before = order.pool, self._move(order.pool)
        until = now + change.until if change.until else 0.0
        move = (
            Migration(order.other, order.share, until, order.by, order.reason, now) if order.share else None
        )
        self._say_move(name, move)
        self._keep(
            change,
            partial(store_move, name, move),
            lambda kept: {"moves": self._read_moves(), "kept": kept},
            lambda: self._say_move(name, before),
            done,
        )

    def _keep(
        self,
        change: Change,
        job: Callable[[StoreView], None],
        told: Callable[[bool], Any],
        take_back: Callable[[], None],
        done: Callable[[Any], None],
    ) -> None:
        """What is in force already is told once the store has it, and taken back where it can't be kept."""
        if self._store is None:
            self._done(change, told(False), done)
            return

        def ended(_: None, problem: StoreError | None) -> None:
            if problem is None:
                self._done(change, told(True), done)
                return
            take_back()
            self.audit.note(change, f"taken back: {problem}")
            done({"error": f"could not be kept, so nothing has changed: {problem}"})

        self._store.submit(job, ended)

    def _set_level(self, level: str) -> str:
        setter = getattr(self.logger, "set_level", None)
        if setter is None:
            raise CallError(409, "this log has no levels; put [log] into the file and restart")
        setter(level)
        return level

    def _done(self, change: Change, now: Any, done: Callable[[Any], None]) -> None:
        self.audit.note(change, "done")
        done(now)

    def _check(self, change: Change) -> None:
        name = change.order.pool
        if name is None:
            return
        pool = self.daemon.pools.get(name)
        if pool is None:
            have = ", ".join(sorted(self.daemon.pools)) or "none"
            raise CallError(404, f"there is no pool {name!r}; there are: {have}")
        memory = cast("Storage | None", self.daemon.parts.get("store"))
        lent = memory is not None and memory.lent
        if lent or (self.offer is not None and self.offer.under_way):
            raise CallError(
                409, "an upgrade is under way, and the new daemon would not know of it; ask again"
            )
        if change.verb == "move":
            self._check_move(name, change.order.other or "")
            return
        overlay = pool.overlay
        unknown = [member for member in change.members if not overlay.knows(member)]
        if change.verb == "add":
            if len(change.members) != 1:
                raise CallError(400, "add takes one member")
            if change.members[0] in overlay.listed():
                raise CallError(409, f"{change.members[0]!r} is listed by the pool's source already")
        elif unknown and change.verb not in ("cordon", "uncordon", "drain"):
            raise CallError(404, f"no such member of {name}: {', '.join(unknown)}")
        if change.verb in ("drain", "cordon", "remove") and not change.order.last:
            self._check_last(pool, change)

    def _check_move(self, name: str, other: str) -> None:
        if other == name or other not in self.daemon.pools:
            have = ", ".join(sorted(self.daemon.pools.keys() - {name})) or "none"
            raise CallError(404, f"{other!r} is no other pool; there are: {have}")
        dialects = {self.daemon.pools[pool].plan.table.dialect for pool in (name, other)}
        if len(dialects) > 1:
            raise CallError(409, f"pools {name} and {other} speak different dialects")
        further = self._move(other)
        if further is not None:
            raise CallError(409, f"a part of {other} is itself moved to {further.other}; end that first")
        if any((move := self._move(pool)) is not None and move.other == name for pool in self.moves):
            raise CallError(409, f"traffic of another pool is moved to {name}; end that first")

    @staticmethod
    def _check_last(pool: RunningPool, change: Change) -> None:
        """Guards against taking a pool away by one word; `last` says that this is meant."""
        out = {n for n, m in pool.overlay.marks.items() if m.word is not None} | set(change.members)
        serving = {
            entry.endpoint for entry, _ in pool.overlay.entries() if entry.state == EndpointState.READY
        }
        if serving and not serving - out:
            raise CallError(
                409, f"this would leave pool {change.order.pool} without any member; say last if it is meant"
            )

    def _mark(self, change: Change, done: Callable[[Any], None]) -> None:
        order, now = change.order, time.time()
        assert order.pool is not None
        pool, kept = self.daemon.pools[order.pool], self.marks.setdefault(order.pool, {})
        before = {member: kept.get(member) for member in change.members}
        until = now + change.until if change.until else 0.0
        for member in change.members:
            mark = self._said(change, before[member], now, until)
            self._put(pool, kept, member, mark)
            self._tell_before(order.pool, member, kept.get(member))
        told = [self._member(order.pool, pool, member) for member in change.members]
        new = {member: kept.get(member) for member in change.members}

        def job(view: StoreView) -> None:
            for member, mark in new.items():
                key = mark_key(order.pool or "", member)
                if mark is None:
                    view.delete(key)
                else:
                    view.put(key, msgspec.json.encode(mark), mark.until)

        def take_back() -> None:
            for member, mark in before.items():
                self._put(pool, kept, member, mark or AdminOverride())
                self._tell_before(order.pool or "", member, mark)

        self._keep(change, job, lambda stored: {"members": told, "kept": stored}, take_back, done)

    @staticmethod
    def _said(change: Change, before: AdminOverride | None, now: float, until: float) -> AdminOverride:
        order, verb = change.order, change.verb
        if verb == "remove":
            if before is not None and before.address is not None:
                return AdminOverride()
            verb = "cordon"
        return merge_override(
            before,
            now,
            order.by,
            order.reason,
            until,
            word=WORDS.get(verb),  # type: ignore[arg-type]
            weight=order.weight,
            address=change.address,
            lift=verb == "uncordon",
        )

    @staticmethod
    def _put(pool: RunningPool, kept: dict[str, AdminOverride], member: str, mark: AdminOverride) -> None:
        if mark.says_nothing():
            kept.pop(member, None)
        else:
            kept[member] = mark
        pool.overlay.mark(member, mark)
