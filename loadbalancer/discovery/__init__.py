"""Where lists of members come from."""
