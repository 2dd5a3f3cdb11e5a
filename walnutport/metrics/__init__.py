"""Metrics of a host and their exposition to Prometheus."""
