"""This instance as a member of its own view: its status, its state, and the messages that introduce it.

States of the instance, and what ends each:

    joining -> member   a whole state synchronisation, or nobody was heard from within the `joining` timer
    joining -> out      a living process goes by the same name
    out     -> member   that process is found dead, or has left
    member  -> out      on the other side of a healed partition the name was there before
    any     -> gone     it leaves, or has passed its place on to a successor
"""

from __future__ import annotations

import enum

from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.settings import Identity
from loadbalancer.fleet.wire import AliveNotice, Hello


class LocalStatus(enum.StrEnum):
    """What this instance is in the fleet; the values are in the administrative API."""

    JOINING = "joining"
    MEMBER = "member"
    OUT = "out"
    GONE = "gone"


class LocalMember:
    """This instance.

    Attributes:
        identity: Its name, boot id, address and zone.
        state: Its own member state, which nobody else may raise.
        recovery_phase: How far it has recovered from its start, as it tells others; 0 where it does not say.
        has_left: Whether it has left, or was replaced by a successor.
    """

    def __init__(self, identity: Identity) -> None:
        self.identity = identity
        self.state = self.describe(1, 0)
        self.recovery_phase = 0
        self.has_left = False
        self._standing = LocalStatus.JOINING

    @property
    def status(self) -> LocalStatus:
        """What it is in the fleet."""
        return LocalStatus.GONE if self.has_left else self._standing

    @property
    def is_member(self) -> bool:
        """Whether it counts as one of the fleet. Stays so where a successor has replaced it."""
        return self._standing is LocalStatus.MEMBER

    @property
    def is_out(self) -> bool:
        """Whether another living process has its name."""
        return self._standing is LocalStatus.OUT

    def become_member(self, state: MemberState) -> None:
        """Count as one of the fleet, in this state."""
        self.state = state
        self._standing = LocalStatus.MEMBER

    def cease_membership(self, state: MemberState) -> None:
        """Count no more as one of the fleet; `state` says so to the others."""
        self.state = state
        self._standing = LocalStatus.JOINING

    def stay_out(self) -> None:
        """Leave the name to another process."""
        self._standing = LocalStatus.OUT

    def describe(
        self, generation: int, incarnation: int, status: MemberStatus = MemberStatus.ALIVE
    ) -> MemberState:
        """Return a member state of this process."""
        identity = self.identity
        return MemberState(
            identity.name,
            identity.boot,
            generation,
            incarnation,
            status,
            *identity.address,
            identity.zone,
        )

    def hello(self) -> Hello:
        """Return the message that asks who is at an address."""
        return Hello(*self.identity.address)

    def alive_notice(self) -> AliveNotice:
        """Return the message that says which process is here."""
        return AliveNotice(*self.identity.address, self.recovery_phase)
