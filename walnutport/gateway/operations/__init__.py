"""Logs, metrics and status for operators."""
