"""Cost by stage and owner."""
