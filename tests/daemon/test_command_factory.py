"""The translation of operators' changes into commands of the replicated log."""

from __future__ import annotations

from pathlib import Path
from typing import cast

import msgspec
import pytest
from override_targets import RecordingOverrides

from loadbalancer.admin.calls import CallError, Change, ChangeRequest
from loadbalancer.daemon.command_factory import (
    DEFAULT_SOAK_S,
    ChangeTranslator,
    CommandContent,
    CommandNumbering,
)
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.rollout import RequestCounts, RolloutService
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.orchestration.rollout import PlanBody, RolloutPlan, StageBody
from loadbalancer.fleet.replication.commands import (
    FreezeBody,
    MigrationBody,
    OverrideBody,
    RecoverBody,
    VoterBody,
)
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.fleet.wire import Message


def change(verb: str, until: float = 0.0, **fields: object) -> Change:
    request = msgspec.convert({"by": "operator", **fields}, ChangeRequest)
    return Change(verb, request, tuple(request.members), until, None)


def fail_request(name: str, message: Message) -> None:
    raise ConnectionError("not known")


def translator(state: ReplicatedState | None = None) -> ChangeTranslator:
    """Return a translator at instance a, where only the store of instance b is known."""
    rollout = RolloutService(
        cast(DaemonContext, None),
        "a",
        Path("micastand.toml"),
        lambda path, logger: None,
        fail_request,  # type: ignore[arg-type]
        lambda: RequestCounts(0, 0),
        lambda: None,
    )
    store_ids = {"b": "s1"}
    return ChangeTranslator(
        "a", state or ReplicatedState({}), RecordingOverrides(), rollout, lambda name: store_ids.get(name, "")
    )


@pytest.mark.parametrize(
    ("requested", "content"),
    [
        (
            change("drain", 60.0, pool="p", members=["m1"]),
            CommandContent("mark", OverrideBody("p", {"m1": AdminOverride("drain")}, 60.0)),
        ),
        (
            change("move", 5.0, pool="p", other="q", share=0.0),
            CommandContent("move", MigrationBody("p", None, 5.0)),
        ),
        (change("freeze", pool="p"), CommandContent("freeze", FreezeBody("p", True))),
        (change("thaw", pool="p"), CommandContent("freeze", FreezeBody("p", False))),
        (change("fleet/enrol", name="b"), CommandContent("roster", VoterBody("b", "s1"))),
        (change("fleet/expel", name="c"), CommandContent("roster", VoterBody("c", ""))),
        (change("fleet/recover", roster=["a"]), CommandContent("recover", RecoverBody({"a": ""}))),
    ],
    ids=lambda value: value.verb if isinstance(value, Change) else "",
)
def test_a_change_is_translated_into_command_content(requested: Change, content: CommandContent) -> None:
    assert translator().translate(requested) == content


@pytest.mark.parametrize("verb", ["reload", "log", "fleet/restart"])
def test_verbs_outside_the_replicated_state_are_not_translated(verb: str) -> None:
    assert translator().translate(change(verb)) is None


@pytest.mark.parametrize(
    ("requested", "status", "text"),
    [
        (change("fleet/enrol", name="c"), 409, "'c' has not said where its votes are kept"),
        (change("fleet/halt"), 409, "no roll-out is under way"),
        (change("fleet/back"), 409, "no roll-out is under way"),
        (change("fleet/rollout", path="new.toml"), 400, "an absolute path is wanted"),
        (change("fleet/rollout", path="/no/such/file.toml"), 400, "No such file"),
    ],
)
def test_a_change_that_can_not_be_applied_is_rejected_with_its_status(
    requested: Change, status: int, text: str
) -> None:
    with pytest.raises(CallError, match=text) as caught:
        translator().translate(requested)

    assert caught.value.status == status


@pytest.mark.parametrize(("verb", "stage"), [("fleet/halt", "halted"), ("fleet/back", "back")])
def test_halt_and_back_propose_the_next_stage_of_the_rollout(verb: str, stage: str) -> None:
    state = ReplicatedState({})
    state.rollout_plan = RolloutPlan("r1", "d", "a", 5.0, "quarter", old_bad=0.25)

    content = translator(state).translate(change(verb))

    assert content == CommandContent("stage", StageBody("r1", "quarter", stage, "by operator", 0.25))


def test_a_rollout_identifies_the_file_by_its_digest(tmp_path: Path) -> None:
    file = tmp_path / "new.toml"
    file.write_text("[process]\n")

    content = translator().translate(change("fleet/rollout", path=str(file)))

    assert content is not None and isinstance(content.body, PlanBody)
    assert content.kind == "plan"
    assert (content.body.id, content.body.origin, content.body.soak) == ("r1", "a", DEFAULT_SOAK_S)
    assert len(content.body.digest) == 32


def test_commands_get_consecutive_identifiers() -> None:
    numbering = CommandNumbering("a-1f")
    content = CommandContent("freeze", FreezeBody("p", True))

    commands = [numbering.command(content, "operator", "disk") for _ in range(2)]

    assert [command.id for command in commands] == ["a-1f-1", "a-1f-2"]
    assert {(command.kind, command.by, command.reason) for command in commands} == {
        ("freeze", "operator", "disk")
    }
