"""Callers' sessions: their state, statements and replies."""
