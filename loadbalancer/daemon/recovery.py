"""Recovery of one daemon after its start.

Executes the decisions of `fleet/orchestration/recovery.py` on the pools, the other instances and the log.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import Callable, Coroutine

from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.fleet_interfaces import JsonObject, StreamedAnswer
from loadbalancer.daemon.fleet_peers import FleetPeers
from loadbalancer.daemon.peer_learning import LIST_QUERY_PREFIX, SNAPSHOT_QUERY, PeerLearning, empty_answer
from loadbalancer.fleet.membership.member_table import PHASE_UNKNOWN
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.orchestration.recovery import (
    ConnectionPace,
    LearnFromPeers,
    PhaseChanged,
    RecoveryCoordinator,
    RecoveryObservation,
    RecoveryPhase,
    StartKind,
    is_full,
    retry_delay_s,
    stagger_delay,
)
from loadbalancer.fleet.replication.messages import QueryRequest
from loadbalancer.fleet.wire import Message
from loadbalancer.policy.idle_connections import MIN_RATE_PER_CONNECTION
from loadbalancer.upstreams.pacing import Pacer

#: Seconds between two steps until the instance is in full service.
STEP_INTERVAL_S = 0.05
#: Seconds between two requests for an endpoint list to the first of the instances that recover together.
LIST_RETRY_INTERVAL_S = 0.1
#: Minimum number of requests from which the request rate of an instance is estimated.
MIN_REQUESTS_FOR_RATE = 20
#: Minimum period over which a request rate is measured, in seconds.
MIN_RATE_PERIOD_S = 0.1
#: Seconds between the discovery calls of two instances that recover together.
DISCOVERY_TURN_S = 0.25
#: Maximum time in seconds over which the discovery calls of all recovering instances are spread.
MAX_DISCOVERY_SPREAD_S = 5.0


class RecoveryService:
    """Leads this instance through the phases of a recovery.

    It owns a timer until the instance is in full service, and the tasks that send requests to other instances; `end`
    cancels them.
    """

    def __init__(
        self,
        daemon: DaemonContext,
        peers: FleetPeers,
        view: MembershipView,
        has_stored_state: bool,
        may_act: Callable[[], bool],
    ) -> None:
        """Create the service in the first phase.

        Args:
            daemon: The daemon whose pools recover.
            peers: The other instances.
            view: The membership view, which provides their phases and announces this instance's phase.
            has_stored_state: Whether the store held a replicated state.
            may_act: Returns whether this instance may send.
        """
        self.view = view
        self.coordinator = RecoveryCoordinator(peers.name, time.monotonic())
        self._daemon = daemon
        self._has_stored_state = has_stored_state
        self._may_act = may_act
        self._learning = PeerLearning(daemon, peers)
        self.view.phase = RecoveryPhase.FINDING
        self._random = random.Random()
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections_per_endpoint_s = 0.0  # limit on new connections; 0 without one
        self._ended = False

    @property
    def in_full_service(self) -> bool:
        """Whether the recovery is over."""
        return self.coordinator.phase == RecoveryPhase.FULL

    def start(self, replaces_process: bool) -> None:
        """Start the recovery; skip it if this process has replaced another one that handed over its state."""
        if replaces_process:
            self.coordinator.phase = RecoveryPhase.FULL
            self.view.phase = RecoveryPhase.FULL
        else:
            self._tick()

    def end(self) -> None:
        """Cancel the timer and the tasks."""
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def _tick(self) -> None:
        if self._ended:
            return
        self.step()
        if not self.in_full_service:
            self._timer = self._loop.call_later(STEP_INTERVAL_S, self._tick)

    def step(self) -> None:
        """Execute the actions that are due.

        It is also called a few times a second in full service, since the spread of the `Retry-After` times of rejected
        clients depends on the number of recovering instances.
        """
        now = time.monotonic()
        observation = self._observe()
        for action in self.coordinator.step(now, observation):
            match action:
                case PhaseChanged():
                    self._change_phase(action, observation)
                case LearnFromPeers():
                    self._run(self._learn(action.names))
                case ConnectionPace():
                    self._set_pace(action)
        for pool in self._daemon.pools.values():
            pool.proxy.retry_after_s = retry_delay_s(self._random.random(), len(observation.recovering))
        self._adjust_pace()
        self._learning.apply()

    def _run(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _change_phase(self, change: PhaseChanged, observation: RecoveryObservation) -> None:
        self.view.phase = change.phase
        if change.phase == RecoveryPhase.WARMING:
            self._start_discovery(observation)
        phase = change.phase.name.lower()
        text = f"{phase} after {change.elapsed:.2f} s: {change.reason}"
        self._daemon.logger(f"fleet: recovery: {phase}", text)

    def _start_discovery(self, observation: RecoveryObservation) -> None:
        """Let the pools call their discovery services.

        A pool that has an endpoint list calls at this instance's turn, in the order of names. A pool without a list
        calls at once, except in a mass restart: there it waits for its turn too, and until then the list is requested
        from the first instance by name, which calls first.
        """
        name = self.coordinator.name
        is_mass_restart = self.coordinator.kind == StartKind.MASS
        delay_s = stagger_delay(name, observation.recovering, DISCOVERY_TURN_S, MAX_DISCOVERY_SPREAD_S)
        without_list = [pool for pool in self._daemon.pools.values() if not pool.proxy.listed]
        for pool in self._daemon.pools.values():
            pool.schedule_first_poll(delay_s if pool not in without_list or is_mass_restart else 0.0)
        first = min((*observation.recovering, name))
        if without_list and is_mass_restart and first != name:
            self._run(self._fetch_missing_lists(first, time.monotonic() + delay_s))

    async def _fetch_missing_lists(self, name: str, until: float) -> None:
        while time.monotonic() < until and not self._has_all_lists():
            await self._learning.fetch_lists(name)
            await asyncio.sleep(LIST_RETRY_INTERVAL_S)

    def _has_all_lists(self) -> bool:
        return all(pool.proxy.listed for pool in self._daemon.pools.values())

    async def _learn(self, names: tuple[str, ...]) -> None:
        await self._learning.learn(names)
        self.coordinator.on_survivors_answered()

    def _observe(self) -> RecoveryObservation:
        living = list(self.view.table.living)
        heard = [peer for peer in living if peer.phase != PHASE_UNKNOWN]
        served = ended = 0
        for pool in self._daemon.pools.values():
            for counts in pool.proxy.metrics.ended:
                served += counts[0]
                ended += sum(counts)
        return RecoveryObservation(
            self.view.joined,
            self._may_act(),
            self._has_stored_state,
            tuple(peer.state.name for peer in heard if is_full(peer.phase)),
            tuple(peer.state.name for peer in heard if not is_full(peer.phase)),
            len(living) - len(heard),
            served,
            ended,
        )

    # Rate limit of new connections.

    def _set_pace(self, pace: ConnectionPace) -> None:
        per_s = pace.per_member_s
        for pool in self._daemon.pools.values():
            pool.proxy.upstreams.set_pace(None if per_s is None else Pacer(per_s, time.monotonic()))
        self._connections_per_endpoint_s = per_s or 0.0

    def _adjust_pace(self) -> None:
        """Adjust the rate limit of new connections to the number of listed endpoints.

        The limit is lifted if the first requests show a rate so low that idle connections are not kept, as with many
        proxies that each send an endpoint little. Each request then opens a connection in normal operation too, and the
        limit would only delay it.
        """
        for pool in self._daemon.pools.values():
            pacer = pool.proxy.upstreams.pacer
            endpoints = len(pool.proxy.listed)
            if pacer is None:
                continue
            pacer.per_s = self._connections_per_endpoint_s * max(1, endpoints)
            requests = sum(map(sum, pool.proxy.metrics.ended)) + len(pool.proxy.open)
            request_rate = requests / max(MIN_RATE_PERIOD_S, time.monotonic() - self.coordinator.since)
            min_keep_alive_rate = (
                MIN_RATE_PER_CONNECTION * pool.proxy.balancer.settings.instance_count * endpoints
            )
            if requests >= MIN_REQUESTS_FOR_RATE and request_rate < min_keep_alive_rate:
                pool.proxy.upstreams.set_pace(None)

    # Answers to other instances and operators.

    def answer(self, message: Message) -> StreamedAnswer | None:
        """Return the answer to a query of a recovering instance; None for any other message."""
        if not isinstance(message, QueryRequest):
            return None
        if message.path.startswith(LIST_QUERY_PREFIX):
            return self._learning.answer_list(message.path.removeprefix(LIST_QUERY_PREFIX))
        if message.path == SNAPSHOT_QUERY:
            # An instance that is still recovering has no useful learned state.
            return self._learning.answer_snapshot() if self.in_full_service else empty_answer()
        return None

    def report(self) -> JsonObject:
        """Return the state of this instance's recovery, and whether all live instances are in full service."""
        observation = self._observe()
        return {
            **self.coordinator.report(time.monotonic()),
            "survivors": self._learning.outcomes,
            "coming_back": list(observation.recovering),
            "fleet_full": not observation.recovering and self.in_full_service,
        }
