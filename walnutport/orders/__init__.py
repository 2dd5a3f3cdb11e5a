"""Orders to model engines, given by the host that holds a lease."""
