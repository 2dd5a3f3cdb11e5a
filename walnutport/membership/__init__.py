"""Hosts and targets of the fleet, and whether they are live or leaving."""
