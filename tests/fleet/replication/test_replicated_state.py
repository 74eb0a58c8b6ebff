"""What the replicated state rejects."""

from __future__ import annotations

import pytest

from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.replication.commands import MAX_BODY_BYTES, Command, MarkBody, RosterBody, write_body
from loadbalancer.fleet.replication.errors import StateError
from loadbalancer.fleet.replication.replicated_state import ReplicatedState


def test_what_is_said_is_bounded_and_checked() -> None:
    with pytest.raises(StateError, match=f"at most {MAX_BODY_BYTES}"):
        write_body(
            MarkBody("p", {f"member-{n}": AdminOverride(word="drain", reason="r" * 40) for n in range(40)})
        )
    said = ReplicatedState({"a": "", "b": ""})
    with pytest.raises(StateError, match="not on the roster"):
        said.check(Command("x", "roster", write_body(RosterBody("z", ""))))
    said.apply(Command("x", "roster", write_body(RosterBody("b", ""))))
    with pytest.raises(StateError, match="last one"):
        said.check(Command("y", "roster", write_body(RosterBody("a", ""))))
