"""Tests of the simulator adapter on small batches of events."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from typing import Any

import pytest

from loadbalancer.deployment import read_settings
from loadbalancer.platform.simulator import SimulatorSession, run

SETTINGS: dict[str, Any] = {
    "me": 0, "n-instances": 2, "zones": ["a"], "locality": 0, "registry-mode": "automatic",
    "classes": [{"name": "c", "aim-s": 1.0, "give-up-s": 2.0, "worth": 1.0, "effect": "read_like"}],
    "policy-limits": {"max-attempts": 3, "second-copies": True, "cancelling": True},
    "rules": {"answer-slack-s": 0.02, "drain-grace-s": 1.0, "cold-from": 0.3, "cold-s": 5.0,
              "overload-factor": 2.5, "fall-s": 2.0},
}  # fmt: skip


def hosts(*names: str) -> list[dict[str, Any]]:
    return [{"backend": n, "mode": "ready", "weight": 1, "new": 1} for n in names]


def start_events(proxy: int, *names: str) -> list[dict[str, Any]]:
    return [
        {"verb": "born", "proxy": proxy, "nonce64": 7, "boot-info": SETTINGS},
        {"verb": "register", "table": 0, "hosts": hosts(*names)},
        {"verb": "fleet", "proxy": proxy, "index": 1, "table": 0, "form": "stale_copy"},
    ]


def ingress(proxy: int, job: int) -> dict[str, Any]:
    return {"verb": "ingress", "proxy": proxy, "job": job, "left-s": 2.0, "type": 0}


def reply_to(session: SimulatorSession, *events: dict[str, Any], now: float = 1.0) -> list[dict[str, Any]]:
    output: list[dict[str, Any]] = session.reply({"ts-s": now, "seq": 1, "inbox": list(events)})["output"]
    return output


def routed_backends(actions: list[dict[str, Any]]) -> dict[int, str]:
    return {a["proxy"]: a["backend"] for a in actions if a["verb"] == "route"}


def test_a_table_number_reused_in_a_batch_applies_in_order() -> None:
    out = reply_to(
        SimulatorSession(), *start_events(0, "x"), *start_events(1, "y"), ingress(0, 1), ingress(1, 2)
    )
    assert routed_backends(out) == {0: "x", 1: "y"}


def test_a_proxy_killed_and_started_in_one_batch_keeps_no_state() -> None:
    session = SimulatorSession()
    reply_to(session, *start_events(0, "x"))
    out = reply_to(
        session, ingress(0, 1), {"verb": "killed", "proxy": 0}, *start_events(0, "z"), ingress(0, 2)
    )
    assert [a["job"] for a in out if a["verb"] == "route"] == [2]
    assert routed_backends(out) == {0: "z"}


def test_unknown_events_fields_and_report_values_are_skipped() -> None:
    session = SimulatorSession()
    reply_to(session, *start_events(0, "x"), {"verb": "unheard_of", "proxy": 0}, {**ingress(0, 1), "odd": []})
    done = {
        "verb": "response",
        "proxy": 0,
        "job": 1,
        "shot": 0,
        "backend": "x",
        "reason": "served",
        "closed": True,
        "duration-s": 0.1,
        "metrics": {"x9": 3, "utilization": "much"},
    }
    assert all(a["verb"] != "fault" for a in reply_to(session, done))
    assert reply_to(session, {"verb": "withdrawn", "proxy": 0, "job": 1}) == []


def test_an_exception_in_the_policy_is_reported_as_a_fault_with_its_text() -> None:
    session = SimulatorSession()
    reply_to(session, *start_events(0, "x"))
    bad = {"verb": "response", "proxy": 0, "job": 9, "shot": 0, "backend": "x", "reason": "served"}
    (fault,) = reply_to(session, bad)
    assert fault["verb"] == "fault" and "never sent" in fault["text"]


def test_invalid_settings_are_named_in_the_error() -> None:
    with pytest.raises(ValueError, match="policy-limits.max-attempts: missing"):
        read_settings({**SETTINGS, "policy-limits": {}})
    with pytest.raises(ValueError, match="classes.effect: 'odd'"):
        read_settings({**SETTINGS, "classes": [{**SETTINGS["classes"][0], "effect": "odd"}]})


@pytest.mark.parametrize("line", [b"{", b"[1]", b'{"seq":1,"ts-s":1}', b'{"seq":1,"ts-s":1,"inbox":[3]}'])
def test_a_malformed_line_ends_the_process_with_a_one_line_error(line: bytes) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "loadbalancer.platform.simulator"],
        input=line + b"\n",
        capture_output=True,
        check=False,
    )
    assert done.returncode != 0 and done.stdout == b""
    assert done.stderr.count(b"\n") == 1 and b"Traceback" not in done.stderr


def test_the_output_does_not_depend_on_the_hash_seed() -> None:
    events = [*start_events(0, *[f"s{i}" for i in range(30)]), *[ingress(0, n) for n in range(50)]]
    line = json.dumps({"ts-s": 1.0, "seq": 1, "inbox": events}).encode() + b"\n"
    outputs = []
    for seed in ("1", "2"):
        done = subprocess.run(
            [sys.executable, "-m", "loadbalancer.platform.simulator"],
            input=line,
            capture_output=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        )
        outputs.append(done.stdout)
    here = io.BytesIO()
    run(io.BytesIO(line), here)
    assert outputs[0] == outputs[1] == here.getvalue() != b""
