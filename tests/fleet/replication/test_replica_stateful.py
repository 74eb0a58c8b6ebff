"""Replicas under a Hypothesis state machine, which searches for a short schedule that violates an invariant."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from replica_model import Invariants, override_command

from emulator.fleetstate import Instance, StateModel

NUMBERS = st.integers(min_value=0, max_value=2)


class ReplicaMachine(RuleBasedStateMachine):
    """Three voters with commands, crashes, pauses and partitions of any length, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.model = StateModel(3, 5)
        self.model.delay, self.model.fsync = 0.03, 0.05
        for instance in self.model.all.values():
            instance.start()
        self.checked_invariants = Invariants(self.model)
        self.proposed_count = 0

    def instance(self, number: int) -> Instance:
        return self.model.all[f"i{number}"]

    @rule(number=NUMBERS, word=st.sampled_from(("cordon", None)))
    def propose_override(self, number: int, word: Any) -> None:
        instance = self.instance(number)
        if instance.up and not instance.stopped:
            self.proposed_count += 1
            instance.propose(override_command(self.proposed_count, word=word))

    @rule(number=NUMBERS)
    def kill_or_start(self, number: int) -> None:
        instance = self.instance(number)
        instance.kill() if instance.up else instance.start()

    @rule(number=NUMBERS)
    def stop_or_continue(self, number: int) -> None:
        instance = self.instance(number)
        if instance.up:
            instance.resume() if instance.stopped else instance.stop()

    @precondition(lambda self: not self.model.cut)
    @rule(number=NUMBERS, both=st.booleans())
    def cut_off(self, number: int, both: bool) -> None:
        name, others = f"i{number}", {f"i{other}" for other in range(3)} - {f"i{number}"}
        self.model.cut = {(name, other) for other in others} | {(other, name) for other in others if both}

    @rule()
    def heal(self) -> None:
        self.model.heal()

    @rule(steps=st.sampled_from((1, 3, 20, 80)))
    def advance_time(self, steps: int) -> None:
        for _ in range(steps):
            self.model.run(0.02)
            self.checked_invariants.check()

    @invariant()
    def invariants_hold(self) -> None:
        self.checked_invariants.check()

    def teardown(self) -> None:
        """Heal all faults, and check that all instances agree on one state."""
        self.model.heal()
        for instance in self.model.all.values():
            if instance.stopped:
                instance.resume()
            if not instance.up:
                instance.start()
        assert (
            self.model.until(lambda: self.model.states_agree() and self.model.all_may_act(), 15.0) is not None
        )
        self.checked_invariants.check()
        self.checked_invariants.check_end()


TestReplicaMachine = ReplicaMachine.TestCase
TestReplicaMachine.settings = settings(
    max_examples=200, stateful_step_count=25, deadline=None, derandomize=True
)
