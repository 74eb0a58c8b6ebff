"""Our own configuration file: its types, its reader, and what a whole file means. Not for the platform's `run`."""
