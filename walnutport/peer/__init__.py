"""Messages between hosts: types, encoding and replay protection."""
