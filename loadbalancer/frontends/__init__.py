"""Listeners and admission; one file a protocol that clients speak."""
