"""Hosts and targets that are live or leaving."""
