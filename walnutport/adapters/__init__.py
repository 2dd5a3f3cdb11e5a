"""Clients of the outside systems."""
