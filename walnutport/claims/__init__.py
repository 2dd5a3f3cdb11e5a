"""Claims on idempotency keys: at most one run of a request."""
