"""Demo, benchmarks, capacity measurements and soak tests."""
