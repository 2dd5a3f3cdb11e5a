"""Build of the single-file executable."""
