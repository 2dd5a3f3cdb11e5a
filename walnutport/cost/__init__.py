"""Accounting of the cost of attempts by stage and owner."""
