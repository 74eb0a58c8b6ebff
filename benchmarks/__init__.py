"""Benchmarks, each a command: `python -m benchmarks.NAME`. Ratios compare results of the same run."""
