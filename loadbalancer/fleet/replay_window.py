"""Messages that come a second time are told from new ones. Pure.

Rules:

1. A message is for one life of its receiver, which is drawn anew at each start: what was caught before a restart is for
   nobody after it, without anything on disk.
2. Within a life each sender's life counts its messages; each number is taken once, and those far behind are not taken.
3. Of one name the latest lives are remembered, so that a message of a life that is over does not come back as new.
"""

from __future__ import annotations

from collections import OrderedDict

#: Numbers behind the latest of a sender that may still come, out of order.
WINDOW = 1024
#: Lives of one name that are told apart, and names: some 200 bytes a life.
LIVES_MOST = 64
NAMES_MOST = 8_192


class ReplayWindow:
    """The numbers of one sender's life."""

    __slots__ = ("latest", "seen")

    def __init__(self) -> None:
        self.latest = 0
        self.seen = 0  # a bit for each of the latest numbers, that of `latest` the lowest

    def take(self, number: int) -> bool:
        """Whether it is new; from then on it is not."""
        ahead = number - self.latest
        if ahead > 0:
            self.seen = ((self.seen << ahead) | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self.latest = number
            return True
        if ahead <= -WINDOW or self.seen >> -ahead & 1:
            return False
        self.seen |= 1 << -ahead
        return True


class ReplayProtection:
    """All senders'. Bounded: the name that was longest silent is forgotten first."""

    def __init__(self) -> None:
        self._names: OrderedDict[str, OrderedDict[int, ReplayWindow]] = OrderedDict()

    def take(self, sender: str, boot: int, number: int) -> bool:
        """Whether the message is new; from then on it is not."""
        lives = self._names.get(sender)
        if lives is None:
            lives = self._names[sender] = OrderedDict()
            if len(self._names) > NAMES_MOST:
                self._names.popitem(last=False)
        else:
            self._names.move_to_end(sender)
        window = lives.get(boot)
        if window is None:
            window = lives[boot] = ReplayWindow()
            if len(lives) > LIVES_MOST:
                lives.popitem(last=False)
        return window.take(number)

    def __len__(self) -> int:
        return len(self._names)
