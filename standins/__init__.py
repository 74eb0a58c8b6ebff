"""Stand-ins for the members, clients, networks and disks around the proxy, used by tests, benchmarks and the demo.

They use loopback addresses only.
"""
