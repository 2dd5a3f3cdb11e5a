"""Relays event streams from targets to callers."""
