"""Membership and replicated state of a fleet of instances. Disabled unless the configuration has `[fleet]`."""
