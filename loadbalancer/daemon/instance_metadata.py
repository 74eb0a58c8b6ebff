"""The metadata that an instance announces to others, for operators and for the rollout."""

from __future__ import annotations

from pathlib import Path

from blake3 import blake3

from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.rollout import RolloutService
from loadbalancer.fleet.replication.replicated_state import ReplicatedState

#: The version of the program.
BUILD = "0.1.0"
#: Maximum number of pools whose endpoint lists are included as digests.
MAX_LIST_DIGESTS = 4
#: Maximum length of a key or value, in characters.
MAX_LENGTH = 64
#: Bytes of a digest.
DIGEST_BYTES = 4


class InstanceMetadata:
    """Collects the metadata of this instance."""

    def __init__(
        self, daemon: DaemonContext, store_id: str, rollout: RolloutService, state: ReplicatedState
    ) -> None:
        """`store_id` is "" if the daemon has no store."""
        self._daemon = daemon
        self._store_id = store_id
        self._rollout = rollout
        self._state = state
        self._configuration_digest = ""

    def update_configuration_digest(self, path: Path) -> None:
        """Compute the digest of a configuration that was just applied, from the present content of its file."""
        try:
            self._configuration_digest = blake3(path.read_bytes()).hexdigest(DIGEST_BYTES)
        except OSError as problem:
            self._configuration_digest = f"not read: {problem.strerror}"[:MAX_LENGTH]

    def current(self) -> dict[str, str]:
        """Return the current metadata."""
        metadata = {"build": BUILD, "store": self._store_id, "config": self._configuration_digest}
        if report := self._rollout.report(self._state.rollout_plan):
            metadata["plan"] = report
        for name, pool in sorted(self._daemon.pools.items())[:MAX_LIST_DIGESTS]:
            endpoints = ",".join(sorted(pool.overlay.listed()))
            metadata[f"list {name}"[:MAX_LENGTH]] = blake3(endpoints.encode()).hexdigest(DIGEST_BYTES)
        return metadata
