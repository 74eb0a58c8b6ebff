"""The learner: applies decided commands in order, keeps their log, and notices when this instance is behind."""

from __future__ import annotations

import math
from typing import Mapping

from loadbalancer.fleet.replication.actions import RequestStateTransfer, SendMessage
from loadbalancer.fleet.replication.commands import Command
from loadbalancer.fleet.replication.context import ReplicaContext
from loadbalancer.fleet.replication.errors import StateError
from loadbalancer.fleet.replication.messages import Decided, VersionAnnouncement
from loadbalancer.fleet.replication.replicated_state import TouchedItem

#: Commands that are held for instances that are behind; one that lacks more gets a snapshot.
RETAINED_COMMANDS = 1024
#: Seconds between two announcements to a few other instances while nothing changes.
ANNOUNCE_INTERVAL_S = 1.0
#: Instances that one such announcement goes to.
ANNOUNCE_FANOUT = 3
#: Seconds between two requests for a state transfer.
TRANSFER_RETRY_INTERVAL_S = 0.1
#: Decided commands that are sent at once to an acceptor's peer that asks for an old slot.
MAX_COMMANDS_IN_REPLY = 4


class Learner:
    """Applies decided commands to the replicated state (rules 7 and 8 of replica.py)."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self.command_log: dict[int, Command] = {}
        #: The greatest version that is known to be decided at any instance.
        self.highest_known_version = context.state.version
        #: Why the next command can't be applied; empty while nothing blocks.
        self.blocked_reason = ""
        #: The versions that other instances have announced to act on.
        self.announced_versions: dict[str, int] = {}
        self.peer_metadata: dict[str, Mapping[str, str]] = {}
        self._announce_at = -math.inf
        self._transfer_requested_at = -math.inf

    @property
    def is_behind(self) -> bool:
        """Whether a later version is known than the one that this instance acts on."""
        return bool(self.blocked_reason) or self.highest_known_version > self._context.state.version

    @property
    def next_timer(self) -> float:
        """When the next announcement is due, in seconds."""
        return self._announce_at

    def is_next(self, version: int) -> bool:
        """Whether the command that makes this version can be applied now."""
        return version == self._context.state.version + 1 and not self.blocked_reason

    def apply(self, command: Command) -> tuple[TouchedItem, ...] | None:
        """Apply the command that makes the next version.

        Returns:
            What it has changed; None where this build can't read it, which blocks the replica until a snapshot comes.
        """
        state = self._context.state
        try:
            touched = state.apply(command)
        except StateError as error:
            self.blocked_reason = str(error)
            self.highest_known_version = max(self.highest_known_version, state.version + 1)
            return None
        self.highest_known_version = max(self.highest_known_version, state.version)
        self.command_log[state.version] = command
        self.command_log.pop(state.version - RETAINED_COMMANDS, None)
        return touched

    def install_snapshot(self, data: bytes) -> None:
        """Replace the whole state by one that another instance has sent.

        Raises:
            StateError: The bytes are no snapshot.
            AssertionError: The snapshot is older than the state, which nobody asks for.
        """
        state = self._context.state
        version_before = state.version
        state.install_snapshot(data)
        if state.version < version_before:
            raise AssertionError(f"a snapshot of version {state.version} at version {version_before}")
        self.command_log.clear()
        self.highest_known_version = max(self.highest_known_version, state.version)
        self.blocked_reason = ""

    def on_announcement(self, sender: str, message: VersionAnnouncement) -> None:
        """Note what version another instance acts on, and ask for what it has more."""
        self.announced_versions[sender] = max(message.version, self.announced_versions.get(sender, 0))
        self.peer_metadata[sender] = message.metadata
        if message.version > self._context.state.version:
            self.note_later_version(sender, message.version)

    def note_later_version(self, source: str, version: int) -> None:
        """Remember that `version` is decided, and ask `source`, which has it, for what is missing (rule 8)."""
        self.highest_known_version = max(self.highest_known_version, version)
        now = self._context.now
        if now >= self._transfer_requested_at + TRANSFER_RETRY_INTERVAL_S and not self.blocked_reason:
            self._transfer_requested_at = now
            self._context.emit(RequestStateTransfer(source))

    def send_decided_from(self, to: str, slot: int) -> None:
        """Bring an instance up to date that still works on a slot that is decided."""
        version = self._context.state.version
        for number in range(slot, min(version, slot + MAX_COMMANDS_IN_REPLY - 1) + 1):
            if number in self.command_log:
                self._context.send(to, Decided(number, self.command_log[number]))
        if slot not in self.command_log:
            self.announce_to(to)

    def on_timer(self) -> None:
        """Announce the version to a few instances, so that one that has missed a decision notices."""
        context = self._context
        if context.now < self._announce_at:
            return
        self._announce_at = context.now + ANNOUNCE_INTERVAL_S * (0.75 + 0.5 * context.random.random())
        fanout = min(ANNOUNCE_FANOUT, len(context.live_members))
        for name in context.random.sample(context.live_members, fanout):
            self.announce_to(name)

    def announce_to(self, name: str) -> None:
        """Tell one instance which version this one acts on."""
        self._context.emit(self.announcement(name))

    def announcement(self, name: str) -> SendMessage:
        """The announcement of this instance's version, addressed to `name`."""
        return SendMessage(name, VersionAnnouncement(self._context.state.version, self._context.metadata))
