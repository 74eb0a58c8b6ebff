"""Types, reader, checks and compiler of the configuration file. The platform's `run` does not use them."""
