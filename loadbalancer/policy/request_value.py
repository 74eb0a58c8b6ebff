"""Computes the value of requests for the work they take, which decides what load shedding rejects first."""

from __future__ import annotations

from loadbalancer.policy.settings import PolicySettings


class RequestValue:
    """Computes the value of each class for a unit of work; the least is shed first."""

    __slots__ = ("_classes", "_typical_latency", "_weight_by_work")

    def __init__(self, settings: PolicySettings, typical_latency: list[float]) -> None:
        """Keep a reference to each class's typical latency in seconds; the list is updated in place."""
        self._classes = settings.classes
        self._weight_by_work = settings.weight_by_work
        self._typical_latency = typical_latency

    def by_class(self) -> list[float]:
        """Return the priority weight of each class for a second of work.

        With `weight_by_work`, the configured weights already have that unit.
        """
        if self._weight_by_work:
            return [request_class.priority_weight for request_class in self._classes]
        pairs = zip(self._classes, self._typical_latency, strict=True)
        return [request_class.priority_weight / (work or 1.0) for request_class, work in pairs]
