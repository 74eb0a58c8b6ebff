"""Runs the policy for the simulator: reads batches of JSON from standard input, writes answers to standard output.

A batch has a time and events for any number of instances; each instance is one Balancer. This module only translates.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

import orjson

from loadbalancer.deployment import read_settings
from loadbalancer.platform.process_exit import stop
from loadbalancer.platform.simulator_wire import (
    EVENT_READERS,
    JsonObject,
    read_endpoint,
    write_action,
    write_fault,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import EndpointEntry, EndpointList, Event


class SimulatorSession:
    """Holds the instances that this process hosts, and the tables of endpoints that lists refer to."""

    def __init__(self) -> None:
        self._instances: dict[int, Balancer] = {}
        self._tables: dict[int, tuple[EndpointEntry, ...]] = {}

    def reply(self, batch: JsonObject) -> JsonObject:
        """Pass the events of a batch to their instances, and return their actions.

        An event that can't be handled is answered with a `fault`, so that the simulation ends with the reason.
        """
        pending: dict[int, list[Event]] = {}
        try:
            for event in batch["inbox"]:
                self._sort(event, pending)
        except Exception as problem:
            first = batch["inbox"][0].get("proxy", 0) if batch["inbox"] else 0
            return {"seq": batch["seq"], "output": [write_fault(first, problem)]}
        output: list[JsonObject] = []
        for proxy, events in pending.items():
            self._handle(proxy, batch["ts-s"], events, output)
        return {"seq": batch["seq"], "output": output}

    def _handle(self, proxy: int, now: float, events: list[Event], output: list[JsonObject]) -> None:
        """Append an instance's actions to `output`."""
        try:
            for action in self._instances[proxy].handle(now, events):
                output.append(write_action(proxy, action))
        except Exception as problem:
            output.append(write_fault(proxy, problem))

    def _sort(self, event: JsonObject, pending: dict[int, list[Event]]) -> None:
        """Add an event of the policy to the pending ones of its instance; apply any other event."""
        verb = event["verb"]
        reader = EVENT_READERS.get(verb)
        if reader is not None:
            pending.setdefault(event["proxy"], []).append(reader(event))
        elif verb == "register":
            self._tables[event["table"]] = tuple(map(read_endpoint, event["hosts"]))
        elif verb == "fleet":
            pending.setdefault(event["proxy"], []).append(self._read_list(event))
        elif verb == "born":
            settings = read_settings(event["boot-info"])
            self._instances[event["proxy"]] = Balancer(settings, event["nonce64"])
            pending[event["proxy"]] = []
        elif verb == "killed":  # its pending events are dropped
            self._instances.pop(event["proxy"], None)
            pending.pop(event["proxy"], None)

    def _read_list(self, event: JsonObject) -> EndpointList:
        form = event["form"]
        if form == "broken":
            return EndpointList(failed=True)
        return EndpointList(self._tables[event["table"]], form != "patch", False, form == "stale_copy")


def _read_batch(line: bytes) -> JsonObject:
    try:
        batch = orjson.loads(line)
    except orjson.JSONDecodeError as problem:
        stop(f"a line on standard input is not JSON: {problem}")
    if not isinstance(batch, dict) or "seq" not in batch or "ts-s" not in batch:
        stop("a line on standard input is not a batch: seq or ts-s is missing")
    events = batch.get("inbox")
    if not isinstance(events, list) or not all(isinstance(event, dict) for event in events):
        stop("a line on standard input is not a batch: inbox is not a list of events")
    return batch


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches, one per line, until the input ends."""
    session = SimulatorSession()
    for line in source:
        if line.strip():
            sink.write(orjson.dumps(session.reply(_read_batch(line))) + b"\n")
            sink.flush()


def main() -> None:
    """Answer the batches of standard input on standard output."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except BrokenPipeError:
        stop("standard output was closed")


if __name__ == "__main__":
    main()
