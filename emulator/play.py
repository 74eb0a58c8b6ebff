"""Runs a scenario under a seed and identifies the build that was run."""

from __future__ import annotations

import hashlib
from functools import cache
from pathlib import Path

from emulator.figures import Result
from emulator.rules import RULES
from emulator.scenario import Scenario
from emulator.world import Simulation


@cache
def build() -> str:
    """Return a digest of the sources of the policy and of the emulator, independent of where they are installed."""
    import emulator
    import loadbalancer

    digest = hashlib.blake2b(digest_size=6)
    for package, pattern in ((loadbalancer, "policy/*.py"), (emulator, "*.py")):
        assert package.__file__ is not None
        for path in sorted(Path(package.__file__).parent.glob(pattern)):
            digest.update(path.name.encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()


def play(scenario: Scenario, seed: int, rule: str = "program") -> Result:
    """Run a scenario with a shedding rule of `emulator.rules`; "program" is the rule of the product."""
    result = Simulation(scenario, seed, RULES[rule]).play().result(seed, build())
    result.rule = rule
    return result
