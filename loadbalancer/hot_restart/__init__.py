"""Replacing a process while it serves: how two of them meet, what they share, and who owns what until when."""
