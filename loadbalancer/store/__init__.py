"""A small crash-safe key-value store: a log in two copies, an index, compaction, and the idempotency ledger.

`engine.py` is the store for use from one thread, `keeper.py` runs it beside an event loop; only `files.py` does I/O.
"""
