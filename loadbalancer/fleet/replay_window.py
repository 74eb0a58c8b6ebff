"""Replay protection: packets that come a second time are told from new ones.

Rules:

1. A packet is meant for one boot of its receiver, and boot ids are drawn anew at each start: what was recorded before a
   restart is for nobody after it, and nothing has to be kept on disk.
2. Each boot of a sender numbers its packets. Each number is accepted once, and only within a window behind the
   greatest.
3. Of each name several boots are remembered, so that a packet of an earlier boot does not come as new again.
"""

from __future__ import annotations

from collections import OrderedDict

#: Numbers behind a sender's greatest that may still come, out of order.
WINDOW = 1024
#: Boots of one name that are remembered; each takes some 200 bytes.
MAX_BOOTS_PER_NAME = 64
#: Names that are remembered.
MAX_NAMES = 8_192


class ReplayWindow:
    """The numbers that were accepted of one boot of a sender.

    Attributes:
        latest: The greatest of them.
        seen: A bit for each number of the window; the lowest is that of `latest`.
    """

    __slots__ = ("latest", "seen")

    def __init__(self) -> None:
        self.latest = 0
        self.seen = 0

    def take(self, number: int) -> bool:
        """Accept a number; false where it was accepted before, or is behind the window."""
        ahead = number - self.latest
        if ahead > 0:
            self._advance(ahead)
            self.latest = number
            return True
        if ahead <= -WINDOW or self.seen >> -ahead & 1:
            return False
        self.seen |= 1 << -ahead
        return True

    def _advance(self, ahead: int) -> None:
        if ahead >= WINDOW:
            self.seen = 1
        else:
            self.seen = ((self.seen << ahead) | 1) & ((1 << WINDOW) - 1)


class ReplayProtection:
    """The windows of all senders.

    Past the bounds the name that was silent longest is forgotten, and of one name the boot that came first.
    """

    def __init__(self) -> None:
        self._names: OrderedDict[str, OrderedDict[int, ReplayWindow]] = OrderedDict()

    def take(self, sender: str, boot: int, number: int) -> bool:
        """Accept a packet; false where it was accepted before, or is behind the window."""
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
        return window.take(number)

    def __len__(self) -> int:
        return len(self._names)
