"""Policy: takes every decision of a proxy, without I/O. `Balancer` in balancer.py is its entry point."""
