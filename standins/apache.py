"""A model of how Apache distributes requests over workers, written from its documentation; for tests of imports.

mod_proxy_balancer's byrequests (manual, mod_lbmethod_byrequests): each usable worker's lbstatus grows by its lbfactor,
the worker with the highest lbstatus gets the request, and the sum of all factors is subtracted from its lbstatus.
mod_jk's method R results in the same shares. Workers are grouped by lbset (or distance): the lowest set with a usable
worker serves, and its hot standbys are used before the next set.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class Worker:
    """A worker of the balancer.

    `flags` is any of D, S, N and H. `route`, `redirect` and `domain` are matched with a session's route.
    """

    name: str
    factor: float = 1.0
    set: int = 0
    flags: str = ""
    route: str = ""
    redirect: str = ""
    domain: str = ""
    dead: bool = False
    lbstatus: float = field(default=0.0, repr=False)

    @classmethod
    def read(cls, text: str) -> Worker:
        """Parse a description such as `b 3 H set=1 route=x`."""
        name, *words = text.split()
        worker = cls(name)
        for field_text in words:
            key, equals, value = field_text.partition("=")
            if equals and key == "set":
                worker.set = int(value)
            elif equals:
                setattr(worker, key, value)
            elif field_text[0].isdigit():
                worker.factor = float(field_text)
            else:
                worker.flags += field_text
        return worker

    def serves(self, session: bool) -> bool:
        """Return whether the worker accepts a request; a draining one accepts only requests of its own sessions."""
        if self.dead or "D" in self.flags or "S" in self.flags:
            return False
        return session or "N" not in self.flags


class Balancer:
    """Chooses the worker that gets the next request.

    With `nofailover`, a request whose session names a known route is refused rather than sent to a worker of
    another route.
    """

    def __init__(self, workers: list[Worker], nofailover: bool = False) -> None:
        self.workers, self.nofailover = workers, nofailover
        # Requests with a session, by route; they leave lbstatus unchanged.
        self.session_counts: Counter[str] = Counter()

    def choose(self, route: str = "") -> Worker | None:
        """Return the worker for a request with this session route (or with none); None means that it is refused."""
        if route:
            session_workers = [w for w in self.workers if route in (w.route, w.domain)]
            chosen = self._choose_round_robin(route, [w for w in session_workers if w.serves(True)])
            if chosen is None and session_workers and session_workers[0].redirect:
                chosen = next(
                    (w for w in self.workers if w.route == session_workers[0].redirect and w.serves(True)),
                    None,
                )
            if chosen is not None or (session_workers and self.nofailover):
                return chosen
        for number in sorted({w.set for w in self.workers}):
            for standby in (False, True):
                candidates = [
                    w
                    for w in self.workers
                    if w.set == number and ("H" in w.flags) == standby and w.serves(False)
                ]
                if candidates:
                    return self._choose_by_lbstatus(candidates)
        return None

    def _choose_round_robin(self, route: str, workers: list[Worker]) -> Worker | None:
        """Choose a domain's workers in rotation: in the samples, their factors are equal."""
        self.session_counts[route] += 1
        return workers[self.session_counts[route] % len(workers)] if workers else None

    @staticmethod
    def _choose_by_lbstatus(workers: list[Worker]) -> Worker | None:
        if not workers:
            return None
        for worker in workers:
            worker.lbstatus += worker.factor
        best = max(workers, key=lambda w: w.lbstatus)
        best.lbstatus -= sum(w.factor for w in workers)
        return best
