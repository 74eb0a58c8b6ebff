"""Bodies and tunnels passed on as they come, with back-pressure and bounded buffers. No I/O."""
