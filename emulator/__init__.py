"""Simulates members, clients, endpoint lists and many instances of the real policy module in virtual time."""
