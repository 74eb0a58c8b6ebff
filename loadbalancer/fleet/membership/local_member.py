"""The local member: this instance's status, its member state, and the messages that introduce it.

Transitions of the status:

    joining -> member   a whole table was received, or the `joining` timer expired without one
    joining -> out      another living process has the same name
    out     -> member   that process is found dead, or has left
    member  -> out      after a partition has healed, a member with an earlier generation of the name was found
    any     -> gone     this process leaves, or a successor has replaced it
"""

from __future__ import annotations

import enum

from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.settings import Identity
from loadbalancer.fleet.wire import AliveNotice, Hello


class LocalStatus(enum.StrEnum):
    """The status of this instance in the fleet; the values appear in the administrative API."""

    JOINING = "joining"
    MEMBER = "member"
    OUT = "out"
    GONE = "gone"


class LocalMember:
    """Holds the identity, the status and the member state of this instance.

    Attributes:
        identity: Its name, boot id, address and zone.
        state: Its own member state, whose incarnation only this instance may raise.
        recovery_phase: Progress of its recovery after the start, as reported to others; 0 if not reported.
        has_left: Whether it has left or was replaced by a successor.
    """

    def __init__(self, identity: Identity) -> None:
        self.identity = identity
        self.state = self.describe(1, 0)
        self.recovery_phase = 0
        self.has_left = False
        self._membership_status = LocalStatus.JOINING

    @property
    def status(self) -> LocalStatus:
        """The status of this instance in the fleet."""
        return LocalStatus.GONE if self.has_left else self._membership_status

    @property
    def is_member(self) -> bool:
        """Whether it is a member of the fleet; stays true after a successor has replaced it."""
        return self._membership_status is LocalStatus.MEMBER

    @property
    def has_yielded_name(self) -> bool:
        """Whether it has yielded its name to another living process (status `out`)."""
        return self._membership_status is LocalStatus.OUT

    def become_member(self, state: MemberState) -> None:
        """Become a member of the fleet with this state."""
        self.state = state
        self._membership_status = LocalStatus.MEMBER

    def cease_membership(self, state: MemberState) -> None:
        """End the membership; `state` announces that to the other members."""
        self.state = state
        self._membership_status = LocalStatus.JOINING

    def yield_name(self) -> None:
        """Yield the name to another process."""
        self._membership_status = LocalStatus.OUT

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
        """Return the message that asks which process is at an address."""
        return Hello(*self.identity.address)

    def alive_notice(self) -> AliveNotice:
        """Return the message that reports which process is here."""
        return AliveNotice(*self.identity.address, self.recovery_phase)
