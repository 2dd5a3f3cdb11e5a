"""Handling of callers' requests: validation, attempts, streams, answers."""
