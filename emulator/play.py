"""One run of a scenario under a seed, and which build it was of."""

from __future__ import annotations

import hashlib
from functools import cache
from pathlib import Path

from emulator.figures import Result
from emulator.rules import RULES
from emulator.scenario import Scenario
from emulator.world import World


@cache
def build() -> str:
    """Of the decisions and of the model: a digest of their sources, the same wherever they lie."""
    import emulator
    import loadbalancer

    digest = hashlib.blake2b(digest_size=6)
    for package, pattern in ((loadbalancer, "policy/*.py"), (emulator, "*.py")):
        assert package.__file__ is not None
        for path in sorted(Path(package.__file__).parent.glob(pattern)):
            digest.update(path.name.encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()


def play(scenario: Scenario, seed: int, rule: str = "program") -> Result:
    """`rule`: of refusing, by its name in `emulator.rules`; "program" is what the program does."""
    found = World(scenario, seed, RULES[rule]).play().result(seed, build())
    found.rule = rule
    return found
