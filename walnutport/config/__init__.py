"""Typed settings of hosts."""
