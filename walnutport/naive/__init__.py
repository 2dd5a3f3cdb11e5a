"""Naive policies, the baseline for tests and the bench."""
