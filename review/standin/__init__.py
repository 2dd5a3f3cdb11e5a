"""Stand-ins of the platform for the cases of the review."""
