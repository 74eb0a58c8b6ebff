"""How one daemon of a fleet reaches others for more than a datagram: to catch up, and to ask what they acted on."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Any, AsyncIterator, Callable, Iterator

import msgspec

from loadbalancer.daemon.rollout import RolloutService
from loadbalancer.fleet.membership.member_state import MemberStatus
from loadbalancer.fleet.membership.view import MembershipView as FleetView
from loadbalancer.fleet.replication import messages as form
from loadbalancer.fleet.replication.epochs import Epoch, merge
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.replica import Action, Event, PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.fleet.replication.state_transfer import StateReceiver, StateSender
from loadbalancer.fleet.transport import FleetTransport
from loadbalancer.fleet.wire import Message
from loadbalancer.resource_limits import RateLimitedLogger

#: Bytes a second that stragglers get of the state, each.
GIVE_BYTES_S = 4 << 20
#: Seconds that another has to answer what operators ask.
ASK_S = 2.0


class LeaseMonitor:
    """The part of `Agreed` that owns its streams."""

    name: str
    said: ReplicatedState
    versions: PaxosReplica
    fence: Lease
    view: FleetView
    link: FleetTransport
    logger: RateLimitedLogger
    history: deque[Epoch]
    rolling: RolloutService
    _loop: asyncio.AbstractEventLoop

    def __init__(self, versions: PaxosReplica) -> None:
        self.giver, self.taker = StateSender(versions), StateReceiver()
        self._catching: asyncio.Task[None] | None = None

    def _hand(self, event: Event) -> None:
        raise NotImplementedError

    def _do(self, actions: list[Action]) -> None:
        raise NotImplementedError

    def _schedule(self) -> None:
        raise NotImplementedError

    def _clock(self) -> float:
        raise NotImplementedError

    def _catch(self, name: str) -> None:
        if self._catching is None or self._catching.done():
            self._catching = self._loop.create_task(self._catch_up(name))

    async def _catch_up(self, name: str) -> None:
        """Ask one for what is lacking; what has come outlasts a cut."""
        peer = self.view.table.get(name)
        if peer is None:
            return
        try:
            want = self.taker.next_request(self.said.version)
            async for message in self.link.ask(peer.state.address, peer.state.boot, want):
                if not isinstance(message, (form.LogEntries, form.SnapshotChunk)):
                    raise ValueError("neither changes nor a state")
                found, last = self.taker.take(message)
                if found is not None:
                    self._hand(found)
                    self._do(self.versions.announce_to_all())
                if last:
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError) as problem:
            self.link.counts["catching up failed"] += 1
            self.logger("fleet: catching up was cut", f"{name}: {problem}")
        self._schedule()

    def answer(self, message: Message) -> Iterator[tuple[Message, float]] | None:
        """What a stream that begins so gets: each message, and the seconds that are waited after it."""
        if isinstance(message, form.StateRequest):
            return (
                (part, len(part.data) / GIVE_BYTES_S if isinstance(part, form.SnapshotChunk) else 0.0)
                for part in self.giver.answer(message)
            )
        if isinstance(message, form.QueryRequest) and message.path == "fleet/versions":
            return iter([(form.QueryResponse(msgspec.json.encode(self.local())), 0.0)])
        if isinstance(message, form.QueryRequest) and message.path.startswith("plan/"):
            return ((part, 0.0) for part in self.rolling.answer(message.path.removeprefix("plan/")))
        return None

    async def ask_named(self, name: str, message: Message) -> AsyncIterator[Message]:
        """Ask an instance by its name; ConnectionError where it is not known."""
        peer = self.view.table.get(name)
        if peer is None:
            raise ConnectionError(f"{name} is not known")
        async for found in self.link.ask(peer.state.address, peer.state.boot, message):
            yield found

    # What operators read.

    def standing(self) -> dict[str, Any]:
        now, versions = self._clock(), self.versions
        return {
            "version": self.said.version,
            "known": versions.highest_known_version,
            "behind": versions.is_behind,
            "why": versions.blocked_reason or None,
            "votes": versions.can_vote,
            "lost_state": versions.vote_suspension or None,
            "shut_out": not self.fence.may_act(now),
            "lease_s": round(max(0.0, self.fence.expires_at - now), 2),
            "drift": self.fence.clock_drift or None,
            "roster": sorted(self.said.voters),
        }

    def local(self) -> dict[str, Any]:
        """This instance's part of `fleet versions`."""
        now, wall = self._clock(), time.time()
        rows = [one.row(wall - now) for one in self.history]
        return {"instance": self.name, **self.standing(), "card": self.versions.metadata, "epochs": rows}

    def collect(self, done: Callable[[Any], None]) -> None:
        """All instances' parts; who could not be asked is named."""
        self._loop.create_task(self._collect(done))

    async def _collect(self, done: Callable[[Any], None]) -> None:
        peers = [peer for peer in self.view.table if peer.state.status != MemberStatus.LEFT]
        found = await asyncio.gather(*(self._ask(peer.state.address, peer.state.boot) for peer in peers))
        instances = [self.local(), *(one for one in found if one is not None)]
        unknown = [peer.state.name for peer, one in zip(peers, found, strict=True) if one is None]
        done(merge(instances, unknown))

    async def _ask(self, address: tuple[str, int], boot: int) -> dict[str, Any] | None:
        try:
            async for message in self.link.ask(address, boot, form.QueryRequest("fleet/versions"), ASK_S):
                if isinstance(message, form.QueryResponse):
                    return msgspec.json.decode(message.body, type=dict[str, Any])
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
            pass
        return None
