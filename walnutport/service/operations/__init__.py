"""Metrics and status of a host for operators."""
