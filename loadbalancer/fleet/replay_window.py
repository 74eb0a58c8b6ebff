"""Replay protection: each packet is accepted once.

Rules:

1. A packet is addressed to one boot of its receiver, and boot ids are drawn anew at each start: a packet that was
   captured before a restart is not valid after it, and no state has to be kept on disk.
2. Each boot of a sender numbers its packets. Each number is accepted once, and only within a window behind the
   greatest.
3. Windows of several boots per name are kept, so that a replayed packet of an earlier boot is not accepted as new.
"""

from __future__ import annotations

from collections import OrderedDict

#: Size of the window behind a sender's greatest number in which packets are accepted out of order.
WINDOW = 1024
#: Maximum number of boots per name; each window takes some 200 bytes.
MAX_BOOTS_PER_NAME = 64
#: Maximum number of names.
MAX_NAMES = 8_192


class ReplayWindow:
    """Holds the packet numbers that were accepted from one boot of a sender.

    Attributes:
        greatest: The greatest accepted number.
        accepted_bits: A bit for each number of the window; the lowest is that of `greatest`.
    """

    __slots__ = ("greatest", "accepted_bits")

    def __init__(self) -> None:
        self.greatest = 0
        self.accepted_bits = 0

    def accept(self, number: int) -> bool:
        """Accept a number and return True; return False if it was accepted before or is behind the window."""
        ahead = number - self.greatest
        if ahead > 0:
            self._advance(ahead)
            self.greatest = number
            return True
        if ahead <= -WINDOW or self.accepted_bits >> -ahead & 1:
            return False
        self.accepted_bits |= 1 << -ahead
        return True

    def _advance(self, ahead: int) -> None:
        if ahead >= WINDOW:
            self.accepted_bits = 1
        else:
            self.accepted_bits = ((self.accepted_bits << ahead) | 1) & ((1 << WINDOW) - 1)


class ReplayProtection:
    """Holds the replay windows of all senders.

    Above the limits it evicts the least recently received name, and within one name the boot that was added first.
    """

    def __init__(self) -> None:
        self._names: OrderedDict[str, OrderedDict[int, ReplayWindow]] = OrderedDict()

    def accept(self, sender: str, boot: int, number: int) -> bool:
        """Accept a packet and return True; return False if it was accepted before or is behind the window."""
        boots = self._names.get(sender)
        if boots is None:
            boots = self._names[sender] = OrderedDict()
            if len(self._names) > MAX_NAMES:
                self._names.popitem(last=False)
        else:
            self._names.move_to_end(sender)
        window = boots.get(boot)
        if window is None:
            window = boots[boot] = ReplayWindow()
            if len(boots) > MAX_BOOTS_PER_NAME:
                boots.popitem(last=False)
        return window.accept(number)

    def __len__(self) -> int:
        return len(self._names)
