"""Sending and receiving whole membership views over a connection, in pieces."""

from __future__ import annotations

from collections import Counter
from typing import Callable, Iterable

from loadbalancer.fleet.errors import ExchangeError
from loadbalancer.fleet.framed_connection import FramedConnection
from loadbalancer.fleet.member_state import MemberState, encoded_size
from loadbalancer.fleet.wire import MAX_PIECE_BYTES, MAX_PIECES, Packet, Piece

#: Maximum size of the member states in one piece; the rest is for the packet and its seal.
MAX_PIECE_STATES_BYTES = MAX_PIECE_BYTES - 512


def split_into_pieces(member_states: Iterable[MemberState]) -> list[tuple[MemberState, ...]]:
    """Split member states into parts that each fit into a piece; no states give one empty part."""
    parts: list[list[MemberState]] = [[]]
    free_bytes = MAX_PIECE_STATES_BYTES
    for state in member_states:
        size = encoded_size(state)
        if size > free_bytes:
            parts.append([])
            free_bytes = MAX_PIECE_STATES_BYTES
        parts[-1].append(state)
        free_bytes -= size
    return [tuple(part) for part in parts]


async def send_view(
    connection: FramedConnection,
    receiver_boot: int,
    member_states: Iterable[MemberState],
    counts: Counter[str],
) -> None:
    """Send a view in pieces."""
    parts = split_into_pieces(member_states)
    for number, part in enumerate(parts):
        piece = Piece(number, number == len(parts) - 1)
        counts["bytes out"] += connection.write(receiver_boot, piece, part)
        await connection.drain()


async def receive_view(
    connection: FramedConnection,
    on_packet: Callable[[Packet], None],
    sender_boot: int = 0,
    first: Packet | None = None,
) -> int:
    """Receive a view in pieces.

    Args:
        connection: The connection to read from.
        on_packet: Receives the packet of each piece.
        sender_boot: The boot id that the pieces must have; 0 for that of the first piece.
        first: The first packet, if it was already read.

    Returns:
        The sender's boot id.

    Raises:
        ExchangeError: Something other than the next piece was received, or too many pieces.
    """
    for number in range(MAX_PIECES):
        packet = first if first is not None else await connection.read()
        first = None
        if not isinstance(packet.message, Piece):
            raise ExchangeError(f"expected a piece of a view, got {type(packet.message).__name__}")
        sender_boot = sender_boot or packet.boot
        if packet.boot != sender_boot or packet.message.number != number:
            raise ExchangeError(
                f"expected piece {number} of boot {sender_boot:016x}, "
                f"got piece {packet.message.number} of boot {packet.boot:016x}"
            )
        on_packet(packet)
        if packet.message.last:
            return sender_boot
    raise ExchangeError(f"expected at most {MAX_PIECES} pieces, got more")
