"""Naive policies, the baseline for tests and benchmarks."""
