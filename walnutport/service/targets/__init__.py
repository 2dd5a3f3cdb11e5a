"""State of the targets as this host observes it."""
