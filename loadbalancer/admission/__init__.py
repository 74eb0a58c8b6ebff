"""Who may connect, and for how long a connection may stay. Decisions alone: no I/O, clock or random source."""
