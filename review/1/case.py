"""An unsafe request with a long body must not run twice when its connection is reset under it."""

from __future__ import annotations

import json
import pathlib
import random
import sys
import threading
import time
from collections import Counter, defaultdict
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

SERVERS = 4
CLIENTS = 4
REQUESTS = 1400
TIME_LIMIT_S = 75.0
#: Lengths of the bodies; the pages allow up to 32 MB. Two of three are of the longer kind.
SHORTER_BYTES, LONGER_BYTES = (2_600_000, 3_900_000), (3_900_000, 4_190_000)
#: A server resets the connection under one run of this many.
RESET_ONE_OF = 8
WAIT_MS = 5000
REFUSALS = (429, 503)


class Clients:
    """Some clients that send unsafe requests one after the other, and do not repeat them."""

    def __init__(self, deployment: standins.Deployment) -> None:
        self.deployment = deployment
        self.answers: dict[str, int | str] = {}

    def run(self) -> None:
        """Send all requests."""
        threads = [threading.Thread(target=self._send, args=(number,)) for number in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send(self, number: int) -> None:
        client, choice = standins.Client(self.deployment.port), random.Random(number)
        until = time.monotonic() + TIME_LIMIT_S
        for _ in range(REQUESTS // CLIENTS):
            if time.monotonic() > until:
                return
            transaction = f"{random.getrandbits(64):016x}"
            length = choice.randint(*(LONGER_BYTES if choice.random() < 2 / 3 else SHORTER_BYTES))
            head = standins.request_head("book", transaction, WAIT_MS, length=length)
            self.deployment.note(f"sent      {transaction}  {length} bytes")
            answer = client.ask(head, b"p" * length, WAIT_MS / 1000 + 1)
            self.answers[transaction] = answer if isinstance(answer, str) else answer[0]
            self.deployment.note(f"answered  {transaction}  {self.answers[transaction]}")
        client.close()


def read_runs(deployment: standins.Deployment) -> dict[str, list[dict[str, Any]]]:
    """Return what the servers have run, by the id of the request and in order, and note it in the record."""
    events = [
        {**json.loads(line), "server": path.stem}
        for path in deployment.folder.glob("server-*.log")
        for line in path.read_text().splitlines()
    ]
    runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for event in sorted(events, key=lambda event: event["at"]):
        runs[event["ran"]].append(event)
        deployment.note(
            f"run       {event['ran']}  at {event['server']}, ended by {event['then']}", event["at"]
        )
    return runs


def play(deployment: standins.Deployment) -> int:
    """Send the requests, and judge what was run and answered."""
    share = str(RESET_ONE_OF if standins.with_disruption() else 0)
    server = str(HERE / "server.py")
    logs = [str(deployment.folder / f"server-{number}.log") for number in range(SERVERS)]
    ports = [deployment.start_server(server, log, share) for log in logs]
    book = {**standins.BOOK, "effect": "non_idempotent"}
    deployment.start_proxy(standins.settings(standins.TRACK, book), ports)
    clients = Clients(deployment)
    clients.run()
    time.sleep(0.5)
    runs = read_runs(deployment)
    # No server here turns a request away, so each run is an attempt that is not known not to have run.
    twice = [transaction for transaction, events in runs.items() if len(events) > 1]
    refused = [t for t, answer in clients.answers.items() if answer in REFUSALS and runs.get(t)]
    for transaction in twice:
        story = ", then ".join(f"{event['server']} ({event['then']})" for event in runs[transaction])
        deployment.note(f"BROKEN: {transaction} has run {len(runs[transaction])} times: {story}")
    for transaction in refused:
        deployment.note(f"BROKEN: {transaction} has run and was refused")
    resets = sum(event["then"] == "reset" for events in runs.values() for event in events)
    deployment.note(
        f"answers: {dict(Counter(map(str, clients.answers.values())))}; runs ended by a reset: {resets}"
    )
    if twice or refused:
        return standins.BROKEN
    enough = len(runs) >= REQUESTS // 4 and (resets > 0) == standins.with_disruption()
    return standins.HELD if enough and deployment.proxy_lives() else standins.NOT_RUN


if __name__ == "__main__":
    standins.run_case(__file__, play)
