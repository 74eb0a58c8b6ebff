"""Random faults with lost stores, slow disks, proposers without a vote, and replayed messages of earlier processes."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from replica_model import Invariants, override_command

from emulator.fleetstate import Instance, StateModel
from loadbalancer.fleet.replication.lease import MAX_CLOCK_DRIFT

FAULTS = ("change", "change", "change", "kill", "kill", "stop", "part", "heal", "lose", "replay", "slow disk")
#: Messages that are recorded so that they can be replayed much later.
RECORDED_MESSAGES = 200


@dataclass
class LostStoreRun:
    """One run with random faults.

    Attributes:
        model: The instances; the stores of a minority may be lost.
        source: Source of all random draws.
        lost: Instances whose store was lost, once each.
        sent: Recorded messages that may be replayed.
        last_step: The number of the last command.
    """

    model: StateModel
    source: random.Random
    lost: set[str] = field(default_factory=set)
    sent: list[tuple[str, str, Any]] = field(default_factory=list)
    last_step: int = 0

    def record_messages(self) -> None:
        """Record some of the messages that are sent from now on."""
        send = self.model.send

        def record(sender: str, to: str, message: Any) -> None:
            if len(self.sent) < RECORDED_MESSAGES:
                self.sent.append((sender, to, message))
            elif self.source.random() < 0.2:
                self.sent[self.source.randrange(RECORDED_MESSAGES)] = (sender, to, message)
            send(sender, to, message)

        self.model.send = record  # type: ignore[method-assign]

    def inject(self, step: int) -> None:
        """Inject one random fault or command."""
        instance = self.source.choice(list(self.model.all.values()))
        match self.source.choice(FAULTS):
            case "change":
                self.propose_override(instance, step)
            case "kill":
                instance.kill() if instance.up else instance.start()
            case "stop" if instance.up:
                instance.resume() if instance.stopped else instance.stop()
            case "part":
                self.partition()
            case "lose":
                self.lose_store(instance)
            case "replay":
                self.replay()
            case "slow disk":
                self.model.fsync = self.source.choice((0.002, 0.06, 0.4))
            case _:
                self.model.heal()

    def propose_override(self, instance: Instance, step: int) -> None:
        if instance.up and not instance.stopped:
            word = self.source.choice(("cordon", None))
            instance.propose(override_command(step, f"m{self.source.randrange(4)}", word))

    def partition(self) -> None:
        order = self.source.sample(list(self.model.all), len(self.model.all))
        split = self.source.randint(1, len(order) - 1)
        self.model.partition(order[:split], order[split:])

    def lose_store(self, instance: Instance) -> None:
        """Lose the store of a voter, once per voter, of a minority only, and only once the fleet is founded."""
        voters = self.model.voters
        allowed = (len(voters) - 1) // 2
        is_founded = not any(self.model.all[name].disk.is_new for name in voters if name not in self.lost)
        if instance.name not in voters or instance.name in self.lost or len(self.lost) >= allowed:
            return
        if is_founded:
            self.lost.add(instance.name)
            instance.lose_disk()
            instance.start()

    def replay(self) -> None:
        """Deliver some recorded messages again, to the current processes of their receivers."""
        for sender, to, message in self.source.sample(self.sent, min(20, len(self.sent))):
            self.model._deliver(self.model.all[to], sender, message)

    def heal(self) -> None:
        model = self.model
        model.heal()
        model.loss = 0.0
        model.fsync = 0.002
        for instance in model.all.values():
            if instance.stopped:
                instance.resume()
            if not instance.up:
                instance.start()


def random_losses(seed: int, steps: int = 60) -> Invariants:
    """Run commands while instances die, stop, are cut off and lose their stores; then heal and check agreement."""
    source = random.Random(seed)
    model = StateModel(source.choice((3, 5)), seed, founded=source.random() < 0.5)
    model.join(source.choice((0, 1, 2)))
    model.loss, model.duplication = source.choice((0.0, 0.02, 0.1)), source.choice((0.0, 0.1))
    model.delay, model.fsync = source.choice((0.001, 0.04)), source.choice((0.002, 0.06))
    run = LostStoreRun(model, source)
    run.record_messages()
    for instance in model.all.values():
        instance.drift = 1 + source.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) / 2
        instance.start()
    invariants = Invariants(model)
    for step in range(steps):
        run.inject(step)
        for _ in range(source.choice((1, 5, 30))):
            model.run(0.05)
            invariants.check()
    run.heal()
    assert model.until(lambda: model.states_agree() and model.all_may_act(), 30.0) is not None, (
        "not all may act"
    )
    model.all["i0"].propose(override_command(9999))
    assert model.until(lambda: "c9999" in model.all["i0"].ended, 10.0) is not None
    assert model.all["i0"].ended["c9999"].version
    assert model.until(lambda: model.states_agree() and model.all_may_act(), 10.0) is not None, (
        "not all may act"
    )
    invariants.check()
    invariants.check_end()
    return invariants
