"""Demo, bench and measurements."""
