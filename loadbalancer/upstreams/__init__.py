"""Connections to members, with one module for each protocol that members speak."""
