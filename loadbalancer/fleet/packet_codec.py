"""Sealing of outgoing messages into packets; opening of received packets, with replay protection."""

from __future__ import annotations

from collections import Counter

from loadbalancer.fleet.errors import DropReason, MessageError
from loadbalancer.fleet.member_state import MemberState
from loadbalancer.fleet.replay_window import ReplayProtection
from loadbalancer.fleet.wire import Message, Packet, Sealer


class PacketCodec:
    """Seals and opens packets for one boot of an instance, and counts those that it drops.

    Attributes:
        boot: The instance's boot id.
        sealer: Seals and opens packets with the current keys; replaced when the key file changes.
    """

    def __init__(self, name: str, boot: int, sealer: Sealer, counts: Counter[str]) -> None:
        """Create a codec; dropped packets are counted in `counts` by reason."""
        self.boot = boot
        self.sealer = sealer
        self._name = name
        self._counts = counts
        self._replay_protection = ReplayProtection()
        self._last_number = 0

    def seal(
        self, receiver_boot: int, message: Message, member_states: tuple[MemberState, ...] = ()
    ) -> bytes:
        """Seal a message for the receiver with this boot id, 0 for any process at the address."""
        self._last_number += 1
        packet = Packet(self._name, self.boot, receiver_boot, self._last_number, message, member_states)
        return self.sealer.seal(packet)

    def open(self, data: bytes, max_bytes: int) -> Packet | None:
        """Open a packet; return None if it is not of the fleet, can't be decoded, or is a replay."""
        try:
            opened = self.sealer.open(data, max_bytes)
        except MessageError as error:
            self._counts[f"dropped: {error.kind}"] += 1
            return None
        packet = opened.packet
        if opened.unreadable_states:
            self._counts["facts passed over"] += opened.unreadable_states
        # A packet for another boot changes nothing here, so only packets for this boot enter the replay windows.
        is_for_us = packet.to == self.boot
        if is_for_us and not self._replay_protection.accept(packet.sender, packet.boot, packet.number):
            self._counts[f"dropped: {DropReason.REPLAYED}"] += 1
            return None
        return packet
