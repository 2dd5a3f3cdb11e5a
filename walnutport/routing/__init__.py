"""Choice of a target for an attempt."""
