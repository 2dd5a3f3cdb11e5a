"""Where streams began, as far as the hosts tell each other."""
