"""After how much silence a second copy goes out: a fixed time, or a quantile of the class's answers."""

from __future__ import annotations

from loadbalancer.policy.events import (
    AttemptResult,
    Outcome,
)
from loadbalancer.policy.pending_requests import QUANTILE_LEAST, Attempt, PendingRequest, StreamingQuantile
from loadbalancer.policy.state import State


class Hedging(State):
    """When silence earns a second attempt, where the limits say more than half of the useful time."""

    def _hedge_after(self, number: int) -> float:
        """Seconds; 0 where neither a time nor a share of answers is set, or nothing can be said yet.

        Protects against one slow member that holds a request while others would answer. Harm: where all are
        slow at once, as many copies as the share leaves over go out; the budget for second attempts and the
        level of refusing bound these."""
        learnt = self.silences[number] if self.silences else None
        if learnt is not None and learnt.count > QUANTILE_LEAST:
            return learnt.value
        return self.limits.hedge_delay

    def _note_silence(self, pending: PendingRequest, event: Outcome) -> None:
        """An attempt that was cancelled, or ran out of time, took longer than it is seen to: it counts where
        that is over the quantile already. Left out, those that copies cut short would pull it down."""
        if not self.limits.hedge_quantile:
            return
        if not self.silences:
            self.silences = [StreamingQuantile(self.limits.hedge_quantile) for _ in self.settings.classes]
        took = event.elapsed if event.time_to_first_byte is None else event.time_to_first_byte
        learnt = self.silences[pending.number]
        cut = (
            event.result == AttemptResult.TIMEOUT
            or event.result == AttemptResult.CANCELLED
            and not pending.streaming
        )
        if took > 0 and (cut and took >= learnt.value or event.result == AttemptResult.SERVED):
            learnt.note(took)

    def _note_cut(self, pending: PendingRequest, attempt: Attempt) -> None:
        """One that is given up because another answered: its own outcome finds no request any more."""
        if self.silences and not pending.coming:
            learnt, took = self.silences[pending.number], self.now - attempt.sent
            if took >= learnt.value:
                learnt.note(took)
