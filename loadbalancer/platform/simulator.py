"""The adapter: the simulator's wire on standard input and output, one Balancer an instance.

Wire words, JSON, numbered lists and routing to instances live here, and no decision.
"""

from __future__ import annotations

import base64
import sys
from typing import Any, BinaryIO, Callable, Mapping, NoReturn

import orjson

from loadbalancer.deployment import read_settings
from loadbalancer.policy.actions import (
    Cancel,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    LogMessage,
    ProbeEndpoint,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    WatchEndpoints,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    ClientCancelled,
    EndpointEntry,
    EndpointList,
    EndpointState,
    Event,
    FirstByte,
    Outcome,
    PeerMessage,
    ProbeResult,
    Request,
    TimerFired,
)

MODES = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.GONE,
}
RESULTS = {
    "served": AttemptResult.SERVED,
    "server_error": AttemptResult.ERROR,
    "turned_away": AttemptResult.FULL,
    "no_answer": AttemptResult.TIMEOUT,
    "no_connection": AttemptResult.NO_CONNECTION,
    "connection_lost": AttemptResult.RESET,
    "called_off": AttemptResult.CANCELLED,
    "not_sent": AttemptResult.NOT_SENT,
}


def _entry(box: Mapping[str, Any]) -> EndpointEntry:
    return EndpointEntry(
        endpoint=box["backend"],
        zone=box.get("area", 0),
        cell=box.get("bay", 0),
        kind=box.get("shape", 0),
        state=MODES[box.get("mode", "ready")],
        weight=box.get("weight", 1.0),
        started=box.get("ready-at-s", 0.0),
    )


def _request(box: Mapping[str, Any]) -> Request:
    get = box.get
    return Request(
        box["job"],
        get("type", 0),
        get("left-s", 0.0),
        get("project", 0),
        get("name-key"),
        get("weight-hint-s"),
        get("retry", False),
        get("update", False),
    )


def _outcome(box: Mapping[str, Any]) -> Outcome:
    get = box.get
    return Outcome(
        box["job"],
        get("shot", 0),
        box["backend"],
        RESULTS[box["reason"]],
        get("duration-s", 0.0),
        get("closed", False),
        get("metrics"),
    )


EVENTS: dict[str, Callable[[Mapping[str, Any]], Event]] = {
    "response": _outcome,
    "ingress": _request,
    "timeout-fired": lambda box: TimerFired(box["mark"]),
    "withdrawn": lambda box: ClientCancelled(box["job"]),
    "ack-first": lambda box: FirstByte(
        box["job"], box.get("shot", 0), box["backend"], box.get("duration-s", 0.0)
    ),
    "echo": lambda box: ProbeResult(
        box["backend"], RESULTS[box["reason"]], box.get("duration-s", 0.0), box.get("metrics")
    ),
    "from-peer": lambda box: PeerMessage(box["sender"], base64.b64decode(box["octets"])),
}

ACTIONS: dict[type, Callable[[int, Any], dict[str, Any]]] = {
    Send: lambda p, a: {
        "verb": "route", "proxy": p, "job": a.request, "cap-s": a.timeout, "backend": a.endpoint
    },
    SetTimer: lambda p, a: {
        "verb": "wake-me", "proxy": p, "mark": a.token, "after-s": a.delay
    },
    Fail: lambda p, a: {"verb": "report-failure", "proxy": p, "job": a.request},
    Reject: lambda p, a: {
        "verb": "turn-away", "proxy": p, "job": a.request, "wait-s": a.retry_after
    },
    Cancel: lambda p, a: {
        "verb": "revoke", "proxy": p, "job": a.request, "shot": a.attempt
    },
    WatchEndpoints: lambda p, a: {"verb": "watch", "proxy": p, "want": a.enabled},
    FetchEndpoints: lambda p, a: {"verb": "resolve", "proxy": p},
    ProbeEndpoint: lambda p, a: {"verb": "test", "proxy": p, "backend": a.endpoint},
    CloseIdleConnections: lambda p, a: {"verb": "shut-idle", "proxy": p, "backend": a.endpoint},
    SendPeerMessage: lambda p, a: {
        "verb": "tell", "proxy": p, "to": a.to, "octets": base64.b64encode(a.payload).decode()
    },
    LogMessage: lambda p, a: {"verb": "remark", "proxy": p, "text": a.text},
}  # fmt: skip


class SimulatorSession:
    """Routes batches to the instances that this process hosts."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.tables: dict[int, tuple[EndpointEntry, ...]] = {}

    def reply(self, batch: Mapping[str, Any]) -> dict[str, Any]:
        pending: dict[int, list[Event]] = {}
        output: list[dict[str, Any]] = []
        try:
            for box in batch["inbox"]:
                self._sort(box, pending)
        except Exception as problem:  # the day must end with the reason, not with a hang
            first = batch["inbox"][0].get("proxy", 0) if batch["inbox"] else 0
            return self._answer(batch, [_fault(first, problem)])
        now = batch["ts-s"]
        for proxy, events in pending.items():
            try:
                for action in self.instances[proxy].handle(now, events):
                    output.append(ACTIONS[type(action)](proxy, action))
            except Exception as problem:
                output.append(_fault(proxy, problem))
        return self._answer(batch, output)

    def _answer(self, batch: Mapping[str, Any], output: list[dict[str, Any]]) -> dict[str, Any]:
        return {"seq": batch["seq"], "output": output}

    def _sort(self, box: Mapping[str, Any], pending: dict[int, list[Event]]) -> None:
        """Translate one event and put it with those of its instance."""
        verb = box["verb"]
        reader = EVENTS.get(verb)
        if reader is not None:
            pending.setdefault(box["proxy"], []).append(reader(box))
        elif verb == "register":
            self.tables[box["table"]] = tuple(map(_entry, box["hosts"]))
        elif verb == "fleet":
            pending.setdefault(box["proxy"], []).append(self._list(box))
        elif verb == "born":
            settings = read_settings(box["boot-info"])
            self.instances[box["proxy"]] = Balancer(settings, box["nonce64"])
            pending[box["proxy"]] = []
        elif verb == "killed":  # what it had pending dies with it
            self.instances.pop(box["proxy"], None)
            pending.pop(box["proxy"], None)

    def _list(self, box: Mapping[str, Any]) -> EndpointList:
        form = box["form"]
        if form == "broken":
            return EndpointList(failed=True)
        return EndpointList(self.tables[box["table"]], form != "patch", False, form == "stale_copy")


def _fault(proxy: int, problem: Exception) -> dict[str, Any]:
    return {"verb": "fault", "proxy": proxy, "text": f"{type(problem).__name__}: {problem}"}


def _stop(reason: str) -> NoReturn:
    sys.stderr.write(f"micastand: {reason}\n")
    raise SystemExit(2)


def _read(line: bytes) -> Mapping[str, Any]:
    try:
        batch = orjson.loads(line)
    except orjson.JSONDecodeError as problem:
        _stop(f"a line on standard input is not JSON: {problem}")
    if not isinstance(batch, dict) or "seq" not in batch or "ts-s" not in batch:
        _stop("a line on standard input is not a batch: seq or ts-s is missing")
    boxes = batch.get("inbox")
    if not isinstance(boxes, list) or not all(isinstance(box, dict) for box in boxes):
        _stop("a line on standard input is not a batch: inbox is not a list of events")
    return batch


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    link = SimulatorSession()
    for line in source:
        if line.strip():
            sink.write(orjson.dumps(link.reply(_read(line))) + b"\n")
            sink.flush()


def main() -> None:
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except BrokenPipeError:
        _stop("standard output was closed")


if __name__ == "__main__":
    main()
