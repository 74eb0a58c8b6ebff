"""The endpoints of one pool, as lists and operators have them: addresses for connections, entries for the policy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable

from loadbalancer.discovery.endpoint_source import Entry
from loadbalancer.policy.events import Cordon, EndpointList, EndpointState, Event
from loadbalancer.streaming.tunnels import Tunnels
from loadbalancer.upstreams.connections import UpstreamPools

if TYPE_CHECKING:  # loaded where operators can cordon endpoints
    from loadbalancer.discovery.platform_overrides import PlatformOverrides


class EndpointDirectory:
    """Passes lists on to the connections, the tunnels and the policy."""

    def __init__(self, upstreams: UpstreamPools, tunnels: Tunnels, post: Callable[[Event], None]) -> None:
        self.listed: set[str] = set()
        self.fresh = False  # a list, or a change to it, has come since the start
        self.overrides: PlatformOverrides | None = None  # where operators can cordon
        self._upstreams = upstreams
        self._tunnels = tunnels
        self._post = post

    def cordon(self, endpoint: str, cordoned: bool) -> None:
        """Leave an endpoint out, or use it again; also one that is not listed now."""
        if cordoned:
            self._tunnels.drain_endpoints({endpoint})
        self._post(Cordon(endpoint, cordoned))

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        """Take a list, or a change to it; see `EndpointListener`."""
        self.fresh = self.fresh or not stale
        named = self._update_upstreams(entries)
        if whole:
            for endpoint in self.listed - named:
                self._upstreams.remove_endpoint(endpoint)
            self.listed = named
        else:
            self.listed |= named
        if self.overrides is not None:
            self.overrides.listed(named)
        if self._tunnels.open:
            self._leave_tunnels(entries, whole)
        self._post(EndpointList(tuple(entry for entry, _ in entries), whole, False, stale))

    def list_failed(self, busy: bool = False) -> None:
        """Tell the policy that a call for the list has failed; see `EndpointListener`."""
        self._post(EndpointList(failed=True, busy=busy))

    def _update_upstreams(self, entries: list[Entry]) -> set[str]:
        """Tell the connections of each entry.

        Returns:
            The endpoints that the entries name and that are not gone.
        """
        named = set()
        for entry, address in entries:
            if entry.state == EndpointState.GONE:
                self._upstreams.remove_endpoint(entry.endpoint)
                self.listed.discard(entry.endpoint)
            else:
                life = (address, entry.started)
                self._upstreams.update_endpoint(entry.endpoint, life, entry.state == EndpointState.READY)
                named.add(entry.endpoint)
        return named

    def _leave_tunnels(self, entries: list[Entry], whole: bool) -> None:
        """End tunnels to endpoints that do not serve any more."""
        serving = {entry.endpoint for entry, _ in entries if entry.state == EndpointState.READY}
        named = {entry.endpoint for entry, _ in entries}
        concerned = {tunnel.endpoint for tunnel in self._tunnels.open if whole or tunnel.endpoint in named}
        self._tunnels.drain_endpoints(concerned - serving)
