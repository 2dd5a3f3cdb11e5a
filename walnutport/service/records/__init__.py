"""What a host reads from and writes to the log service."""
