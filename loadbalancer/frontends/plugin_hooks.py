"""Between a route and its plug-ins: the head as they see it, and what they said carried into it."""

from __future__ import annotations

import time
from typing import Mapping, NamedTuple, Sequence

from loadbalancer.frontends.dialect import Head, Reply
from loadbalancer.plugins.hook import AllowedNames, PluginOutput, PluginRequest
from loadbalancer.plugins.runner import Plugin, Rejection, Runner
from loadbalancer.routing.targets import Target

#: Tags go on to the member as headers of this name; a client's own are taken off, or it could forge them.
TAG = b"x-tag-"


class PluginHooks(NamedTuple):
    """One route's plug-ins, with all they need."""

    runner: Runner
    plugins: Sequence[Plugin]
    world: AllowedNames
    classes: Sequence[str]  # names by number
    tenants: Sequence[str]  # the same; the first is where none is named
    zone: str
    listener: str

    def run(self, head: Head, target: Target, cls: int, tenant: int) -> tuple[int, int] | Reply:
        """Class and tenant of a request, once its plug-ins have spoken and its headers are as they want; or what it is
        turned away with."""
        head.lines = [line for line in head.lines if not line[: len(TAG)].lower() == TAG]
        name = self.tenants[tenant] if tenant < len(self.tenants) else ""
        headers = [("host", target.authority), *_pairs(head.lines)]
        seen = PluginRequest(
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
        said = self.runner.run(self.plugins, seen, self.world)
        if isinstance(said, Rejection):
            return Reply(said.status, said.reason, head.close)
        _apply(head, said)
        return (
            self.classes.index(said.cls) if said.cls is not None else cls,
            self.tenants.index(said.tenant) if said.tenant is not None else tenant,
        )


NONE: Mapping[str, str] = {}


def _pairs(lines: Sequence[bytes]) -> list[tuple[str, str]]:
    """Headers that go on, as a plug-in sees them."""
    pairs = []
    for line in lines:
        name, _, value = line.partition(b":")
        pairs.append((name.decode("latin-1"), value.strip().decode("latin-1")))
    return pairs


def _apply(head: Head, said: PluginOutput) -> None:
    gone = {name.encode() for name in (*said.drop, *said.set)}
    if gone:
        head.lines = [line for line in head.lines if line.partition(b":")[0].lower() not in gone]
    head.lines += [b"%b: %b\r\n" % (name.encode(), value.encode()) for name, value in said.set.items()]
    tags = dict(said.tags)
    if said.priority != "normal":
        tags["priority"] = said.priority
    head.lines += [b"X-Tag-%b: %b\r\n" % (name.encode(), value.encode()) for name, value in tags.items()]
