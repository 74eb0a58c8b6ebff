"""Validation of the `[fleet]` table: all errors are reported at once, with the expected values."""

from __future__ import annotations

from pathlib import Path

import pytest

from loadbalancer.config.plan import load
from loadbalancer.config.reader import ConfigError

BASE_CONFIG = """
[[class]]
name = "c"
aim = "1s"
deadline = "2s"
[[listener]]
name = "l"
address = "127.0.0.1:0"
[[route]]
name = "r"
prefix = "/"
pool = "p"
class = "c"
[[pool]]
name = "p"
member = [{ id = "m", address = "127.0.0.1:9" }]
"""


def load_problems(folder: Path, text: str) -> dict[str, str]:
    """Load a file with this text, and return the error texts by key."""
    path = folder / "micastand.toml"
    path.write_text(text + BASE_CONFIG)
    with pytest.raises(ConfigError) as caught:
        load(path)
    return {problem.key: problem.text for problem in caught.value.problems}


def test_all_errors_of_the_fleet_table_are_reported_at_once(tmp_path: Path) -> None:
    found = load_problems(
        tmp_path,
        """
[process]
instances = 4
[fleet]
name = "a b"
bind = "0.0.0.0:0"
advertise = "unix:/x"
seeds = ["host:1", "10.0.0.1:0"]
key_file = "none"
instances = 8
profile = "fast"
sed = []
""",
    )
    assert set(found) == {"fleet.name", "fleet.profile", "fleet.sed"}
    found = load_problems(
        tmp_path,
        """
[process]
instances = 4
[fleet]
name = "a"
bind = "0.0.0.0:0"
seeds = ["host:1", "10.0.0.1:0"]
key_file = "none"
instances = 8
""",
    )
    assert set(found) == {"fleet.advertise", "fleet.seeds", "fleet.key_file", "process.instances"}
    assert "openssl rand -hex 32" in found["fleet.key_file"]


def test_configured_fleet_size_is_the_initial_instance_count(tmp_path: Path) -> None:
    (tmp_path / "key").write_text("11" * 32)
    path = tmp_path / "micastand.toml"
    path.write_text(
        '[fleet]\nname = "a"\nbind = "127.0.0.1:0"\nadvertise = "127.0.0.1:9"\nkey_file = "key"\ninstances = 8\n'
        + BASE_CONFIG
    )
    plan = load(path)
    assert plan.pools["p"].deployment.settings.instance_count == 8


def test_invalid_voters_and_staleness_limit_are_reported(tmp_path: Path) -> None:
    (tmp_path / "key").write_text("11" * 32)
    found = load_problems(
        tmp_path,
        """
[fleet]
name = "a"
bind = "127.0.0.1:7000"
key_file = "key"
voters = ["a", "a"]
stale_most = "500ms"
""",
    )
    assert set(found) == {"fleet.voters", "fleet.stale_most"}
