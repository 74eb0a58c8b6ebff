"""Commands that the replicated state rejects."""

from __future__ import annotations

import pytest

from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.replication.commands import (
    MAX_BODY_BYTES,
    Command,
    OverrideBody,
    VoterBody,
    write_body,
)
from loadbalancer.fleet.replication.errors import StateError
from loadbalancer.fleet.replication.replicated_state import ReplicatedState


def test_oversized_body_and_invalid_voter_removals_are_rejected() -> None:
    with pytest.raises(StateError, match=f"at most {MAX_BODY_BYTES}"):
        write_body(
            OverrideBody(
                "p",
                {f"member-{number}": AdminOverride(word="drain", reason="r" * 40) for number in range(40)},
            )
        )
    state = ReplicatedState({"a": "", "b": ""})
    with pytest.raises(StateError, match="not on the roster"):
        state.check(Command("x", "roster", write_body(VoterBody("z", ""))))
    state.apply(Command("x", "roster", write_body(VoterBody("b", ""))))
    with pytest.raises(StateError, match="last one"):
        state.check(Command("y", "roster", write_body(VoterBody("a", ""))))
