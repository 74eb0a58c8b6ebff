"""What a change request makes of an endpoint's override or of a pool's migration."""

from __future__ import annotations

from typing import Mapping

from loadbalancer.admin.calls import Change
from loadbalancer.discovery.overrides import AdminOverride, OverrideState, merge_override
from loadbalancer.routing.traffic_migration import Migration

#: The verbs that set an override's state.
STATE_OF_VERB: Mapping[str, OverrideState] = {"drain": "drain", "cordon": "cordon"}


def requested_override(
    change: Change, before: AdminOverride | None, now: float, until: float
) -> AdminOverride:
    """An endpoint's override after a change; an empty one where nothing is left of it.

    Args:
        change: A change of a verb that concerns endpoints.
        before: The override before it.
        now: Unix time in seconds.
        until: When the override ends, in Unix seconds; 0 for no end.
    """
    request = change.request
    verb = change.verb
    if verb == "remove":
        if before is not None and before.address is not None:
            return AdminOverride()
        verb = "cordon"  # an endpoint that its source lists can't be taken off the list here
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
    """The migration that a change asks for; None where it ends one. Times as in `requested_override`."""
    request = change.request
    assert request.other is not None and request.share is not None
    if not request.share:
        return None
    return Migration(request.other, request.share, until, request.by, request.reason, now)
