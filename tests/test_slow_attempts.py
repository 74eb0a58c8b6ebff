"""Tests of requests whose first attempt is not answered while there is still time for another one."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from daemons import LISTENER, pool, requests_to, route, running_daemon
from peers import OK, TIMEOUT_S, Call, ScriptedBackend, request, resetting, run_with_timeout, running_proxy
from test_crossings import hold_connects, with_limits

from loadbalancer.policy.events import AttemptResult, TimerFired

#: Long enough for a second attempt on a busy machine.
PATIENT = '[[class]]\nname = "c"\naim = "3s"\ndeadline = "6s"\n'


class FirstCallIsSilent:
    """Script shared by several members: the first call gets no answer, later calls do."""

    def __init__(self) -> None:
        self.calls = 0

    async def __call__(self, call: Call) -> None:
        self.calls += 1
        if self.calls > 1:
            await call.say(OK)
        else:
            await call.left()


# Guards against an attempt that is cancelled so that another follows, which then is not sent.
@pytest.mark.parametrize("repeats", ["", 'repeats = { on = ["timeout"] }'])
def test_a_silent_first_attempt_is_followed_by_one_that_is_answered(tmp_path: Path, repeats: str) -> None:
    async def scene() -> None:
        script = FirstCallIsSilent()
        members = [ScriptedBackend(name, script) for name in "abc"]

        def config() -> str:
            return "\n".join((PATIENT, LISTENER, route("r", "p", 'class = "c"'), pool("p", members, repeats)))

        async with running_daemon(tmp_path, members, config) as here:
            assert (await here.ask(requests_to()))[0] == 200
            assert script.calls == 2

    run_with_timeout(scene)


class FirstCallResets:
    """Script shared by several members: the first call is reset, later calls are answered."""

    def __init__(self) -> None:
        self.calls = 0

    async def __call__(self, call: Call) -> None:
        self.calls += 1
        await (resetting(call) if self.calls == 1 else call.say(OK))


# Guards against a request that loses an attempt because its first connection is established late.
@pytest.mark.parametrize("cls", ["safe", "keyed"])
def test_an_attempt_that_is_cancelled_before_its_connection_is_up_costs_no_attempt(
    cls: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        script = FirstCallResets()
        members = [ScriptedBackend(name, script) for name in "abc"]
        connects = hold_connects(monkeypatch)
        limits = with_limits(**{"max-attempts": 2, "second-copies": False, "cancelling": True})
        async with running_proxy(*members, settings=limits) as here:
            client, connects.on = await here.connect(), True
            await client.send(request(cls))
            await asyncio.wait_for(connects.held.wait(), TIMEOUT_S)
            connects.on = False
            (number,) = here.proxy.open
            here.proxy.post(TimerFired(number + 1))
            assert (await client.read())[0] == 200
            results = [outcome.result for outcome in await here.proxy.until_outcomes(3)]
            assert results == [AttemptResult.NOT_SENT, AttemptResult.RESET, AttemptResult.SERVED]

    run_with_timeout(scene)
