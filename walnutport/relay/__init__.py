"""Relay of event streams from targets to callers."""
