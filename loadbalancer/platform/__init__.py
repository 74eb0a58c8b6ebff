"""The proxy as the operators' platform starts it: `run` (main, node) and `sim` (simulator)."""
