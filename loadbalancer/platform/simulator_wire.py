"""The simulator's wire format of events and actions; each is a JSON object with a `verb`.

The names of the wire format are defined only here. A reader converts an object to an event of the policy, a writer
converts an action to an object.
"""

from __future__ import annotations

import base64
from typing import Any, Callable, Mapping

from loadbalancer.policy.actions import (
    Action,
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
from loadbalancer.policy.events import (
    AttemptResult,
    ClientCancelled,
    EndpointEntry,
    EndpointState,
    Event,
    FirstByte,
    Outcome,
    PeerMessage,
    ProbeResult,
    Request,
    TimerFired,
)

#: A JSON object.
JsonObject = Mapping[str, Any]

STATES = {
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


def read_endpoint(host: JsonObject) -> EndpointEntry:
    """Convert one entry of a table of endpoints."""
    return EndpointEntry(
        endpoint=host["backend"],
        zone=host.get("area", 0),
        cell=host.get("bay", 0),
        kind=host.get("shape", 0),
        state=STATES[host.get("mode", "ready")],
        weight=host.get("weight", 1.0),
        started=host.get("ready-at-s", 0.0),
    )


def _read_request(event: JsonObject) -> Request:
    return Request(
        event["job"],
        event.get("type", 0),
        event.get("left-s", 0.0),
        event.get("project", 0),
        event.get("name-key"),
        event.get("weight-hint-s"),
        event.get("retry", False),
        event.get("update", False),
    )


def _read_outcome(event: JsonObject) -> Outcome:
    return Outcome(
        event["job"],
        event.get("shot", 0),
        event["backend"],
        RESULTS[event["reason"]],
        event.get("duration-s", 0.0),
        event.get("closed", False),
        event.get("metrics"),
    )


def _read_timer_fired(event: JsonObject) -> TimerFired:
    return TimerFired(event["mark"])


def _read_client_cancelled(event: JsonObject) -> ClientCancelled:
    return ClientCancelled(event["job"])


def _read_first_byte(event: JsonObject) -> FirstByte:
    return FirstByte(event["job"], event.get("shot", 0), event["backend"], event.get("duration-s", 0.0))


def _read_probe_result(event: JsonObject) -> ProbeResult:
    return ProbeResult(
        event["backend"], RESULTS[event["reason"]], event.get("duration-s", 0.0), event.get("metrics")
    )


def _read_peer_message(event: JsonObject) -> PeerMessage:
    return PeerMessage(event["sender"], base64.b64decode(event["octets"]))


#: Readers of the events that are passed to the policy, by verb.
EVENT_READERS: Mapping[str, Callable[[JsonObject], Event]] = {
    "response": _read_outcome,
    "ingress": _read_request,
    "timeout-fired": _read_timer_fired,
    "withdrawn": _read_client_cancelled,
    "ack-first": _read_first_byte,
    "echo": _read_probe_result,
    "from-peer": _read_peer_message,
}


def _write_send(proxy: int, action: Send) -> JsonObject:
    return {
        "verb": "route",
        "proxy": proxy,
        "job": action.request,
        "cap-s": action.timeout,
        "backend": action.endpoint,
    }


def _write_set_timer(proxy: int, action: SetTimer) -> JsonObject:
    return {"verb": "wake-me", "proxy": proxy, "mark": action.token, "after-s": action.delay}


def _write_fail(proxy: int, action: Fail) -> JsonObject:
    return {"verb": "report-failure", "proxy": proxy, "job": action.request}


def _write_reject(proxy: int, action: Reject) -> JsonObject:
    return {"verb": "turn-away", "proxy": proxy, "job": action.request, "wait-s": action.retry_after}


def _write_cancel(proxy: int, action: Cancel) -> JsonObject:
    return {"verb": "revoke", "proxy": proxy, "job": action.request, "shot": action.attempt}


def _write_watch_endpoints(proxy: int, action: WatchEndpoints) -> JsonObject:
    return {"verb": "watch", "proxy": proxy, "want": action.enabled}


def _write_fetch_endpoints(proxy: int, _: FetchEndpoints) -> JsonObject:
    return {"verb": "resolve", "proxy": proxy}


def _write_probe_endpoint(proxy: int, action: ProbeEndpoint) -> JsonObject:
    return {"verb": "test", "proxy": proxy, "backend": action.endpoint}


def _write_close_idle_connections(proxy: int, action: CloseIdleConnections) -> JsonObject:
    return {"verb": "shut-idle", "proxy": proxy, "backend": action.endpoint}


def _write_send_peer_message(proxy: int, action: SendPeerMessage) -> JsonObject:
    octets = base64.b64encode(action.payload).decode()
    return {"verb": "tell", "proxy": proxy, "to": action.to, "octets": octets}


def _write_log_message(proxy: int, action: LogMessage) -> JsonObject:
    return {"verb": "remark", "proxy": proxy, "text": action.text}


#: The writers of actions, by the type that each one accepts.
_ACTION_WRITERS: Mapping[type[Action], Callable[[int, Any], JsonObject]] = {
    Send: _write_send,
    SetTimer: _write_set_timer,
    Fail: _write_fail,
    Reject: _write_reject,
    Cancel: _write_cancel,
    WatchEndpoints: _write_watch_endpoints,
    FetchEndpoints: _write_fetch_endpoints,
    ProbeEndpoint: _write_probe_endpoint,
    CloseIdleConnections: _write_close_idle_connections,
    SendPeerMessage: _write_send_peer_message,
    LogMessage: _write_log_message,
}


def write_action(proxy: int, action: Action) -> JsonObject:
    """Convert an action of the instance with this number."""
    return _ACTION_WRITERS[type(action)](proxy, action)


def write_fault(proxy: int, problem: Exception) -> JsonObject:
    """Return the answer for an instance whose event could not be handled."""
    return {"verb": "fault", "proxy": proxy, "text": f"{type(problem).__name__}: {problem}"}
