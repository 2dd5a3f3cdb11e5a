"""Catalogue entries, their versions, and their state folded from the log."""
