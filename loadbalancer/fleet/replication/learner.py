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

#: Commands that are retained for instances that are behind; one that lacks more than these gets a snapshot.
RETAINED_COMMANDS = 1024
#: Seconds between two periodic announcements to ANNOUNCE_FANOUT other instances.
ANNOUNCE_INTERVAL_S = 1.0
#: Number of instances that receive one periodic announcement.
ANNOUNCE_FANOUT = 3
#: Seconds between two requests for a state transfer.
TRANSFER_RETRY_INTERVAL_S = 0.1
#: Decided commands that are sent at once to an instance that still works on a decided slot.
MAX_COMMANDS_IN_REPLY = 4


class Learner:
    """Applies decided commands to the replicated state (rules 7 and 8 of replica.py)."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self.command_log: dict[int, Command] = {}
        #: The highest version that is known to be decided at any instance.
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
        """Whether a later version than the one that this instance acts on is known."""
        return bool(self.blocked_reason) or self.highest_known_version > self._context.state.version

    @property
    def next_timer(self) -> float:
        """When the next announcement is due, in seconds."""
        return self._announce_at

    def is_next(self, version: int) -> bool:
        """Return whether the command that produces this version can be applied now."""
        return version == self._context.state.version + 1 and not self.blocked_reason

    def apply(self, command: Command) -> tuple[TouchedItem, ...] | None:
        """Apply the command that produces the next version.

        Returns:
            The items that it has changed; None if this build can't read it, which blocks the replica until a snapshot
            is installed.
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
        """Replace the whole state by a snapshot that another instance has sent.

        Raises:
            StateError: The bytes are not a valid snapshot.
            AssertionError: The snapshot is older than the state; such a snapshot is never requested.
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
        """Record the version that another instance acts on, and request what is missing here."""
        self.announced_versions[sender] = max(message.version, self.announced_versions.get(sender, 0))
        self.peer_metadata[sender] = message.metadata
        if message.version > self._context.state.version:
            self.record_later_version(sender, message.version)

    def record_later_version(self, source: str, version: int) -> None:
        """Record that `version` is decided, and request the missing commands from `source`, which has it (rule 8)."""
        self.highest_known_version = max(self.highest_known_version, version)
        now = self._context.now
        if now >= self._transfer_requested_at + TRANSFER_RETRY_INTERVAL_S and not self.blocked_reason:
            self._transfer_requested_at = now
            self._context.emit(RequestStateTransfer(source))

    def send_decided_from(self, to: str, slot: int) -> None:
        """Send decided commands from `slot` on to an instance that still works on that slot."""
        version = self._context.state.version
        for number in range(slot, min(version, slot + MAX_COMMANDS_IN_REPLY - 1) + 1):
            if number in self.command_log:
                self._context.send(to, Decided(number, self.command_log[number]))
        if slot not in self.command_log:
            self.announce_to(to)

    def on_timer(self) -> None:
        """Announce the version to some random instances, so that one that has missed a decision detects it."""
        context = self._context
        if context.now < self._announce_at:
            return
        self._announce_at = context.now + ANNOUNCE_INTERVAL_S * (0.75 + 0.5 * context.random.random())
        fanout = min(ANNOUNCE_FANOUT, len(context.live_members))
        for name in context.random.sample(context.live_members, fanout):
            self.announce_to(name)

    def announce_to(self, name: str) -> None:
        """Announce to one instance the version that this one acts on."""
        self._context.emit(self.announcement(name))

    def announcement(self, name: str) -> SendMessage:
        """Return the announcement of this instance's version, addressed to `name`."""
        return SendMessage(name, VersionAnnouncement(self._context.state.version, self._context.metadata))
