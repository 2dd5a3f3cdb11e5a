"""Stages of requests: submission to a cell, and the owner of a cell."""
