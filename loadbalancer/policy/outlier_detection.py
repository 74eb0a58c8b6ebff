"""What is learnt of servers from the ends of attempts and from reports."""

from __future__ import annotations

import math
from typing import Mapping

from loadbalancer.policy.endpoints import Server
from loadbalancer.policy.events import (
    Outcome,
    ProbeResult,
    Result,
)
from loadbalancer.policy.pending_requests import Attempt, Pending
from loadbalancer.policy.state import State

ERROR_LEAST = 0.01  # less is none: a trace of one slow answer would decide every tie for as long as it fades
ERROR_STEP = 0.3  # two failures in a row pass the limit, one does not
SLOW_FROM, SLOW_FULL = 2.5, 8.0  # an answer that took this multiple of the usual starts to count, counts full
SLOW_LEAST = 0.02  # and no answer counts as slow that took less of its aim than this
SILENT = 6.0  # silence of this multiple of the usual keeps a server out of the draw
USUAL_STEP = 0.05  # the usual time of a class follows the median of its answers by such steps
SPEED_STEP = 0.02  # some dozens of reports move the speed of a kind
SPEED_MOST = 4.0  # machines of one fleet differ by less, either way
PACE_STEP = 0.1  # some dozen answers, a fraction of a second under load


class Learning(State):
    """Error shares, pace, speed of kinds, and what is slow."""

    def _learn(
        self,
        server: Server,
        result: Result,
        report: Mapping[str, float] | None,
        slowness: float = 0.0,
        number: int | None = None,
    ) -> None:
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
        # Protects against noise of the machine where answers take next to nothing: thrice a tenth of a
        # millisecond says nothing of a server. Harm: none near any aim.
        return self._slow(took, usual) if took > SLOW_LEAST * pending.cls.aim else 0.0

    @staticmethod
    def _slow(took: float, usual: float) -> float:
        return min(1.0, max(0.0, (took / usual - SLOW_FROM) / (SLOW_FULL - SLOW_FROM))) if usual else 0.0
