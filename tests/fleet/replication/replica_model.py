"""Random faults over a model of several replicas, and the invariants that must always hold."""

from __future__ import annotations

import random
from typing import Any

from emulator.fleetstate import StateModel
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.replication.commands import Command, OverrideBody, write_body
from loadbalancer.fleet.replication.lease import MAX_CLOCK_DRIFT


def override_command(number: int, member: str = "m", word: Any = "cordon") -> Command:
    """Return the command `c<number>`, which sets an override, or lifts it if `word` is None."""
    body = OverrideBody("p", {member: AdminOverride(word=word) if word else None})
    return Command(f"c{number}", "mark", write_body(body), "test")


def started_model(voters: int, seed: int) -> StateModel:
    """Return a model in which all instances are running."""
    model = StateModel(voters, seed)
    for instance in model.all.values():
        instance.start()
    return model


class Invariants:
    """Invariants that must hold at all times.

    There is one order of commands; no command that was reported as decided is lost; and no instance may act on an older
    version once the lease duration after a decision is over.
    """

    def __init__(self, model: StateModel) -> None:
        self.model = model
        self.order: dict[int, str] = {}
        self.decided: dict[str, tuple[int, float]] = {}  # by command: its version, and when it was reported
        self.refused: set[str] = set()

    def check(self) -> None:
        """Check the invariants that hold at any time."""
        now = self.model.clock.now
        for instance in self.model.all.values():
            if not instance.lives:
                continue
            for version, command in instance.replica.command_log.items():
                assert self.order.setdefault(version, command.id) == command.id, (
                    f"two orders at version {version}"
                )
            for completed in instance.ended.values():
                if completed.version:
                    self.decided.setdefault(completed.command_id, (completed.version, now))
                elif "does not stand" in completed.reason:
                    self.refused.add(completed.command_id)
        for instance in self.model.up:
            if instance.lease.may_act(instance.clock()):
                for version, reported_at in self.decided.values():
                    allowed = instance.lease.expiry_with_drift + 0.1
                    assert instance.replica.state.version >= version or now < reported_at + allowed, (
                        f"{instance.name} acts on version {instance.replica.state.version}, older than {version}"
                    )

    def check_end(self) -> None:
        """Check the invariants that hold once all faults are healed."""
        log = self.model.up[0].replica.command_log
        ids = {command.id for command in log.values()}
        assert all(log[version].id == name for name, (version, _) in self.decided.items())
        assert not self.refused & ids, f"rejected commands were decided: {self.refused & ids}"
        decided_ids = [command.id for command in log.values() if command.id]
        assert len(decided_ids) == len(set(decided_ids)), "a command was decided twice"


def inject_fault(model: StateModel, source: random.Random, step: int, lost: list[str]) -> None:
    """Inject one random fault or command; at most one disk is lost per run, since two exceed the guarantee."""
    instance = source.choice(list(model.all.values()))
    fault = source.choice(("change", "change", "change", "kill", "stop", "part", "heal", "lose"))
    if fault == "change" and instance.up and not instance.stopped:
        instance.propose(override_command(step, f"m{source.randrange(4)}", source.choice(("cordon", None))))
    elif fault == "kill":
        instance.kill() if instance.up else instance.start()
    elif fault == "stop" and instance.up:
        instance.resume() if instance.stopped else instance.stop()
    elif fault == "part":
        order = source.sample(model.voters, len(model.voters))
        split = source.randint(1, len(order) - 1)
        model.partition(order[:split], order[split:])
    elif fault == "lose" and not lost and len(model.up) == len(model.all):
        lost.append(instance.name)
        instance.lose_disk()
        instance.start()
    else:
        model.heal()


def random_faults(seed: int, steps: int = 60) -> Invariants:
    """Run commands while instances are killed, stopped and cut off; then heal everything and check agreement."""
    source = random.Random(seed)
    model = StateModel(5, seed)
    model.loss, model.duplication = source.choice((0.0, 0.02, 0.1)), source.choice((0.0, 0.1))
    model.delay, model.fsync = (
        source.choice((0.001, 0.04)),
        source.choice((0.002, 0.06)),
    )  # long enough that a process may die in between
    for instance in model.all.values():
        instance.drift = 1 + source.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) / 2
        instance.start()
    invariants, lost = Invariants(model), list[str]()
    for step in range(steps):
        inject_fault(model, source, step, lost)
        for _ in range(source.choice((1, 5, 30))):
            model.run(0.05)
            invariants.check()
    model.heal()
    model.loss = 0.0
    for instance in model.all.values():
        if instance.stopped:
            instance.resume()
        if not instance.up:
            instance.start()
    assert model.until(model.states_agree, 10.0) is not None, (
        "the instances do not agree on one state within 10 s"
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
