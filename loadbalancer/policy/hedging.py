"""After how much silence a second copy goes out: a fixed time, or a quantile of the class's answers."""

from __future__ import annotations

from loadbalancer.policy.events import (
    Outcome,
    Result,
)
from loadbalancer.policy.pending_requests import QUANTILE_LEAST, Attempt, Pending, Quantile
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
        return self.limits.hedge_after

    def _note_silence(self, pending: Pending, event: Outcome) -> None:
        """An attempt that was cancelled, or ran out of time, took longer than it is seen to: it counts where
        that is over the quantile already. Left out, those that copies cut short would pull it down."""
        if not self.limits.hedge_share:
            return
        if not self.silences:
            self.silences = [Quantile(self.limits.hedge_share) for _ in self.settings.classes]
        took = event.took if event.first is None else event.first
        learnt = self.silences[pending.number]
        cut = event.result == Result.TIMEOUT or event.result == Result.CANCELLED and not pending.streaming
        if took > 0 and (cut and took >= learnt.value or event.result == Result.SERVED):
            learnt.note(took)

    def _note_cut(self, pending: Pending, attempt: Attempt) -> None:
        """One that is given up because another answered: its own outcome finds no request any more."""
        if self.silences and not pending.coming:
            learnt, took = self.silences[pending.number], self.now - attempt.sent
            if took >= learnt.value:
                learnt.note(took)
