"""The commands that the operators' platform starts: `run` (main, node) and `sim` (simulator)."""
