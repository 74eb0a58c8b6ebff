"""Sets of IP networks that can be tested for an address: trusted front proxies, known networks, exempt ones.

No I/O: no name is resolved. The set is a radix tree of the py-radix library: a test costs the same with two networks
and with 4,096, whereas a linear search makes one comparison per network (benchmarks/networks.py).
"""

from __future__ import annotations

import ipaddress
from typing import Iterable, Union

import radix

Network = Union[ipaddress.IPv4Network, ipaddress.IPv6Network]


class Networks:
    """A set of networks. Two sets are equal if they contain the same networks."""

    __slots__ = ("names", "_tree")

    def __init__(self, networks: Iterable[Network | str] = ()) -> None:
        """Build the set.

        Raises:
            ValueError: A text is not a network, for example because host bits are set.
        """
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
        """Return whether any of the networks contains an address. The zone of an address is ignored, and an IPv4-mapped
        IPv6 address counts as IPv4. Any other text, such as the peer of a Unix socket, is in none of them."""
        if not self.names:
            return False
        try:
            found = ipaddress.ip_address(address.partition("%")[0])
        except ValueError:
            return False
        mapped = getattr(found, "ipv4_mapped", None) or found
        return self._tree.search_best(packed=mapped.packed) is not None
