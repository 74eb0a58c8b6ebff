"""Stand-ins for what the proxy meets: one set, for tests, benchmarks and the embedded default. Loopback only."""
