"""The entry host on a platform: everything that does I/O."""
