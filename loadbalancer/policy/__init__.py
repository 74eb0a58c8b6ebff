"""The policy: every decision of a proxy, without I/O. `Balancer` in balancer.py is what is called."""
