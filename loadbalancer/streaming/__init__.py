"""Streamed bodies and tunnels, with backpressure and bounded buffers. No I/O."""
