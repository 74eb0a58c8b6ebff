"""Distributes the endpoint list of one pool, and the cordons of operators, to the components that need them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable

from loadbalancer.discovery.endpoint_source import Entry
from loadbalancer.policy.events import Cordon, EndpointList, EndpointState, Event
from loadbalancer.streaming.tunnels import Tunnels
from loadbalancer.upstreams.connections import UpstreamPools

if TYPE_CHECKING:  # loaded only if operators can cordon endpoints
    from loadbalancer.discovery.platform_overrides import PlatformOverrides


class EndpointDirectory:
    """Passes endpoint lists on to the connections, the tunnels and the policy."""

    def __init__(self, upstreams: UpstreamPools, tunnels: Tunnels, post: Callable[[Event], None]) -> None:
        self.listed: set[str] = set()
        self.fresh = False  # whether a list or a change that is not stale was received since the start
        self.overrides: PlatformOverrides | None = None  # None unless operators can cordon endpoints
        self._upstreams = upstreams
        self._tunnels = tunnels
        self._post = post

    def cordon(self, endpoint: str, cordoned: bool) -> None:
        """Cordon an endpoint, or end its cordon; the endpoint need not be listed."""
        if cordoned:
            self._tunnels.drain_endpoints({endpoint})
        self._post(Cordon(endpoint, cordoned))

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        """Apply an endpoint list, or a change to it; see `EndpointListener`."""
        self.fresh = self.fresh or not stale
        named = self._update_upstreams(entries)
        if whole:
            for endpoint in self.listed - named:
                self._upstreams.remove_endpoint(endpoint)
            self.listed = named
        else:
            self.listed |= named
        if self.overrides is not None:
            self.overrides.add_listed(named)
        if self._tunnels.open:
            self._drain_tunnels(entries, whole)
        self._post(EndpointList(tuple(entry for entry, _ in entries), whole, False, stale))

    def list_failed(self, busy: bool = False) -> None:
        """Tell the policy that a request for the list has failed; see `EndpointListener`."""
        self._post(EndpointList(failed=True, busy=busy))

    def _update_upstreams(self, entries: list[Entry]) -> set[str]:
        """Update the connections for each entry.

        Returns:
            The endpoints in the entries, without those that are gone.
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

    def _drain_tunnels(self, entries: list[Entry], whole: bool) -> None:
        """Drain the tunnels to endpoints that are no longer ready."""
        ready = {entry.endpoint for entry, _ in entries if entry.state == EndpointState.READY}
        named = {entry.endpoint for entry, _ in entries}
        affected = {tunnel.endpoint for tunnel in self._tunnels.open if whole or tunnel.endpoint in named}
        self._tunnels.drain_endpoints(affected - ready)
