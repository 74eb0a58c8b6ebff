"""Computes the endpoint override or pool migration that results from a change request."""

from __future__ import annotations

from typing import Mapping

from loadbalancer.admin.calls import Change
from loadbalancer.discovery.overrides import AdminOverride, OverrideState, merge_override
from loadbalancer.routing.traffic_migration import Migration

#: The override state that each of these verbs sets.
STATE_OF_VERB: Mapping[str, OverrideState] = {"drain": "drain", "cordon": "cordon"}


def requested_override(
    change: Change, before: AdminOverride | None, now: float, until: float
) -> AdminOverride:
    """Return an endpoint's override after a change; an empty one if no override remains.

    Args:
        change: A change whose verb applies to endpoints.
        before: The override before the change.
        now: Unix time in seconds.
        until: Expiry of the override in Unix seconds; 0 for none.
    """
    request = change.request
    verb = change.verb
    if verb == "remove":
        if before is not None and before.address is not None:
            return AdminOverride()
        verb = "cordon"  # an endpoint on its source's list can't be removed here, only kept out of use
    return merge_override(
        before,
        now,
        request.by,
        request.reason,
        until,
        word=STATE_OF_VERB.get(verb),
        weight=request.weight,
        address=change.address,
        lift=verb == "uncordon",
    )


def requested_migration(change: Change, now: float, until: float) -> Migration | None:
    """Return the migration that a change requests; None if it ends one. Times are as in `requested_override`."""
    request = change.request
    assert request.other is not None and request.share is not None
    if not request.share:
        return None
    return Migration(request.other, request.share, until, request.by, request.reason, now)
