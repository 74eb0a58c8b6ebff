"""The conditions on sending an attempt, each asked before its first byte and until its last one has arrived."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Callable, cast

import pytest
from peers import ScriptedBackend, request, run_with_timeout, running_proxy

from loadbalancer.policy.events import AttemptResult
from loadbalancer.proxy.open_requests import NO_ATTEMPT
from loadbalancer.proxy.send_permission import SendPermission


@dataclass
class Scene:
    """An attempt and the conditions on it, all of which hold at first."""

    done: bool = False
    client_has_left: bool = False
    stream: object = None
    streaming_attempt: int = NO_ATTEMPT
    id: int = 1
    number: int = 0
    answered_at: float = 0.0
    endpoint: str = "a"
    may_send: bool = True
    may_complete: bool = True
    has_lease: bool = True
    override: AttemptResult | None = None
    asked_until: list[float] = field(default_factory=list)

    @property
    def request(self) -> Scene:
        return self

    @property
    def client(self) -> Scene:
        return self

    def has_left(self) -> bool:
        return self.client_has_left

    def may_send_attempt(self, now: float, request: int, attempt: int) -> bool:
        return self.may_send

    def may_complete_attempt(self, now: float, request: int, attempt: int) -> bool:
        self.asked_until.append(now)
        return self.may_complete

    def permission(self) -> SendPermission:
        permission = SendPermission(cast(Any, self), lambda: 10.0)
        permission.may_act = lambda: self.has_lease
        permission.guard = lambda endpoint: self.override if endpoint == self.endpoint else None
        return permission


def set_to(**values: object) -> Callable[[Scene], None]:
    def change(scene: Scene) -> None:
        for name, value in values.items():
            setattr(scene, name, value)

    return change


@pytest.mark.parametrize(
    ("change", "before", "once_connected", "may_arrive"),
    [
        (set_to(), None, None, True),
        (set_to(done=True), AttemptResult.NOT_SENT, AttemptResult.NOT_SENT, False),
        (set_to(client_has_left=True), AttemptResult.NOT_SENT, AttemptResult.NOT_SENT, False),
        (set_to(has_lease=False), AttemptResult.NOT_SENT, AttemptResult.NOT_SENT, False),
        (
            set_to(override=AttemptResult.NO_CONNECTION),
            AttemptResult.NO_CONNECTION,
            AttemptResult.NO_CONNECTION,
            True,
        ),
        (set_to(may_send=False), None, AttemptResult.NOT_SENT, True),
        (set_to(may_complete=False), None, None, False),
        (set_to(stream=object(), streaming_attempt=1), None, None, False),
        (set_to(stream=object(), streaming_attempt=0, may_complete=False), None, None, True),
        (set_to(answered_at=9.0, may_complete=False), None, None, True),
    ],
    ids=[
        "all hold", "answered", "client left", "no lease", "override", "drain or window", "window while sending",
        "another answers", "this one answers", "endpoint has answered",
    ],
)  # fmt: skip
def test_each_condition_is_asked_at_each_step(
    change: Callable[[Scene], None],
    before: AttemptResult | None,
    once_connected: AttemptResult | None,
    may_arrive: bool,
) -> None:
    """Guards against a condition on sends that one of the steps on the way does not ask for."""
    scene = Scene()
    change(scene)
    permission, attempt = scene.permission(), cast(Any, scene)
    assert permission.find_obstacle(attempt, late=False) == before
    assert permission.find_obstacle(attempt, late=True) == once_connected
    assert permission.may_arrive(attempt, 0.5) is may_arrive
    assert scene.asked_until in ([], [10.5])


def test_no_attempt_begins_after_the_lease_has_ended() -> None:
    """Guards against a retry at another endpoint by an instance that has lost its lease."""

    async def scene() -> None:
        members = [ScriptedBackend("a"), ScriptedBackend("b")]
        async with running_proxy(*members) as here:

            async def lose_lease(call: Any) -> None:
                here.proxy.permission.may_act = lambda: False
                call.reset()

            for member in members:
                member.scripts = [lose_lease]
            client = await here.connect()
            assert (await client.ask(request("safe")))[0] == 503
            assert sum(len(member.calls) for member in members) == 1

    run_with_timeout(scene)
