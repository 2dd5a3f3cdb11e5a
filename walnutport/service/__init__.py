"""Twisted shells that drive the decision parts."""
