"""Orders to model engines under a lease."""
