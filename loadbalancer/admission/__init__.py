"""Decides which clients may connect and how long their connections stay open. No I/O, clock or random source."""
