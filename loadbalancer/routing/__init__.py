"""Routes, rewrites, traffic migration, and fair shares between pools. No I/O."""
