"""Requests suspected of crashing targets."""
