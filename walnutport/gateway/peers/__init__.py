"""Links to the other hosts, and what they take over for each other."""
