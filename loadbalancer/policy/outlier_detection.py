"""What is learnt of servers from the ends of attempts and from reports."""

from __future__ import annotations

import math
from typing import Mapping

from loadbalancer.policy.endpoints import Endpoint
from loadbalancer.policy.events import (
    AttemptResult,
    Outcome,
    ProbeResult,
)
from loadbalancer.policy.pending_requests import Attempt, PendingRequest
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
        server: Endpoint,
        result: AttemptResult,
        report: Mapping[str, float] | None,
        slowness: float = 0.0,
        number: int | None = None,
    ) -> None:
        """A cancelled or unsent attempt says nothing of its server; all other ends do."""
        if report:
            util = report.get("utilization")
            if isinstance(util, (int, float)) and 0 <= util < math.inf:  # nan, too, fails this
                server.utilization, server.utilization_at = min(1.0, util), self.now
                self._note_speed(server)
        if result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            return
        if result in (AttemptResult.SERVED, AttemptResult.ERROR, AttemptResult.FULL, AttemptResult.UNUSABLE):
            server.answered = True
        if (
            result == AttemptResult.UNUSABLE
        ):  # it speaks of the client; counted, bad clients would blacken all servers
            return
        share = self._faded(server.error_rate, server.error_rate_at)
        server.note_row(result, slowness)
        if result == AttemptResult.SERVED and self.returned:
            self.returned.pop(server.id, None)
        failure = slowness if result in (AttemptResult.SERVED, AttemptResult.TIMEOUT) else 1.0
        self.errors_usual += SPEED_STEP * (failure - self.errors_usual)
        share += ERROR_STEP * (failure - share)
        server.error_rate = share if share > ERROR_LEAST else 0.0
        server.error_rate_at = self.now
        if number is not None:
            own = self._faded(*server.error_rate_by_class.get(number, (0.0, 0.0)))
            own += ERROR_STEP * (failure - own)
            server.error_rate_by_class[number] = own if own > ERROR_LEAST else 0.0, self.now

    def _note_pace(self, attempt: Attempt, event: Outcome) -> None:
        """How long answers of a server take, for each attempt of ours that was there; an attempt that ran
        out of time took that at the least."""
        if event.result not in (AttemptResult.SERVED, AttemptResult.TIMEOUT):
            return
        server = attempt.server
        pace = (
            event.elapsed if event.time_to_first_byte is None else event.time_to_first_byte
        ) / attempt.queue
        server.time_per_attempt += (
            PACE_STEP * (pace - server.time_per_attempt) if server.time_per_attempt else pace
        )
        server.time_per_attempt_at = self.now

    def _note_speed(self, server: Endpoint) -> None:
        """Kinds that report more than the usual utilization are drawn less, until all report alike."""
        self.util_usual += SPEED_STEP * (server.utilization - self.util_usual)
        speed = self.speed[server.kind] * math.exp(SPEED_STEP * (self.util_usual - server.utilization))
        self.speed[server.kind] = min(SPEED_MOST, max(1 / SPEED_MOST, speed))

    def _on_probe(self, event: ProbeResult) -> None:
        self._learn(self.servers[event.endpoint], event.result, event.report)

    def _slowness(self, pending: PendingRequest | None, event: Outcome) -> float:
        """From 0, as usual, to 1, failure-like.

        Protects against slow servers: near full load all report high utilization, and only their
        answers tell them apart. The usual is that of the whole fleet, so a shared cause blackens none."""
        if pending is None or pending.coming:
            return float(event.result == AttemptResult.TIMEOUT)
        number, took = (
            pending.number,
            event.elapsed if event.time_to_first_byte is None else event.time_to_first_byte,
        )
        usual = self.usual[number] or took
        if event.result == AttemptResult.TIMEOUT:
            # An answer that has not come by now takes about as long again, as tails go. Protects against
            # servers that an attempt blackens which had less time than answers take: a class whose aim is
            # near its usual time, a repeat after a failure elsewhere.
            return self._slow(2 * took, usual) if self.usual[number] else 1.0
        if event.result != AttemptResult.SERVED:
            return 0.0
        self.usual[number] = usual * (1 + USUAL_STEP if took > usual else 1 - USUAL_STEP)
        self.silence = SILENT * max(self.usual)
        # Protects against noise of the machine where answers take next to nothing: thrice a tenth of a
        # millisecond says nothing of a server. Harm: none near any aim.
        return self._slow(took, usual) if took > SLOW_LEAST * pending.cls.latency_objective else 0.0

    @staticmethod
    def _slow(took: float, usual: float) -> float:
        return min(1.0, max(0.0, (took / usual - SLOW_FROM) / (SLOW_FULL - SLOW_FROM))) if usual else 0.0
