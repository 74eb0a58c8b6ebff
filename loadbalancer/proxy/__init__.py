"""Open requests, attempts and pools: where a request and an attempt end; the only caller of the module."""
