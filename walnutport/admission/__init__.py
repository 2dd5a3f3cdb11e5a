"""Admission, limits, queues and deadlines."""
