"""Random faults over a model of several replicas, and what must hold whatever happens."""

from __future__ import annotations

import random
from typing import Any

from emulator.fleetstate import StateModel
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.replication.commands import Command, MarkBody, write_body
from loadbalancer.fleet.replication.lease import MAX_CLOCK_DRIFT


def override_command(number: int, member: str = "m", word: Any = "cordon") -> Command:
    """The command `c<number>`, which sets an override, or lifts it for no word."""
    body = MarkBody("p", {member: AdminOverride(word=word) if word else None})
    return Command(f"c{number}", "mark", write_body(body), "test")


def started_model(voters: int, seed: int) -> StateModel:
    """A model of which all instances run."""
    model = StateModel(voters, seed)
    for instance in model.all.values():
        instance.start()
    return model


class Invariants:
    """What must hold at all times.

    There is one order; no command is lost that was said to be decided; and nobody may act on an older version once the
    lease duration after a decision is over.
    """

    def __init__(self, model: StateModel) -> None:
        self.model = model
        self.order: dict[int, str] = {}
        self.decided: dict[str, tuple[int, float]] = {}  # by command: its version, and when that was told
        self.refused: set[str] = set()

    def check(self) -> None:
        """At any time."""
        now = self.model.clock.now
        for instance in self.model.all.values():
            if not instance.lives:
                continue
            for version, command in instance.versions.command_log.items():
                assert self.order.setdefault(version, command.id) == command.id, (
                    f"two orders at version {version}"
                )
            for completed in instance.ended.values():
                if completed.version:
                    self.decided.setdefault(completed.command_id, (completed.version, now))
                elif "does not stand" in completed.reason:
                    self.refused.add(completed.command_id)
        for instance in self.model.up:
            if instance.fence.may_act(instance.clock()):
                for version, told_at in self.decided.values():
                    allowed = instance.fence.expiry_with_drift + 0.1
                    assert instance.versions.state.version >= version or now < told_at + allowed, (
                        f"{instance.name} acts on an old one"
                    )

    def check_end(self) -> None:
        """After all has healed."""
        log = self.model.up[0].versions.command_log
        ids = {command.id for command in log.values()}
        assert all(log[version].id == name for name, (version, _) in self.decided.items())
        assert not self.refused & ids, "a change that was refused stands"
        found = [command.id for command in log.values() if command.id]
        assert len(found) == len(set(found)), "a change stands twice"


def inject_fault(model: StateModel, source: random.Random, step: int, lost: list[str]) -> None:
    """One thing that may happen; only one disk of a run is lost, since two would be more than is promised."""
    instance = source.choice(list(model.all.values()))
    what = source.choice(("change", "change", "change", "kill", "stop", "part", "heal", "lose"))
    if what == "change" and instance.up and not instance.stopped:
        instance.propose(override_command(step, f"m{source.randrange(4)}", source.choice(("cordon", None))))
    elif what == "kill":
        instance.kill() if instance.up else instance.start()
    elif what == "stop" and instance.up:
        instance.go_on() if instance.stopped else instance.stop()
    elif what == "part":
        order = source.sample(model.voters, len(model.voters))
        at = source.randint(1, len(order) - 1)
        model.part(order[:at], order[at:])
    elif what == "lose" and not lost and len(model.up) == len(model.all):
        lost.append(instance.name)
        instance.lose_disk()
        instance.start()
    else:
        model.heal()


def random_faults(seed: int, steps: int = 60) -> Invariants:
    """Commands at random instances while others are killed, stopped, cut off and healed; then all heals and agrees."""
    source = random.Random(seed)
    model = StateModel(5, seed)
    model.loss, model.doubled = source.choice((0.0, 0.02, 0.1)), source.choice((0.0, 0.1))
    model.delay, model.fsync = (
        source.choice((0.001, 0.04)),
        source.choice((0.002, 0.06)),
    )  # wide enough to die in
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
            instance.go_on()
        if not instance.up:
            instance.start()
    assert model.until(model.agree, 10.0) is not None, "no agreement"
    model.all["i0"].propose(override_command(9999))
    assert model.until(lambda: "c9999" in model.all["i0"].ended, 10.0) is not None
    assert model.all["i0"].ended["c9999"].version
    assert model.until(lambda: model.agree() and model.open(), 10.0) is not None, "not all may act"
    invariants.check()
    invariants.check_end()
    return invariants
