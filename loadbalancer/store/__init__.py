"""A small store that survives cuts: a log in two copies, an index, compaction, recovery; and the ledger of keys."""
