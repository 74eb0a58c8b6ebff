"""Sets of IP networks, asked for an address: trusted fronts, known depots, exempt ones. Pure: nothing is looked up.

A radix tree of the py-radix library: one question costs the same with two networks and with 4,096, where going through
them costs as many comparisons (benchmarks/networks.py).
"""

from __future__ import annotations

import ipaddress
from typing import Iterable, Union

import radix

Network = Union[ipaddress.IPv4Network, ipaddress.IPv6Network]


class Networks:
    """A set; two are equal that name the same networks."""

    __slots__ = ("names", "_tree")

    def __init__(self, networks: Iterable[Network | str] = ()) -> None:
        """ValueError for what is no network, such as one with host bits set."""
        found = {ipaddress.ip_network(network) for network in networks}
        self.names = frozenset(map(str, found))
        self._tree = radix.Radix()
        for network in found:
            self._tree.add(packed=network.network_address.packed, masklen=network.prefixlen)

    def __bool__(self) -> bool:
        return bool(self.names)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Networks) and self.names == other.names

    def __hash__(self) -> int:
        return hash(self.names)

    def __contains__(self, address: str) -> bool:
        """Whether an address is in any of them: without its zone, and an IPv4 one that is mapped into IPv6 as itself.
        Anything else, such as the peer of a Unix socket, is in none."""
        if not self.names:
            return False
        try:
            found = ipaddress.ip_address(address.partition("%")[0])
        except ValueError:
            return False
        mapped = getattr(found, "ipv4_mapped", None) or found
        return self._tree.search_best(packed=mapped.packed) is not None
