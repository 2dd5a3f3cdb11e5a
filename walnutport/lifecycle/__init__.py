"""Life cycle of a request and its answers."""
