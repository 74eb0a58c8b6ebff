"""Tests of the order of decisions and of the policy as a whole."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
from policy_scene import (
    HASTY,
    PATIENT,
    end_attempt,
    make_balancer,
    make_entries,
    send_request,
)

from loadbalancer.policy.actions import (
    Send,
    SetTimer,
)
from loadbalancer.policy.endpoints import Endpoint
from loadbalancer.policy.events import (
    BodyProgress,
    Request,
    TimerFired,
)


def test_attempt_timeout_is_capped_by_the_time_remaining() -> None:
    balancer = make_balancer(*make_entries(3))
    send = next(a for a in send_request(balancer, 100.0, 1, time_remaining=0.3) if isinstance(a, Send))
    assert send.timeout <= 0.3


def test_the_same_seed_gives_the_same_actions() -> None:
    def run() -> list[Any]:
        balancer = make_balancer(*make_entries(20), seed=5)
        return [send_request(balancer, 100.0 + n / 50, n, class_index=n % 3) for n in range(200)]

    assert run() == run()


def test_an_outcome_of_an_attempt_never_sent_is_an_error() -> None:
    balancer = make_balancer(*make_entries(1))
    with pytest.raises(LookupError, match="never sent"):
        end_attempt(balancer, 100.0, 9, "s0")


def test_the_deploy_file_names_every_file_of_the_policy() -> None:
    root = Path(__file__).parent.parent.parent
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    policy_files = {
        f"loadbalancer/policy/{path.name}" for path in (root / "loadbalancer" / "policy").glob("*.py")
    }
    assert set(deploy["policy"]) == policy_files
    lines = [line for name in policy_files for line in (root / name).read_text(encoding="utf-8").splitlines()]
    assert max(map(len, lines)) <= 110
    assert isinstance(Endpoint.__slots__, tuple)


def test_incomplete_body_starts_no_timeout_and_is_not_in_flight() -> None:
    balancer = make_balancer(*make_entries(1), classes=(HASTY, PATIENT))
    (sent,) = [
        a for a in balancer.handle(100.0, [Request(1, 0, 0.5, body_pending=True)]) if isinstance(a, Send)
    ]
    assert sent.timeout == pytest.approx(0.15 - balancer.settings.rules.answer_slack)
    (endpoint,) = balancer.ready
    assert not endpoint.in_flight and endpoint.responding == {(1, 0)}
    assert balancer.handle(160.0, [TimerFired(2)]) == []  # no hedged request while the body is incomplete
    actions = balancer.handle(160.0, [BodyProgress(1, True, False)])
    assert list(endpoint.in_flight.items()) == [((1, 0), 160.0)] and not endpoint.responding
    assert [a.delay for a in actions if isinstance(a, SetTimer)] == [pytest.approx(sent.timeout / 2)]
    assert balancer.requests[1].deadline == pytest.approx(160.5)
    assert balancer.handle(160.1, [TimerFired(2)]) == []  # nor if the body is not buffered
