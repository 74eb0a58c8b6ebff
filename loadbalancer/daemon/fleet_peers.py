"""Communication with the other instances of a fleet by their names."""

from __future__ import annotations

from typing import AsyncIterator

from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.stream_exchange import EXCHANGE_TIMEOUT_S
from loadbalancer.fleet.transport import FleetTransport
from loadbalancer.fleet.wire import Message


class FleetPeers:
    """Looks up instances in the membership view and sends to them over the fleet transport; owns neither."""

    def __init__(self, name: str, transport: FleetTransport, view: MembershipView) -> None:
        self.name = name  # the name of this instance
        self._transport = transport
        self._view = view

    def members(self) -> list[MemberState]:
        """Return the states of all other instances that have not left."""
        return [peer.state for peer in self._view.table if peer.state.status != MemberStatus.LEFT]

    def live_names(self) -> list[str]:
        """Return the names of the other live instances, including suspected ones."""
        return [peer.state.name for peer in self._view.table.living]

    def alive_names(self) -> tuple[str, ...]:
        """Return the names of the other live instances that are not suspected."""
        return tuple(
            peer.state.name for peer in self._view.table.living if peer.state.status == MemberStatus.ALIVE
        )

    def left_names(self) -> list[str]:
        """Return the names of the instances that have left."""
        return [peer.state.name for peer in self._view.table if peer.state.status == MemberStatus.LEFT]

    def find(self, name: str) -> MemberState | None:
        """Return the state of an instance; None if its name is unknown."""
        peer = self._view.table.get(name)
        return peer.state if peer is not None else None

    def send(self, name: str, message: Message) -> None:
        """Send one datagram to an instance; does nothing if its name is unknown."""
        member = self.find(name)
        if member is not None:
            self._transport.send_datagram(member.address, member.boot, message)

    def request_member(
        self, member: MemberState, message: Message, timeout_s: float = EXCHANGE_TIMEOUT_S
    ) -> AsyncIterator[Message]:
        """Send a request over a new connection.

        Args:
            member: The instance to send to.
            message: The request.
            timeout_s: The maximum number of seconds between two messages of the answer.

        Returns:
            The messages of the answer. The iteration raises OSError, TimeoutError or IncompleteReadError
            if the connection fails, and ValueError if the answer can't be decoded.
        """
        return self._transport.request(member.address, member.boot, message, timeout_s)

    def request(self, name: str, message: Message) -> AsyncIterator[Message]:
        """Send a request to an instance by its name; otherwise like `request_member`.

        Raises:
            ConnectionError: The name is unknown.
        """
        member = self.find(name)
        if member is None:
            raise ConnectionError("not known")
        return self.request_member(member, message)
