"""The daemon of our own configuration: listeners, pools and their parts of the process; reload and end."""
