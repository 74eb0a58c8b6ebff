"""What an instance tells others about itself, for people and for the rollout."""

from __future__ import annotations

from pathlib import Path

from blake3 import blake3

from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.rollout import RolloutService
from loadbalancer.fleet.replication.replicated_state import ReplicatedState

#: The version of the program.
BUILD = "0.1.0"
#: Pools whose endpoint lists are told by a digest.
MAX_LIST_DIGESTS = 4
#: Longest key or value, in characters.
MAX_LENGTH = 64
#: Bytes of a digest.
DIGEST_BYTES = 4


class InstanceMetadata:
    """Collects the metadata of this instance."""

    def __init__(
        self, daemon: DaemonContext, store_id: str, rollout: RolloutService, state: ReplicatedState
    ) -> None:
        """`store_id`: "" where the daemon has no store."""
        self._daemon = daemon
        self._store_id = store_id
        self._rollout = rollout
        self._state = state
        self._configuration_digest = ""

    def configured(self, path: Path) -> None:
        """Take the digest of a configuration that is in force from now on, as the file is at this moment."""
        try:
            self._configuration_digest = blake3(path.read_bytes()).hexdigest(DIGEST_BYTES)
        except OSError as problem:
            self._configuration_digest = f"not read: {problem.strerror}"[:MAX_LENGTH]

    def current(self) -> dict[str, str]:
        """Return the metadata as it stands now."""
        metadata = {"build": BUILD, "store": self._store_id, "config": self._configuration_digest}
        if report := self._rollout.report(self._state.rollout_plan):
            metadata["plan"] = report
        for name, pool in sorted(self._daemon.pools.items())[:MAX_LIST_DIGESTS]:
            endpoints = ",".join(sorted(pool.overlay.listed()))
            metadata[f"list {name}"[:MAX_LENGTH]] = blake3(endpoints.encode()).hexdigest(DIGEST_BYTES)
        return metadata
