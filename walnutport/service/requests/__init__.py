"""The way of one request: callers, attempts, streams, answers."""
