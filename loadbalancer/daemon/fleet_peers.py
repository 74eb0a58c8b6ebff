"""The other instances of a fleet, addressed by their names."""

from __future__ import annotations

from typing import AsyncIterator

from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.stream_exchange import EXCHANGE_TIMEOUT_S
from loadbalancer.fleet.transport import FleetTransport
from loadbalancer.fleet.wire import Message


class FleetPeers:
    """Finds instances in the membership view and sends to them over the fleet transport; owns neither."""

    def __init__(self, name: str, transport: FleetTransport, view: MembershipView) -> None:
        self.name = name  # of this instance
        self._transport = transport
        self._view = view

    def members(self) -> list[MemberState]:
        """Return the states of all others that have not left."""
        return [peer.state for peer in self._view.table if peer.state.status != MemberStatus.LEFT]

    def live_names(self) -> list[str]:
        """Return the names of those that live, also of suspected ones."""
        return [peer.state.name for peer in self._view.table.living]

    def alive_names(self) -> tuple[str, ...]:
        """Return the names of those that live and are not suspected."""
        return tuple(
            peer.state.name for peer in self._view.table.living if peer.state.status == MemberStatus.ALIVE
        )

    def left_names(self) -> list[str]:
        """Return the names of those that have left."""
        return [peer.state.name for peer in self._view.table if peer.state.status == MemberStatus.LEFT]

    def find(self, name: str) -> MemberState | None:
        """Return the state of an instance, None where its name is not known."""
        peer = self._view.table.get(name)
        return peer.state if peer is not None else None

    def send(self, name: str, message: Message) -> None:
        """Send one datagram, if the name is known."""
        member = self.find(name)
        if member is not None:
            self._transport.send_datagram(member.address, member.boot, message)

    def ask_member(
        self, member: MemberState, message: Message, timeout_s: float = EXCHANGE_TIMEOUT_S
    ) -> AsyncIterator[Message]:
        """Ask over a connection of its own.

        Args:
            member: whom to ask.
            message: the question.
            timeout_s: seconds within which each message of the answer has to follow the one before.

        Returns:
            The messages of the answer. The iteration raises OSError, TimeoutError or IncompleteReadError
            where the connection fails, and ValueError for an answer that can't be read.
        """
        return self._transport.request(member.address, member.boot, message, timeout_s)

    def ask(self, name: str, message: Message) -> AsyncIterator[Message]:
        """Ask an instance by its name, as `ask_member` does.

        Raises:
            ConnectionError: the name is not known.
        """
        member = self.find(name)
        if member is None:
            raise ConnectionError("not known")
        return self.ask_member(member, message)
