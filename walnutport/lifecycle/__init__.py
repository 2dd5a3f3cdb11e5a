"""Life cycle of a request, and the answers to callers."""
