"""The administrative API for operators: versioned JSON calls, tokens, and snapshots of a daemon's state. No I/O."""
