"""Attempts at targets, and what the host learns of targets from them."""
