"""A small key-value store that survives power cuts: a log in two copies, index, compaction, and the idempotency ledger.

`engine.py` is the store as one thread sees it, `keeper.py` runs it beside an event loop; only `files.py` does I/O.
"""
