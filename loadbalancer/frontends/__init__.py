"""Accepts client connections, and reads the protocols that clients speak (one module per protocol)."""
