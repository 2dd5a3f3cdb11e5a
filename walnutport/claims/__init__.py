"""Claims on idempotency keys, which allow at most one run of a request."""
