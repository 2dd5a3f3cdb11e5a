"""Admission control: fair queues, fleet-wide limits and deadline checks."""
