"""Connections to members; one file a protocol that members speak."""
