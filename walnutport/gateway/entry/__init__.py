"""Requests of callers: route and team, the way through, own responses."""
