"""Changes of a whole fleet in steps: rollout, rolling restart, recovery, estimate of its size. No I/O."""
