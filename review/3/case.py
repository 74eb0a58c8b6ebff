"""A booking whose client offers to go on in HTTP/2 must reach a server with its body, or not at all."""

from __future__ import annotations

import json
import pathlib
import random
import sys
import threading
import time
from collections import Counter

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

SERVERS = 3
CLIENTS = 4
REQUESTS_PER_CLIENT = 60
#: The first client offers to go on in HTTP/2 with each new connection, as clients do that know both versions and have
#: no TLS (RFC 7540, 3.2). A server that does not want to ignores the offer (RFC 9110, 7.8). The other clients don't.
OFFERING_CLIENTS = 1
OFFER = (
    "Connection: Upgrade, HTTP2-Settings",
    "Upgrade: h2c",
    "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA",
)
WAIT_MS = 3000


class Clients:
    """Some clients that send bookings one after the other."""

    def __init__(self, deployment: standins.Deployment) -> None:
        self.deployment = deployment
        self.sent: dict[str, str] = {}  # bodies, by the id of the request
        self.answers: dict[str, tuple[int, bytes] | str] = {}
        self.offers = 0

    def run(self) -> None:
        """Send all requests."""
        threads = [threading.Thread(target=self._send, args=(number,)) for number in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send(self, number: int) -> None:
        offers = standins.with_disruption() and number < OFFERING_CLIENTS
        client = standins.Client(self.deployment.port)
        for _ in range(REQUESTS_PER_CLIENT):
            transaction = f"{random.getrandbits(64):016x}"
            body = json.dumps(
                {"consignment": transaction, "pallets": random.randint(1, 9), "to": "Bangkok hub"}
            )
            lines = [f"Idempotency-Key: {random.getrandbits(128):032x}"]
            if offers and not client.is_connected():
                lines += OFFER
                self.offers += 1
            head = standins.request_head("book", transaction, WAIT_MS, *lines, length=len(body))
            self.sent[transaction] = body
            self.deployment.note(
                f"sent      {transaction}  {'offers h2c  ' if OFFER[0] in lines else ''}{body}"
            )
            answer = client.ask(head, body.encode(), WAIT_MS / 1000 + 1)
            self.answers[transaction] = answer
            self.deployment.note(f"answered  {transaction}  {answer}")
            time.sleep(0.02)
        client.close()


def play(deployment: standins.Deployment) -> int:
    """Send the bookings, and compare what reached the servers with what was sent."""
    logs = [deployment.folder / f"server-{number}.log" for number in range(SERVERS)]
    ports = [deployment.start_server(str(HERE / "server.py"), str(log)) for log in logs]
    deployment.start_proxy(standins.settings(standins.TRACK, standins.BOOK), ports)
    clients = Clients(deployment)
    clients.run()
    time.sleep(0.5)
    broken = Counter[str]()
    reached = 0
    for log in logs:
        for event in map(json.loads, log.read_text().splitlines() if log.exists() else ()):
            reached += 1
            deployment.note(f"reached   {event['id']}  at {log.stem}, body '{event['body']}'", event["at"])
            if event["body"] != clients.sent.get(event["id"]):
                broken["with another body"] += 1
                deployment.note(f"BROKEN: {event['id']} reached {log.stem} with the body '{event['body']}'")
    kinds = Counter(
        answer if isinstance(answer, str) else str(answer[0]) for answer in clients.answers.values()
    )
    deployment.note(
        f"answers: {dict(kinds)}; reached servers: {reached}; offers: {clients.offers}; broken: {dict(broken)}"
    )
    if broken:
        return standins.BROKEN
    enough = kinds["200"] >= REQUESTS_PER_CLIENT and (clients.offers > 0) == standins.with_disruption()
    return standins.HELD if enough and deployment.proxy_lives() else standins.NOT_RUN


if __name__ == "__main__":
    standins.run_case(__file__, play)
