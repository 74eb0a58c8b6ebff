"""The fleet transport: carries out the actions of the membership view, and delivers received packets to it.

Resources and their owners, all released by `FleetTransport.close`:

- the UDP socket and its reader: `DatagramSocket`,
- the listening TCP socket, at most MAX_INBOUND_CONNECTIONS inbound connections, and one outbound connection for views:
  `StreamExchange`,
- one timer: `FleetTransport`.

A connection that `FleetTransport.request` opens is closed with its iterator.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from typing import AsyncIterator, Callable, Iterable, Protocol, get_args

from loadbalancer.fleet.datagram_socket import DatagramSocket
from loadbalancer.fleet.member_state import MemberState
from loadbalancer.fleet.membership.events import (
    Action,
    Event,
    MembershipNotice,
    PacketReceived,
    SendPacket,
    SynchronizeState,
    TimerExpired,
)
from loadbalancer.fleet.packet_codec import PacketCodec
from loadbalancer.fleet.replication.messages import ReplicationMessage
from loadbalancer.fleet.settings import Address
from loadbalancer.fleet.socket_binding import InheritedSockets, bind_sockets
from loadbalancer.fleet.stream_exchange import (
    EXCHANGE_TIMEOUT_S,
    STREAM_MESSAGES,
    StreamExchange,
    StreamHandler,
)
from loadbalancer.fleet.wire import Message, Packet, Sealer

REPLICATION_MESSAGES = get_args(ReplicationMessage)

#: Receives the sender's name and a message of replicated state.
ReplicationHandler = Callable[[str, Message], None]


class View(Protocol):
    """The interface of the membership view that the transport uses."""

    @property
    def next_timer(self) -> float:
        """When `TimerExpired` is next due, in seconds of `time.monotonic`."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event and return the actions to carry out, in order."""

    def member_states(self) -> Iterable[MemberState]:
        """Return all member states of the view."""


class FleetTransport:
    """Owns the sockets and the timer of one instance in a fleet.

    Attributes:
        counts: Counters of datagrams, bytes, drops and failures, for operators.
        replication_handler: Receives messages of replicated state; if None they are dropped.
    """

    def __init__(
        self,
        view: View,
        name: str,
        boot: int,
        sealer: Sealer,
        bind: Address,
        log_notice: Callable[[str, str], None],
        inherited: InheritedSockets,
    ) -> None:
        """Bind the sockets; nothing is read before `start`.

        Args:
            view: Receives events and returns actions.
            name: The instance's name.
            boot: Its boot id.
            sealer: Seals and opens packets; the property `sealer` replaces it.
            bind: The address to bind to.
            log_notice: Logs an event name with a text.
            inherited: The sockets of the process that this one replaces.

        Raises:
            OSError: `bind` can't be bound.
        """
        self.view = view
        self.counts: Counter[str] = Counter()
        self.replication_handler: ReplicationHandler | None = None
        self._log_notice = log_notice
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._is_closed = False
        self._codec = PacketCodec(name, boot, sealer, self.counts)
        bound = bind_sockets(bind, inherited)
        self._datagrams = DatagramSocket(bound.datagram, self._codec, self.counts, self._on_datagram)
        self._streams = self._open_streams(bound.listener)

    def _open_streams(self, listener: socket.socket) -> StreamExchange:
        return StreamExchange(
            listener,
            self._codec,
            self.counts,
            member_states=self.view.member_states,
            on_packet=self._on_view_piece,
            log_notice=self._log_notice,
        )

    @property
    def sealer(self) -> Sealer:
        """The sealer of packets; replaced when the keys change."""
        return self._codec.sealer

    @sealer.setter
    def sealer(self, sealer: Sealer) -> None:
        self._codec.sealer = sealer

    @property
    def stream_handler(self) -> StreamHandler:
        """The handler of requests that arrive over connections."""
        return self._streams.handler

    @stream_handler.setter
    def stream_handler(self, handler: StreamHandler) -> None:
        self._streams.handler = handler

    @property
    def udp(self) -> socket.socket:
        """The UDP socket, to be passed on to a successor."""
        return self._datagrams.socket

    @property
    def tcp(self) -> socket.socket:
        """The listening TCP socket, to be passed on to a successor."""
        return self._streams.socket

    @property
    def address(self) -> Address:
        """The address that the sockets are bound to."""
        host, port = self.udp.getsockname()
        return host, port

    # Lifecycle.

    def start(self, actions: Iterable[Action] = ()) -> None:
        """Start reading, accepting and the timer; `actions` are carried out first."""
        self._datagrams.start_reading()
        self._streams.start_accepting()
        self._carry_out(actions)
        self._on_timer()

    def pause_reading(self) -> None:
        """Stop reading and accepting, since another process takes over; the sockets stay open."""
        self._datagrams.pause_reading()
        self._streams.pause_accepting()

    def close(self) -> None:
        """Close the sockets and connections, and cancel the timer."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._datagrams.close()
        self._streams.close()

    # Events and actions.

    def handle(self, event: Event) -> None:
        """Pass an event to the view, and carry out the actions that it returns."""
        self._carry_out(self.view.handle(time.monotonic(), event))
        self._set_timer()

    def _set_timer(self) -> None:
        due = self.view.next_timer
        if self._is_closed or (due == self._timer_at and self._timer is not None):
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_at = due
        if due < float("inf"):
            self._timer = self._loop.call_later(max(0.0, due - time.monotonic()), self._on_timer)

    def _on_timer(self) -> None:
        """Read pending datagrams, then expire timers: an answer still in the socket buffer is not a missed one."""
        self._timer = None
        self._datagrams.read_pending()
        self.handle(TimerExpired())

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendPacket():
                    self._datagrams.send(
                        action.address, action.receiver_boot, action.message, action.member_states
                    )
                case SynchronizeState():
                    self._streams.synchronize(action)
                case MembershipNotice():
                    self._log_notice(action.event, action.text)

    def _on_datagram(self, packet: Packet) -> None:
        """Deliver a packet to the replication handler or to the view, according to its message."""
        if isinstance(packet.message, REPLICATION_MESSAGES):
            if self.replication_handler is not None and packet.to == self._codec.boot:
                self.replication_handler(packet.sender, packet.message)
        elif not isinstance(packet.message, STREAM_MESSAGES):
            self.handle(PacketReceived(packet))

    def _on_view_piece(self, packet: Packet) -> None:
        self.handle(PacketReceived(packet))

    # Messages of other components.

    def send_datagram(self, address: Address, receiver_boot: int, message: Message) -> None:
        """Send one message as a datagram; it may be lost."""
        self._datagrams.send(address, receiver_boot, message)

    def request(
        self, address: Address, boot: int, message: Message, timeout_s: float = EXCHANGE_TIMEOUT_S
    ) -> AsyncIterator[Message]:
        """Send a request to a peer over a new connection; see `StreamExchange.request` for arguments and errors."""
        return self._streams.request(address, boot, message, timeout_s)
