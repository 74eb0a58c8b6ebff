"""Measurements, a command each: `python -m benchmarks.NAME`. Ratios are within one run."""
