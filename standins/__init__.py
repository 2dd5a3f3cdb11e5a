"""Stand-ins for external systems, used by tests, demo and benchmarks."""
