"""Replicas under a state machine of hypothesis: it looks for the shortest schedule that breaks a rule."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from replica_model import Invariants, override_command

from emulator.fleetstate import Instance, StateModel

NUMBERS = st.integers(min_value=0, max_value=2)


class Agreeing(RuleBasedStateMachine):
    """Three voters: changes, crashes, stops and cuts of any length, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.model = StateModel(3, 5)
        self.model.delay, self.model.fsync = 0.03, 0.05
        for one in self.model.all.values():
            one.start()
        self.checker = Invariants(self.model)
        self.changes = 0

    def one(self, number: int) -> Instance:
        return self.model.all[f"i{number}"]

    @rule(number=NUMBERS, word=st.sampled_from(("cordon", None)))
    def change(self, number: int, word: Any) -> None:
        one = self.one(number)
        if one.up and not one.stopped:
            self.changes += 1
            one.propose(override_command(self.changes, word=word))

    @rule(number=NUMBERS)
    def dies_or_starts(self, number: int) -> None:
        one = self.one(number)
        one.kill() if one.up else one.start()

    @rule(number=NUMBERS)
    def stops_or_goes_on(self, number: int) -> None:
        one = self.one(number)
        if one.up:
            one.go_on() if one.stopped else one.stop()

    @precondition(lambda self: not self.model.cut)
    @rule(number=NUMBERS, both=st.booleans())
    def cut_off(self, number: int, both: bool) -> None:
        name, others = f"i{number}", {f"i{other}" for other in range(3)} - {f"i{number}"}
        self.model.cut = {(name, other) for other in others} | {(other, name) for other in others if both}

    @rule()
    def heal(self) -> None:
        self.model.heal()

    @rule(steps=st.sampled_from((1, 3, 20, 80)))
    def time_passes(self, steps: int) -> None:
        for _ in range(steps):
            self.model.run(0.02)
            self.checker.check()

    @invariant()
    def all_holds(self) -> None:
        self.checker.check()

    def teardown(self) -> None:
        """All heals: one state, whatever was done."""
        self.model.heal()
        for one in self.model.all.values():
            if one.stopped:
                one.go_on()
            if not one.up:
                one.start()
        assert self.model.until(lambda: self.model.agree() and self.model.open(), 15.0) is not None
        self.checker.check()
        self.checker.check_end()


TestAgreeing = Agreeing.TestCase
TestAgreeing.settings = settings(max_examples=200, stateful_step_count=25, deadline=None, derandomize=True)
