"""Runs the plug-ins of a route on a request head, and applies their results to it."""

from __future__ import annotations

import time
from typing import Mapping, NamedTuple, Sequence

from loadbalancer.frontends.dialect import Head, Reply
from loadbalancer.plugins.hook import AllowedNames, PluginOutput, PluginRequest
from loadbalancer.plugins.runner import Plugin, Rejection, Runner
from loadbalancer.routing.targets import Target

#: Prefix of the headers that carry tags to the member. Those that a client sends are removed, as it could forge tags.
TAG = b"x-tag-"


class PluginHooks(NamedTuple):
    """The plug-ins of one route, and the context that they run in."""

    runner: Runner
    plugins: Sequence[Plugin]
    world: AllowedNames
    classes: Sequence[str]  # names by class number
    tenants: Sequence[str]  # names by tenant number; the first is the default
    zone: str
    listener: str

    def run(self, head: Head, target: Target, cls: int, tenant: int) -> tuple[int, int] | Reply:
        """Run the plug-ins on a request, and edit its headers as they ask.

        Returns:
            The class and the tenant of the request, or the answer with which a plug-in rejected it.
        """
        head.lines = [line for line in head.lines if line[: len(TAG)].lower() != TAG]
        name = self.tenants[tenant] if tenant < len(self.tenants) else ""
        headers = [("host", target.authority), *_pairs(head.lines)]
        plugin_request = PluginRequest(
            head.method.decode("latin-1"),
            target.path + target.query,
            headers,
            self.classes[cls],
            name,
            self.zone,
            self.listener,
            time.time(),
            NONE,
        )
        result = self.runner.run(self.plugins, plugin_request, self.world)
        if isinstance(result, Rejection):
            return Reply(result.status, result.reason, head.close)
        _apply(head, result)
        return (
            self.classes.index(result.cls) if result.cls is not None else cls,
            self.tenants.index(result.tenant) if result.tenant is not None else tenant,
        )


NONE: Mapping[str, str] = {}


def _pairs(lines: Sequence[bytes]) -> list[tuple[str, str]]:
    """Return the forwarded headers as the name and value pairs that plug-ins receive."""
    pairs = []
    for line in lines:
        name, _, value = line.partition(b":")
        pairs.append((name.decode("latin-1"), value.strip().decode("latin-1")))
    return pairs


def _apply(head: Head, result: PluginOutput) -> None:
    replaced = {name.encode() for name in (*result.drop, *result.set)}
    if replaced:
        head.lines = [line for line in head.lines if line.partition(b":")[0].lower() not in replaced]
    head.lines += [b"%b: %b\r\n" % (name.encode(), value.encode()) for name, value in result.set.items()]
    tags = dict(result.tags)
    if result.priority != "normal":
        tags["priority"] = result.priority
    head.lines += [b"X-Tag-%b: %b\r\n" % (name.encode(), value.encode()) for name, value in tags.items()]
