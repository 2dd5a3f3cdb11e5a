"""Typed settings."""
