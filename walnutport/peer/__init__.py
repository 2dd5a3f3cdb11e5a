"""Messages between hosts."""
