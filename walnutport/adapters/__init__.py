"""Clients of external services and sockets between hosts."""
